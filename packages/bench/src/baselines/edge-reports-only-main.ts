import {edgeProgram} from '../testbed/edge-program.js';
import {removeProbes} from './remove-probes.js';

// Without probes, the host chooses endpoints by the load reports in responses.
removeProbes();
await import(edgeProgram);
