import {EndpointDirectory} from '@tanagerrail/routing';
import {runEdge} from './run-edge.js';

/** Variant of the edge host that ignores the draining state of endpoints. */
EndpointDirectory.prototype.list = function (service) {
	return this.all.filter(endpoint => endpoint.service === service);
};

await runEdge();
