import process from 'node:process';
import {loadModule, runEntry} from './run-entry.js';

type EntryHostModule = {readonly EntryHost: {readonly prototype: {stop: () => Promise<void>}}};

/** Variant of the entry host that exits immediately instead of shutting down gracefully. */
const {EntryHost} = await loadModule<EntryHostModule>('cli/dist/src/entry-host.js');
EntryHost.prototype.stop = async () => {
	process.exit(0);
};

await runEntry();
