import process from 'node:process';
import {loadModule} from './run-entry.js';
import {runEdge} from './run-edge.js';

/** Variant of the edge host that exits immediately instead of shutting down gracefully. */
const {EdgeHost} = await loadModule<{EdgeHost: {prototype: {stop(): Promise<void>}}}>('cli/dist/src/edge-host.js');
EdgeHost.prototype.stop = async () => {
	process.exit(0);
};

await runEdge();
