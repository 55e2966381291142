import {EndpointRecord} from '@tanagerrail/routing';
import {removeProbes} from './remove-probes.js';

/** The product's own program, whose command line this one has. */
const edgeProgram = '../../../../cli/dist/src/edge-main.js';

// The host's own requests decide alone.
removeProbes();
EndpointRecord.prototype.updateReport = () => undefined;
await import(edgeProgram);
