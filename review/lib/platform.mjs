/* eslint-disable no-await-in-loop -- steps follow one another */
// The platform's part in front of the edge hosts: which of them get new connections, restarts and planned stops.
import {setTimeout as wait} from 'node:timers/promises';

const readinessIntervalMilliseconds = 1000;
const missesUntilOut = 2;
const restartDelayMilliseconds = 500;

export class Platform {
	#misses = new Map();
	#picks = 0;
	#isStopped = false;

	constructor({fleet, record, links}) {
		Object.assign(this, {fleet, record, links});
		for (const edge of fleet.edges) {
			this.#misses.set(edge, 0);
		}
	}

	/** Asks each host once per second whether it is ready, and starts processes again that have ended by themselves. */
	start() {
		this.#watch();
	}

	stop() {
		this.#isStopped = true;
	}

	/** Picks the host for a new connection among those in rotation, in turn; of all of them if fewer than half are. */
	pick() {
		const {edges} = this.fleet;
		const inRotation = edges.filter(edge => this.#misses.get(edge) < missesUntilOut);
		const usable = inRotation.length * 2 < edges.length ? edges : inRotation;
		this.#picks += 1;
		const edge = usable[this.#picks % usable.length];
		const [host, port] = (this.links?.get(edge)?.front ?? edge.front).split(':');
		return {
			host, port: Number(port), edge: edge.id, front: `${host}:${port}`,
		};
	}

	/** Stops a host with SIGTERM, kills it if it has not ended after the grace period, and starts it again. */
	async restart(edge, graceMilliseconds) {
		const {child} = edge;
		const stoppedAt = performance.now();
		this.record.add('SIGTERM', {edge: edge.id}, stoppedAt);
		edge.kill('SIGTERM');
		while (!child.hasEnded && performance.now() - stoppedAt < graceMilliseconds) {
			await wait(10);
		}

		if (!child.hasEnded) {
			child.kill('SIGKILL');
		}

		this.record.add('ended after SIGTERM', {edge: edge.id, code: child.exitCode, milliseconds: Math.round(performance.now() - stoppedAt)});
		await wait(restartDelayMilliseconds);
		edge.start();
		this.record.add('started', {edge: edge.id});
	}

	async #watch() {
		while (!this.#isStopped) {
			for (const edge of this.fleet.edges) {
				this.#check(edge);
			}

			await wait(readinessIntervalMilliseconds);
		}
	}

	async #check(edge) {
		const isReady = await edge.checkReady();
		this.#misses.set(edge, isReady ? 0 : this.#misses.get(edge) + 1);
		const {child} = edge;
		if (child.hasEnded && !edge.isStopping && !this.#isStopped) {
			this.record.add('ended by itself', {edge: edge.id, code: child.exitCode, signal: child.signalCode});
			edge.isStopping = true;
			await wait(restartDelayMilliseconds);
			edge.start();
			this.record.add('started', {edge: edge.id});
		}
	}
}
