/* eslint-disable camelcase -- names on the wire */

// Stand-in for the platform's store: rows, full reads and feeds as PROTOCOL.md describes them.
import {Buffer} from 'node:buffer';
import http from 'node:http';

const jsonType = {'content-type': 'application/json'};

export class Store {
	#rows = new Map();
	#changes = [];
	#waiters = new Set();
	#version = 0;
	#server = http.createServer((request, response) => {
		this.#serve(request, response);
	});

	async start(host) {
		await new Promise(resolve => {
			this.#server.listen(0, host, resolve);
		});
		const {address, port} = this.#server.address();
		this.address = `${address}:${port}`;
	}

	stop() {
		this.#server.close();
		this.#server.closeAllConnections();
	}

	put(table, key, value) {
		this.#version += 1;
		const row = {
			table, part: '', key, value: Buffer.from(JSON.stringify(value)).toString('base64'), row_version: this.#version,
		};
		this.#rows.set(`${table}/${key}`, row);
		this.#publish(row);
	}

	remove(table, key) {
		const row = this.#rows.get(`${table}/${key}`);
		if (row) {
			this.#version += 1;
			this.#rows.delete(`${table}/${key}`);
			this.#publish({...row, deleted: true, row_version: this.#version});
		}
	}

	#publish(change) {
		this.#changes.push(change);
		for (const waiter of new Set(this.#waiters)) {
			waiter();
		}
	}

	#serve(request, response) {
		const {pathname, searchParams} = new URL(request.url, 'http://store');
		const table = searchParams.get('table');
		const respond = rows => {
			response.writeHead(200, jsonType);
			response.end(JSON.stringify({
				rows, row_version: this.#version, now_ms: Math.round(performance.now()), truncated: false,
			}));
		};

		if (pathname === '/tanagerrail/rows-get') {
			const rows = [...this.#rows.values()].filter(row => row.table === table && row.part === (searchParams.get('part') ?? ''));
			respond(rows.sort((a, b) => (a.key < b.key ? -1 : 1)));
			return;
		}

		if (pathname === '/tanagerrail/rows-feed') {
			const after = Number(searchParams.get('after'));
			const find = () => this.#changes.filter(row => row.table === table && row.row_version > after);
			const finish = () => {
				clearTimeout(timer);
				this.#waiters.delete(check);
				respond(find());
			};

			const check = () => {
				if (find().length > 0) {
					finish();
				}
			};

			const timer = setTimeout(finish, Number(searchParams.get('wait_ms') ?? 0));
			this.#waiters.add(check);
			response.once('close', () => {
				clearTimeout(timer);
				this.#waiters.delete(check);
			});
			check();
			return;
		}

		response.writeHead(404).end();
	}
}
