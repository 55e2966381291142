export {registerSoak} from './soak-command.js';
export {runSoak, type SoakOptions, type SoakResult} from './run-soak.js';
export {SoakHost, type SoakHostOptions} from './soak-host.js';
