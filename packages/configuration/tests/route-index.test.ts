import {test} from 'tap';
import {RouteIndex} from '../src/route-index.js';
import type {PrefixRoute, RouteTable} from '../src/route-table.js';
import {TrafficSplitter} from '../src/traffic-splitter.js';

function buildRoute(name: string, hostname: string, pathPrefix: string): PrefixRoute {
	return {
		name, hostname, pathPrefix, repetition: 'idempotent', timeoutMilliseconds: 1000, objectiveMilliseconds: 400, rank: 1, maximumAttempts: 2, targets: [{service: name, weight: 1}],
	};
}

const table: RouteTable = {
	revision: 3,
	routes: [buildRoute('short', 'a.example', '/x/'), buildRoute('long', 'a.example', '/x/y/'), buildRoute('other', 'b.example', '/x/y/')],
	services: [{name: 'short', healthPath: '/health', connectionsPerEndpoint: 10}],
	limits: {
		headerBytes: 1, bodyBytes: 1, headersMilliseconds: 1, idleMilliseconds: 1,
	},
};

test('a request matches the route with its host name and the longest path prefix', async t => {
	const index = new RouteIndex(table);
	const cases: ReadonlyArray<readonly [host: string, path: string, route: string | undefined]> = [
		['a.example', '/x/1', 'short'],
		['a.example', '/x/y/1', 'long'],
		['A.Example:8080', '/x/y/', 'long'],
		['b.example', '/x/y/1', 'other'],
		['b.example', '/x/1', undefined],
		['a.example', '/x', undefined],
		['a.example', '/xx/1', undefined],
		['c.example', '/x/1', undefined],
		['', '/x/1', undefined],
	];
	for (const [host, path, route] of cases) {
		t.equal(index.findRoute(host, path)?.name, route, `${host}${path}`);
	}

	t.equal(index.findService('short')?.healthPath, '/health');
	t.equal(index.findService('none'), undefined);
});

test('traffic is split by weight even if each host gets few requests', async t => {
	const targets = [{service: 'a', weight: 90}, {service: 'b', weight: 10}, {service: 'c', weight: 0}];
	const counts: Record<string, number> = {a: 0, b: 0, c: 0};
	for (let host = 0; host < 20; host++) {
		const splitter = new TrafficSplitter(() => host / 20);
		for (let index = 0; index < 25; index++) {
			counts[splitter.chooseService({name: 'r', targets})]! += 1;
		}
	}

	t.ok(Math.abs((counts.b! / 500) - 0.1) < 0.02, `${counts.b} of 500`);
	t.equal(counts.c, 0);
});
