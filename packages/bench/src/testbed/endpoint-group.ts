import path from 'node:path';
import type {EndpointBehaviour} from '@tanagerrail/stand-ins';
import {ManagedProcess} from './managed-process.js';
import {readPorts} from './read-ports.js';

/** Options of {@link EndpointGroup}. */
export type EndpointGroupOptions = {
	readonly service: string;
	readonly count: number;
	readonly behaviour: Partial<EndpointBehaviour>;
	/** Directory of the log file. */
	readonly directory: string;
};

/** One endpoint stand-in of a running group. */
export type EndpointAddress = {
	readonly id: string;
	readonly service: string;
	/** `ip:port`. */
	readonly address: string;
};

/** The endpoint stand-ins of one service, which run together in one child process. */
export class EndpointGroup {
	/**
	 * Starts the process and waits until all its endpoints are listening.
	 *
	 * @param options - Service, number of endpoints and behaviour.
	 * @returns The running group.
	 */
	static async start({service, count, behaviour, directory}: EndpointGroupOptions): Promise<EndpointGroup> {
		const child = new ManagedProcess({
			name: `endpoints-${service}`,
			args: [path.join(import.meta.dirname, 'endpoint-process.js'), String(count), JSON.stringify(behaviour)],
			logFile: path.join(directory, `endpoints-${service}.log`),
		});
		const ports = await readPorts(child);
		return new EndpointGroup(child, ports.map((port, i) => ({id: `${service}-${i}`, service, address: `127.0.0.1:${port}`})));
	}

	private constructor(
		readonly process: ManagedProcess,
		readonly endpoints: readonly EndpointAddress[],
	) {}
}
