import type {ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {
	routedBehaviours, sealHeader, StandInRoutedEndpoint, TcpRelay, type RoutedBehaviour, type RoutedEndpointRun,
} from '@tanagerrail/stand-ins';
import type {SoakLedger} from './soak-ledger.js';

/** Usual duration of the work, in milliseconds. */
const workMilliseconds = 15;

/** Requests that may wait for a slot. */
const queueLength = 6;

const slots = 3;
const downloadBytes = 120_000;

/** How an endpoint ends a request that it has run. */
export const SoakEnding = {
	serve: 'serve', fail: 'fail', reset: 'reset', cut: 'cut', twice: 'twice', hang: 'hang', unsealed: 'unsealed',
} as const;

/** One of the endings. */
export type SoakEnding = typeof SoakEnding[keyof typeof SoakEnding];

const endings: Readonly<Record<SoakEnding, RoutedBehaviour>> = {
	serve(run, res) {
		res.writeHead(200, {'x-attempt-id': run.id, ...sealHeader}).end(buildBody(run));
	},
	fail: routedBehaviours.fail,
	reset: routedBehaviours.reset,
	cut(run, _, socket) {
		const body = buildBody(run);
		socket.end(`HTTP/1.1 200 OK\r\ncontent-length: ${body.length}\r\nx-attempt-id: ${run.id}\r\nx-server-seal: 1.2.3\r\n\r\n${body.slice(0, body.length / 2)}`);
	},
	twice(run, res, socket) {
		endings.serve(run, res, socket);
		setTimeout(() => {
			if (!socket.destroyed) {
				socket.write(`HTTP/1.1 200 OK\r\ncontent-length: 6\r\nx-attempt-id: ${run.id}\r\nx-server-seal: 1.2.3\r\n\r\nsecond`);
			}
		}, 5);
	},
	hang: routedBehaviours.hang,
	unsealed(run, res) {
		res.writeHead(200, {'x-attempt-id': run.id}).end('unsealed');
	},
};

/**
 * Builds the body of the response to a request.
 *
 * @param request - Its id and path.
 * @returns The body; that of a download is long.
 */
export function buildBody({id, target}: {readonly id: string; readonly target: string}): string {
	const text = `ran ${target} for ${id};`;
	return target.includes('/downloads/') ? text.repeat(Math.ceil(downloadBytes / text.length)) : text;
}

/** One endpoint behind a relay, which notes what reaches it. */
export class SoakEndpoint {
	readonly standIn: StandInRoutedEndpoint;
	/** Ending of the requests that are drawn by {@link SoakEndpoint.faultShare}. */
	ending: SoakEnding = SoakEnding.serve;
	/** Share of the requests that end in {@link SoakEndpoint.ending}. */
	faultShare = 0;
	/** How many times longer than usual work takes. */
	slowness = 1;
	service: string;
	relay: TcpRelay | undefined;
	address = '';
	bornAt = Date.now();
	sequence = 1;
	state: 'ready' | 'draining' = 'ready';
	readonly #ledger: SoakLedger;
	readonly #draw: () => number;

	constructor(options: {readonly id: string; readonly service: string; readonly ledger: SoakLedger; readonly draw: () => number}) {
		this.service = options.service;
		this.#ledger = options.ledger;
		this.#draw = options.draw;
		this.standIn = new StandInRoutedEndpoint({
			id: options.id,
			slots,
			behaviour: (run, res, socket) => {
				this.#run(run, res, socket);
			},
		});
	}

	/** Id under which the endpoint registers. */
	get id(): string {
		return this.standIn.healthId;
	}

	/** Starts to listen. */
	async start(): Promise<void> {
		await this.standIn.start();
		this.relay = new TcpRelay(this.standIn.address);
		this.address = await this.relay.start();
	}

	/** Stops at once. */
	async stop(): Promise<void> {
		this.relay?.stop();
		await this.standIn.stop();
	}

	/**
	 * Builds the entry of the registry.
	 *
	 * @returns The value of the row.
	 */
	buildEntry(): object {
		return this.standIn.buildEntry(this.service, {state: this.state, sequence: this.sequence}, {address: this.address, born: this.bornAt});
	}

	#run(run: RoutedEndpointRun, res: ServerResponse, socket: Socket): void {
		const hasRun = this.standIn.running <= slots + queueLength;
		const ending = this.#draw() < this.faultShare ? this.ending : SoakEnding.serve;
		this.#ledger.addArrival({
			id: run.id, endpoint: this.id, service: this.service, at: performance.now(), hasRun, deadlineMilliseconds: run.deadlineMilliseconds, ending,
		});
		if (!hasRun) {
			routedBehaviours.shed(run, res);
			return;
		}

		setTimeout(() => {
			if (!socket.destroyed) {
				endings[ending](run, res, socket);
			}
		}, workMilliseconds * this.slowness);
	}
}
