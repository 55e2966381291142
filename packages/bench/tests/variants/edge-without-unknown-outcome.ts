import {updateResponseFlags, runEdge} from './run-edge.js';

/** Variant of the edge host that treats error responses of endpoints (5xx) as if the request had not run. */
await updateResponseFlags((status, {isNotRun}) => ({isNotRun: isNotRun || status >= 500}));
await runEdge();
