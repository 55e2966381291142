// The parts of undici that the edge host uses. Its index also loads fetch, WebSocket, caches and mock agents.
import Dispatcher from 'undici/lib/dispatcher/dispatcher.js';
import request from 'undici/lib/api/api-request.js';

// The index of undici adds its API methods to the prototype of all dispatchers in the same way.
Object.assign(Dispatcher.prototype, {request});

export {default as Client} from 'undici/lib/dispatcher/client.js';
export {default as Pool} from 'undici/lib/dispatcher/pool.js';
export {default as buildConnector} from 'undici/lib/core/connect.js';
export * as errors from 'undici/lib/core/errors.js';
export {throwNotBundled as Agent, throwNotBundled as fetch, throwNotBundled as request};

function throwNotBundled() {
	throw new Error('this part of undici is not included in the edge bundle');
}
