import {removeProbes} from './remove-probes.js';

/** The product's own program, whose command line this one has. */
const edgeProgram = '../../../../cli/dist/src/edge-main.js';

// The reports that come with responses decide.
removeProbes();
await import(edgeProgram);
