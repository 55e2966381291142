/* eslint-disable no-await-in-loop -- steps follow one another */
// A client that sends further safe requests before the first one has been answered (PROTOCOL.md, "Requests").
import {Buffer} from 'node:buffer';
import net from 'node:net';
import {setTimeout as wait} from 'node:timers/promises';
import {createId} from './client.mjs';

/** Reads one whole answer with a length from the start of the bytes; nothing while it is not complete. */
function readAnswer(bytes) {
	const end = bytes.indexOf('\r\n\r\n');
	if (end === -1) {
		return undefined;
	}

	const head = bytes.toString('latin1', 0, end);
	const length = Number(/^content-length: (\d+)/imv.exec(head)?.[1] ?? 0);
	return {
		status: Number(head.slice(9, 12)), id: /^x-attempt-id: (\S+)/imv.exec(head)?.[1], isLast: /^connection: close/imv.test(head), size: end + 4 + length, isWhole: bytes.length >= end + 4 + length,
	};
}

export class PipelineClient {
	/** All requests sent and what the client saw of each. */
	requests = [];

	constructor({pickFront, path, deadline, gapMilliseconds, outstanding = 4, requestsPerConnection = 40}) {
		Object.assign(this, {
			pickFront, path, deadline, gapMilliseconds, outstanding, requestsPerConnection,
		});
	}

	async run(until) {
		while (performance.now() < until) {
			await this.#useConnection(until);
		}
	}

	async #useConnection(until) {
		const {host, port, edge} = this.pickFront();
		const socket = net.connect({host, port});
		const pending = [];
		let bytes = Buffer.alloc(0);
		const state = {ended: undefined, mayNotSend: false};
		const fail = reason => {
			state.ended ??= reason;
		};

		socket.on('error', error => fail(error.code));
		socket.on('end', () => fail('end'));
		socket.on('close', () => fail('close'));
		socket.on('data', chunk => {
			bytes = Buffer.concat([bytes, chunk]);
			let answer = readAnswer(bytes);
			while (answer && pending.length > 0) {
				// Nothing is sent after a head that announces the end of the connection.
				state.mayNotSend ||= answer.isLast;
				pending[0].receivedBytes = Math.min(bytes.length, answer.size);
				if (!answer.isWhole) {
					return;
				}

				bytes = bytes.subarray(answer.size);
				Object.assign(pending.shift(), {
					status: answer.status, gotId: answer.id, isLast: answer.isLast, endedAt: performance.now(),
				});
				answer = readAnswer(bytes);
			}
		});
		await new Promise(resolve => {
			socket.once('connect', resolve);
			socket.once('error', resolve);
		});
		for (let sent = 0; sent < this.requestsPerConnection && !state.ended && !state.mayNotSend && performance.now() < until; sent += 1) {
			const request = {
				id: createId(), edge, path: this.path, sentAt: performance.now(), behind: pending.length,
			};
			pending.push(request);
			this.requests.push(request);
			socket.write(`GET ${this.path}${sent} HTTP/1.1\r\nhost: site.example\r\nx-attempt-id: ${request.id}\r\nx-deadline-ms: ${this.deadline}\r\n\r\n`);
			await wait(this.gapMilliseconds * (0.5 + Math.random()));
			while (pending.length >= this.outstanding && !state.ended) {
				await wait(2);
			}
		}

		const endsAt = performance.now() + this.deadline;
		while (pending.length > 0 && !state.ended && performance.now() < endsAt) {
			await wait(5);
		}

		for (const request of pending) {
			Object.assign(request, {failure: state.ended ?? 'deadline', endedAt: performance.now()});
		}

		socket.destroy();
		await wait(10);
	}
}
