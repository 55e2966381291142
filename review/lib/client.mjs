// Clients: requests over kept connections, one at a time, with an id of their own for each attempt.
import {Buffer} from 'node:buffer';
import {randomBytes} from 'node:crypto';
import http from 'node:http';

export const createId = () => randomBytes(8).toString('hex');

/**
 * Sends one request and resolves with what the client saw: a status and the body's length, or how the connection failed.
 */
export async function sendRequest({front, agent, path, method = 'GET', deadline = 1500, body, id = createId()}) {
	const [host, port] = front.split(':');
	const sent = {
		id, path, method, front, sentAt: performance.now(),
	};
	return new Promise(resolve => {
		let isDone = false;
		const finish = seen => {
			if (!isDone) {
				isDone = true;
				clearTimeout(timer);
				resolve({...sent, ...seen, endedAt: performance.now()});
			}
		};

		const request = http.request({
			host, port, path, method, agent, headers: {
				host: 'site.example', 'x-attempt-id': id, 'x-deadline-ms': String(deadline), ...(body && {'content-length': body.length}),
			},
		}, response => {
			const chunks = [];
			response.on('data', chunk => chunks.push(chunk));
			response.on('end', () => {
				finish({
					status: response.statusCode, headers: response.headers, body: Buffer.concat(chunks), isWhole: response.complete,
				});
			});
			response.on('error', error => finish({
				status: response.statusCode, headers: response.headers, failure: error.code ?? error.message, isWhole: false,
			}));
		});
		const timer = setTimeout(() => {
			finish({failure: 'deadline'});
			request.destroy();
		}, deadline);
		request.on('error', error => finish({failure: error.code ?? error.message}));
		request.end(body);
	});
}
