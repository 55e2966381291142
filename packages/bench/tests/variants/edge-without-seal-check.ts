import {updateResponseFlags, runEdge} from './run-edge.js';

/** Variant of the edge host that accepts successful responses without the seal of an endpoint. */
await updateResponseFlags(() => ({isGenuine: true}));
await runEdge();
