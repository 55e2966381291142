import {EndpointDirectory} from '@tanagerrail/routing';
import {runEdge} from './run-edge.js';

/** An edge host that ignores that an endpoint is leaving. */
EndpointDirectory.prototype.list = function (service) {
	return this.all.filter(endpoint => endpoint.service === service);
};

await runEdge();
