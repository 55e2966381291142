import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {chooseLoopbackAddress} from './choose-loopback-address.js';

/** A row as it is stored; `value` is base64. */
type StoredRow = {table: string; part: string; key: string; value: string; row_version: number};

type Change = StoredRow & {deleted?: true};

/** Faults of the store, which affect all calls. */
export const RowStoreFault = {
	/** Each call gets status 503 and has no effect. */
	busy: 'busy',
	/** Calls get no response; connections stay open. */
	silent: 'silent',
	/** The connection of each call is closed without a response. */
	reset: 'reset',
	/** Each call gets status 429 (too many requests) and has no effect. */
	throttled: 'throttled',
} as const;

/** Faults of the store, which affect all calls. */
export type RowStoreFault = typeof RowStoreFault[keyof typeof RowStoreFault];

type Waiter = {readonly table: string; readonly after: number; readonly respond: () => void};

/** In-memory stand-in for the platform's metadata store, with rows, transactions and change feeds. */
export class StandInRowStore {
	/** Paths of the calls received, in order of arrival. */
	readonly calls: string[] = [];
	fault: RowStoreFault | undefined;
	readonly #rows = new Map<string, StoredRow>();
	readonly #sockets = new Set<Socket>();
	#changes: Change[] = [];
	#waiters: Waiter[] = [];
	#version = 0;
	#historyStart = 0;
	readonly #server: Server;

	constructor() {
		this.#server = createServer((req, res) => {
			void this.#handleRequest(req, res);
		});
		this.#server.on('connection', socket => {
			this.#sockets.add(socket);
			socket.once('close', () => this.#sockets.delete(socket));
		});
	}

	/** `ip:port` of the store. */
	get address(): string {
		const {address, port} = this.#server.address() as AddressInfo;
		return `${address}:${port}`;
	}

	/** Starts to listen on a free port. */
	async start(): Promise<void> {
		await new Promise<void>(resolve => {
			this.#server.listen(0, chooseLoopbackAddress(), resolve);
		});
	}

	/** Stops and closes all connections. */
	async stop(): Promise<void> {
		this.dropConnections();
		await new Promise(resolve => {
			this.#server.close(resolve);
		});
	}

	/** Closes all open connections. */
	dropConnections(): void {
		for (const socket of this.#sockets) {
			socket.destroy();
		}
	}

	/** Deletes the history of changes, so that feeds from an older version get status 410. */
	dropHistory(): void {
		this.#changes = [];
		this.#historyStart = this.#version;
	}

	/**
	 * Writes a row.
	 *
	 * @param table - Name of the table.
	 * @param key - Key of the row, in the empty part.
	 * @param value - Text that is stored unchanged, or another value that is stored as JSON.
	 */
	put(table: string, key: string, value: unknown): void {
		const text = typeof value === 'string' ? value : JSON.stringify(value);
		this.#write({
			table, part: '', key, value: Buffer.from(text).toString('base64'),
		});
		this.#notifyWaiters();
	}

	/**
	 * Removes a row.
	 *
	 * @param table - Name of the table.
	 * @param key - Key of the row, in the empty part.
	 */
	remove(table: string, key: string): void {
		this.#delete({table, part: '', key});
		this.#notifyWaiters();
	}

	/**
	 * Lists the keys of a table.
	 *
	 * @param table - Name of the table.
	 * @returns The keys in the empty part.
	 */
	listKeys(table: string): string[] {
		return [...this.#rows.values()].filter(row => row.table === table && row.part === '').map(({key}) => key).sort();
	}

	async #handleRequest(req: IncomingMessage, res: ServerResponse): Promise<void> {
		const url = new URL(req.url ?? '/', 'http://store');
		this.calls.push(url.pathname);
		const faults: Readonly<Record<RowStoreFault, () => void>> = {
			busy: () => res.writeHead(503).end(),
			silent() {/* No response. */},
			reset: () => req.socket.destroy(),
			throttled: () => res.writeHead(429).end(),
		};
		if (this.fault) {
			faults[this.fault]();
			return;
		}

		const handlers: Readonly<Record<string, () => void | Promise<void>>> = {
			'/tanagerrail/rows-get': () => {
				this.#serveGet(url, res);
			},
			'/tanagerrail/rows-feed': () => {
				this.#serveFeed(url, res);
			},
			'/tanagerrail/rows-tx': async () => this.#serveTransaction(req, res),
		};
		const handler = handlers[url.pathname];
		if (!handler) {
			res.writeHead(404).end();
			return;
		}

		await handler();
	}

	#serveGet({searchParams}: URL, res: ServerResponse): void {
		const from = searchParams.get('from') ?? '';
		const limit = Number(searchParams.get('limit') ?? 500);
		const found = [...this.#rows.values()]
			.filter(({table, part, key}) => table === searchParams.get('table') && part === (searchParams.get('part') ?? '') && key >= from)
			.sort((a, b) => a.key < b.key ? -1 : 1);
		this.#respond(res, 200, {rows: found.slice(0, limit), truncated: found.length > limit});
	}

	#serveFeed({searchParams}: URL, res: ServerResponse): void {
		const table = searchParams.get('table') ?? '';
		const after = Number(searchParams.get('after'));
		const waitMilliseconds = Number(searchParams.get('wait_ms') ?? 0);
		if (after < this.#historyStart) {
			this.#respond(res, 410, {});
			return;
		}

		const findRows = () => this.#changes.filter(change => change.table === table && change.row_version > after);
		let isDone = false;
		const respond = () => {
			if (!isDone) {
				isDone = true;
				clearTimeout(timer);
				this.#respond(res, 200, {rows: findRows()});
			}
		};

		const timer = setTimeout(respond, waitMilliseconds);
		if (findRows().length > 0) {
			respond();
			return;
		}

		this.#waiters.push({table, after, respond});
		res.once('close', () => {
			clearTimeout(timer);
		});
	}

	async #serveTransaction(req: IncomingMessage, res: ServerResponse): Promise<void> {
		const chunks: Uint8Array[] = [];
		for await (const chunk of req as AsyncIterable<Uint8Array>) {
			chunks.push(chunk);
		}

		const {expected, writes, remove} = JSON.parse(Buffer.concat(chunks).toString()) as Record<'expected' | 'writes' | 'remove', StoredRow[]>;
		const areVersionsCurrent = expected.every(({table, part, key, row_version: version}) => (this.#rows.get(formatRowId(table, part, key))?.row_version ?? 0) === version);
		if (!areVersionsCurrent) {
			this.#respond(res, 412, {rows: expected.map(({table, part, key}) => this.#rows.get(formatRowId(table, part, key))).filter(Boolean)});
			return;
		}

		for (const row of writes) {
			this.#write(row);
		}

		for (const row of remove) {
			this.#delete(row);
		}

		this.#notifyWaiters();
		this.#respond(res, 200, {});
	}

	#write(row: Omit<StoredRow, 'row_version'>): void {
		this.#version += 1;
		const stored = {...row, row_version: this.#version};
		this.#rows.set(formatRowId(row.table, row.part, row.key), stored);
		this.#changes.push(stored);
	}

	#delete({table, part, key}: Pick<StoredRow, 'table' | 'part' | 'key'>): void {
		const row = this.#rows.get(formatRowId(table, part, key));
		if (!row) {
			return;
		}

		this.#version += 1;
		this.#rows.delete(formatRowId(table, part, key));
		this.#changes.push({...row, row_version: this.#version, deleted: true});
	}

	#notifyWaiters(): void {
		const notified = this.#waiters.filter(({table, after}) => this.#changes.some(change => change.table === table && change.row_version > after));
		this.#waiters = this.#waiters.filter(waiter => !notified.includes(waiter));
		for (const {respond} of notified) {
			respond();
		}
	}

	#respond(res: ServerResponse, status: number, body: object): void {
		res.writeHead(status, {'content-type': 'application/json'});
		res.end(JSON.stringify({...body, row_version: this.#version, now_ms: Math.round(performance.now())}));
	}
}

function formatRowId(table: string, part: string, key: string): string {
	return `${table}\0${part}\0${key}`;
}
