import {EndpointAvailability} from '@tanagerrail/routing';
import {runEdge} from './run-edge.js';

/** Variant of the edge host that ignores what endpoints ask for in their responses. */
EndpointAvailability.prototype.recordNotice = () => undefined;

await runEdge();
