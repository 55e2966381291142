import process from 'node:process';
import {loadModule, runEntry} from './run-entry.js';

type EntryHostModule = {readonly EntryHost: {readonly prototype: {stop: () => Promise<void>}}};

/** An entry that ends at once when it is told to stop. */
const {EntryHost} = await loadModule<EntryHostModule>('cli/dist/src/entry-host.js');
EntryHost.prototype.stop = async () => {
	process.exit(0);
};

await runEntry();
