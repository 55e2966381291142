import process from 'node:process';
import {parseArgs} from 'node:util';
import {StandInObjectStore} from './stand-in-object-store.js';
import {StandInTable} from './stand-in-table.js';

type StartedStandIn = {readonly url: string; readonly controlUrl?: string};

const starters: Readonly<Record<string, (port: number) => Promise<StartedStandIn>>> = {
	table: async port => new StandInTable().start(port),
	objects: async port => new StandInObjectStore().start(port),
};

/** Runs one stand-in as a process: `main.js KIND --port N`. Prints one JSON line with its URLs. */
const {positionals: [kind = ''], values: {port}} = parseArgs({allowPositionals: true, options: {port: {type: 'string', default: '0'}}});
const start = starters[kind];
if (start) {
	const urls = await start(Number(port));
	process.stdout.write(`${JSON.stringify({kind, ...urls})}\n`);
} else {
	process.stderr.write(`Usage: main.js ${Object.keys(starters).join('|')} [--port N]\n`);
	process.exitCode = 2;
}
