import process from 'node:process';
import {parseArgs} from 'node:util';
import {StandInEndpoint} from './stand-in-endpoint.js';
import {StandInHostList} from './stand-in-host-list.js';
import {StandInObjectStore} from './stand-in-object-store.js';
import {StandInTable} from './stand-in-table.js';

type StartedStandIn = {readonly url: string; readonly controlUrl?: string};

const starters: Readonly<Record<string, (port: number) => Promise<StartedStandIn>>> = {
	table: async port => new StandInTable().start(port),
	objects: async port => new StandInObjectStore().start(port),
	endpoint: async port => ({url: `http://127.0.0.1:${await new StandInEndpoint().start(port)}`}),
	async 'host-list'(port) {
		const list = new StandInHostList({lagMilliseconds: Number(values.lag)});
		const url = await list.start(port);
		return {url, controlUrl: list.controlUrl};
	},
};

/**
 * Runs one stand-in as a process (`main.js KIND --port N`) and prints one JSON line with its URLs. `--lag` applies to the
 * host list only.
 */
const {positionals: [kind = ''], values} = parseArgs({
	allowPositionals: true,
	options: {port: {type: 'string', default: '0'}, lag: {type: 'string', default: '0'}},
});
const start = starters[kind];
if (start) {
	const urls = await start(Number(values.port));
	process.stdout.write(`${JSON.stringify({kind, ...urls})}\n`);
} else {
	process.stderr.write(`Usage: main.js ${Object.keys(starters).join('|')} [--port N] [--lag MILLISECONDS]\n`);
	process.exitCode = 2;
}
