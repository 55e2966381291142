/* eslint-disable camelcase -- names on the wire */

// Stand-in for a server of the platform: slots, a queue, health answers with its load, and answers with a seal.
import {Buffer} from 'node:buffer';
import http from 'node:http';

const sealText = '3e1b.07.5a2.600.0.c9f2a4d1';

/** Builds the headers of the server's own answer to a request. */
export const buildAnswerHeaders = id => ({'x-attempt-id': id, 'x-server-seal': sealText});

export class Server {
	/** Requests that the server began to work on: id, start and end. */
	runs = [];
	/** Ids of requests that the server rejected without running them. */
	rejected = [];
	state = 'ready';
	isHealthy = true;
	#queue = [];
	#busy = 0;
	#sequence = 1;
	#beat;
	#sockets = new Set();

	constructor({id, service, zone = 'zone-a', slots = 3, queue = 6, workMilliseconds = 180, bodyBytes = 1500, answer, answerHealth}) {
		Object.assign(this, {
			id, service, zone, slots, queueLimit: queue, workMilliseconds, bodyBytes,
		});
		this.answer = answer ?? ((run, response) => this.serve(run, response));
		this.answerHealth = answerHealth ?? ((request, response) => this.serveHealth(request, response));
		this.server = http.createServer((request, response) => {
			this.#handle(request, response);
		});
		this.server.keepAliveTimeout = 10_000;
		this.server.on('connection', socket => {
			this.#sockets.add(socket);
			socket.on('error', () => {});
			socket.once('close', () => this.#sockets.delete(socket));
		});
	}

	get connections() {
		return this.#sockets.size;
	}

	async start(host, store) {
		await new Promise(resolve => {
			this.server.listen(0, host, resolve);
		});
		const {address, port} = this.server.address();
		this.address = `${address}:${port}`;
		this.store = store;
		this.born = Date.now();
		this.report();
		this.#beat = setInterval(() => this.report(), 1500);
	}

	stop() {
		clearInterval(this.#beat);
		this.server.close();
		for (const socket of this.#sockets) {
			socket.destroy();
		}
	}

	report() {
		this.#sequence += 1;
		this.store.put('servers', this.id, {
			address: this.address,
			born: this.born,
			information: {
				service: this.service, version: 'v1', zone: this.zone, slots: this.slots,
			},
			status: {state: this.state, sequence: this.#sequence, cold_remaining_ms: 0},
		});
	}

	get load() {
		return `${this.#busy},${this.#queue.length},${this.slots},100`;
	}

	/** Answers a health check at once: 200 while the server considers itself healthy, otherwise 503. */
	serveHealth(request, response) {
		const status = this.isHealthy && this.state === 'ready' ? 200 : 503;
		response.writeHead(status, {'x-instance-id': this.id, 'x-server-load': this.load, 'content-length': 0}).end();
	}

	/** Sends the whole answer. */
	serve(run, response) {
		const body = Buffer.alloc(this.bodyBytes, `ran ${run.id};`);
		response.writeHead(200, {...buildAnswerHeaders(run.id), 'x-server-load': this.load, 'content-length': body.length}).end(body);
	}

	#handle(request, response) {
		if (request.url === '/health') {
			this.answerHealth(request, response);
			return;
		}

		const id = request.headers['x-attempt-id'];
		request.resume();
		request.once('end', () => {
			if (request.headers['x-expect-instance'] !== undefined && request.headers['x-expect-instance'] !== this.id) {
				response.writeHead(421, {'x-instance-id': this.id, 'x-attempt-id': id}).end();
				return;
			}

			if (this.#busy >= this.slots && this.#queue.length >= this.queueLimit) {
				this.rejected.push(id);
				response.writeHead(503, {
					'x-not-executed': '1', 'x-attempt-id': id, 'x-server-load': this.load, 'content-length': 0,
				}).end();
				return;
			}

			const job = {
				id, request, response, socket: request.socket, isGone: false,
			};
			response.once('close', () => {
				job.isGone = true;
			});
			this.#queue.push(job);
			this.#startNext();
		});
	}

	#startNext() {
		while (this.#busy < this.slots && this.#queue.length > 0) {
			const job = this.#queue.shift();
			if (!job.isGone) {
				this.#run(job);
			}
		}
	}

	async #run(job) {
		this.#busy += 1;
		const run = {
			id: job.id, target: job.request.url, startedAt: performance.now(), endedAt: undefined, server: this.id,
		};
		this.runs.push(run);
		const work = this.workMilliseconds * (0.7 + (0.6 * Math.random()));
		await new Promise(resolve => {
			const timer = setTimeout(resolve, work);
			job.response.once('close', () => {
				clearTimeout(timer);
				resolve();
			});
		});
		this.#busy -= 1;
		run.endedAt = performance.now();
		run.isCut = job.isGone;
		if (!job.isGone) {
			this.answer(run, job.response, job.socket);
		}

		this.#startNext();
	}
}
