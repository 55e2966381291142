import {loadModule} from './run-entry.js';

type EndpointProtocolModule = {
	readonly endpointProtocol: {
		readResponse(status: number, headers: unknown): {isNotRun: boolean; isGenuine: boolean};
	};
};

/**
 * Overrides how an edge host classifies the responses of endpoints.
 *
 * @param change - Receives the status and the original classification; returns the fields to replace.
 */
export async function updateResponseFlags(change: (status: number, flags: {isNotRun: boolean; isGenuine: boolean}) => object): Promise<void> {
	const {endpointProtocol} = await loadModule<EndpointProtocolModule>('../platform/dist/src/index.js');
	const {readResponse} = endpointProtocol;
	endpointProtocol.readResponse = (status, headers) => {
		const flags = readResponse(status, headers);
		return {...flags, ...change(status, flags)};
	};
}

/** Runs the unmodified program of the edge host with the arguments of this process. */
export async function runEdge(): Promise<void> {
	await loadModule('cli/dist/src/edge-main.js');
}
