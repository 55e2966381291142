import {PauseDetector} from '@tanagerrail/membership';
import {runEntry} from './run-entry.js';

/** Variant of the entry host that does not detect that its process was paused. */
PauseDetector.prototype.check = () => undefined;

await runEntry();
