// What the edge host uses of undici; its index also loads fetch, WebSocket, caches and mock agents.
import Dispatcher from 'undici/lib/dispatcher/dispatcher.js';
import request from 'undici/lib/api/api-request.js';

// The index of undici adds the methods of its API to all dispatchers in the same way.
Object.assign(Dispatcher.prototype, {request});

export {default as Client} from 'undici/lib/dispatcher/client.js';
export {default as Pool} from 'undici/lib/dispatcher/pool.js';
export {default as buildConnector} from 'undici/lib/core/connect.js';
export * as errors from 'undici/lib/core/errors.js';
export {exclude as Agent, exclude as fetch, exclude as request};

function exclude() {
	throw new Error('the bundle of the edge host has no such part of undici');
}
