import {EndpointRecord} from '@tanagerrail/routing';
import {edgeProgram} from '../testbed/edge-program.js';
import {removeProbes} from './remove-probes.js';

// Without probes and load reports, the host chooses endpoints by its own requests in flight.
removeProbes();
EndpointRecord.prototype.updateReport = () => undefined;
await import(edgeProgram);
