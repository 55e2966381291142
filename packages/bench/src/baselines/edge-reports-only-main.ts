import {edgeProgram} from '../testbed/edge-program.js';
import {removeProbes} from './remove-probes.js';

// The reports that come with responses decide.
removeProbes();
await import(edgeProgram);
