import {once} from 'node:events';
import {Agent, request, type IncomingMessage} from 'node:http';
import type {Socket} from 'node:net';
import {setTimeout as wait} from 'node:timers/promises';
import type {RandomSource} from '../load/random-source.js';
import {buildBody} from './soak-endpoint.js';
import type {SoakFleet} from './soak-fleet.js';
import type {SoakHost} from './soak-host.js';
import {SoakRequestKind, type SoakRequest} from './soak-history.js';

/** Mean pause between two requests of a client. */
const meanPauseMilliseconds = 60;

/** Share of the requests that the client cancels early. */
const earlyCancelShare = 0.03;

/** Share of the reads that go to routes that were added or removed during the run. */
const changedRouteShare = 0.3;

/** Timeouts of clients, in milliseconds; some are shorter and some longer than the timeout of the routes. */
const clientTimeouts = [900, 2000, 4000];

type ChosenRequest = {readonly kind: SoakRequestKind; readonly service: string; readonly prefix: string};

/** Sends requests one at a time over one connection, which it keeps until the connection is closed or breaks. */
export class SoakClient {
	readonly #fleet: SoakFleet;
	readonly #random: RandomSource;
	readonly #name: string;
	readonly #agent = new Agent({keepAlive: true, maxSockets: 1});
	#host: SoakHost | undefined;
	#socket: Socket | undefined;
	#count = 0;

	constructor({name, fleet, random}: {readonly name: string; readonly fleet: SoakFleet; readonly random: RandomSource}) {
		this.#name = name;
		this.#fleet = fleet;
		this.#random = random;
	}

	/**
	 * Sends requests until the signal is aborted, and waits for the last one to end.
	 *
	 * @param signal - Signal that stops the client.
	 */
	async run(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			const host = this.#chooseHost();
			if (host) {
				await this.#send(host, this.#chooseRequest());
			}

			await wait(this.#random.drawExponential(meanPauseMilliseconds));
		}

		this.#agent.destroy();
	}

	/** Chooses the host of the open connection, or else a host that is ready. */
	#chooseHost(): SoakHost | undefined {
		if (this.#host && this.#socket && !this.#socket.destroyed) {
			return this.#host;
		}

		const ready = this.#fleet.hosts.filter(({isReady}) => isReady);
		this.#host = ready[this.#random.drawIndex(ready.length)];
		this.#socket = undefined;
		return this.#host;
	}

	#chooseRequest(): ChosenRequest {
		const kind = [SoakRequestKind.read, SoakRequestKind.read, SoakRequestKind.payment, SoakRequestKind.payment, SoakRequestKind.download][this.#random.drawIndex(5)]!;
		const service = `${kind}s`;
		const prefixes = this.#fleet.history.routeChanges.map(({prefix}) => prefix);
		const usesChangedRoute = kind === SoakRequestKind.read && prefixes.length > 0 && this.#random.draw() < changedRouteShare;
		return {kind, service, prefix: usesChangedRoute ? prefixes[this.#random.drawIndex(prefixes.length)]! : `/${service}/`};
	}

	async #send(host: SoakHost, {kind, service, prefix}: ChosenRequest): Promise<void> {
		this.#count += 1;
		const id = `${this.#name}-${this.#count}`;
		const sent: SoakRequest = {
			id, kind, service, target: `${prefix}${id}`, prefix, host: host.id, incarnation: host.incarnation, sentAt: performance.now(),
			timeoutMilliseconds: clientTimeouts[this.#random.drawIndex(clientTimeouts.length)]!,
		};
		this.#fleet.history.requests.set(id, sent);
		try {
			await this.#receive(sent, host.address);
		} catch (error) {
			sent.error = (error as NodeJS.ErrnoException).code ?? (error as Error).name;
		}

		sent.endedAt = performance.now();
	}

	async #receive(sent: SoakRequest, address: string): Promise<void> {
		const [hostname, port] = address.split(':');
		const isCancelledEarly = this.#random.draw() < earlyCancelShare;
		const milliseconds = isCancelledEarly ? sent.timeoutMilliseconds * this.#random.draw() * 0.1 : sent.timeoutMilliseconds + 500;
		sent.isCancelledEarly = isCancelledEarly;
		const req = request({
			hostname, port, path: sent.target, method: sent.kind === SoakRequestKind.payment ? 'POST' : 'GET', agent: this.#agent,
			headers: {host: 'site.example', 'x-attempt-id': sent.id, 'x-deadline-ms': String(sent.timeoutMilliseconds)},
			signal: AbortSignal.timeout(Math.ceil(milliseconds)),
		});
		req.once('socket', socket => {
			this.#socket = socket;
		});
		req.end(sent.kind === SoakRequestKind.payment ? `amount of ${sent.id}` : undefined);
		const [res] = await once(req, 'response') as [IncomingMessage];
		const chunks: Uint8Array[] = [];
		for await (const chunk of res as AsyncIterable<Uint8Array>) {
			chunks.push(chunk);
		}

		sent.hasExpectedBody = Buffer.concat(chunks).toString() === buildBody(sent);
		sent.status = res.statusCode ?? 0;
	}
}
