import {runGroup} from './run-group.js';

runGroup('hosts');
