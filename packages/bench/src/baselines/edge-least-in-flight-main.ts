import {EndpointRecord} from '@tanagerrail/routing';
import {edgeProgram} from '../testbed/edge-program.js';
import {removeProbes} from './remove-probes.js';

// The host's own requests decide alone.
removeProbes();
EndpointRecord.prototype.updateReport = () => undefined;
await import(edgeProgram);
