/* eslint-disable camelcase -- names on the wire */
/* eslint-disable no-await-in-loop -- steps follow one another */
// A planned stop of a host under clients that send further safe requests before the first one has been answered.
import {setTimeout as wait} from 'node:timers/promises';
import {
	collectRuns, countBy, hasTrouble, recordRequests, runCase,
} from '../lib/case.mjs';
import {buildConfiguration, chooseAddress} from '../lib/fleet.mjs';
import {Link} from '../lib/link.mjs';
import {PipelineClient} from '../lib/pipeline-client.mjs';
import {Platform} from '../lib/platform.mjs';
import {Server} from '../lib/server.mjs';

const playMilliseconds = 40_000;
const contactMilliseconds = 3000;
const graceMilliseconds = 6000;
const deadlineMilliseconds = 3000;
const smallestBodyBytes = 100_000;
const largestBodyBytes = 540_000;

await runCase(import.meta.dirname, async (fleet, record) => {
	const servers = Array.from({length: 10}, (_, index) => new Server({
		id: `i-${index}`, service: 'archive-files', workMilliseconds: 110,
		answer(run, response) {
			this.bodyBytes = Math.round(smallestBodyBytes + (Math.random() * (largestBodyBytes - smallestBodyBytes)));
			this.serve(run, response);
		},
	}));
	await fleet.start({
		hosts: 3, servers,
		configuration: buildConfiguration({
			routes: [{
				path_prefix: '/photo/', type: 'safe', service: 'archive-files', timeout_ms: deadlineMilliseconds, target_latency_ms: 400,
			}],
			services: ['archive-files'],
		}),
	});
	const links = new Map();
	for (const edge of fleet.edges) {
		const link = new Link({target: edge.front});
		await link.start(chooseAddress());
		links.set(edge, link);
	}

	const platform = new Platform({fleet, record, links});
	platform.start();
	const until = performance.now() + playMilliseconds;
	const clients = Array.from({length: 12}, () => new PipelineClient({
		pickFront: () => platform.pick(), path: '/photo/', deadline: deadlineMilliseconds, gapMilliseconds: 100,
	}));
	const running = clients.map(async client => client.run(until));
	await wait(contactMilliseconds + 1000);
	for (let step = 0; step < (hasTrouble ? 6 : 0); step += 1) {
		await platform.restart(fleet.edges[step % fleet.edges.length], graceMilliseconds);
		await wait(2000);
	}

	await Promise.all(running);
	platform.stop();
	for (const link of links.values()) {
		link.stop();
	}

	const requests = clients.flatMap(client => client.requests);
	recordRequests(requests, record);
	const runs = collectRuns(servers, record);
	// Passed on to a server that has run it to its end and answered, while the client's connection ended without the whole answer.
	const lost = requests.filter(({id, failure, sentAt, endedAt}) => failure !== undefined && failure !== 'deadline' && endedAt - sentAt < deadlineMilliseconds
		&& runs.get(id)?.some(({isCut}) => isCut === false));
	for (const {id, edge, receivedBytes = 0, endedAt} of lost) {
		record.add('LOST', {id, edge, receivedBytes}, endedAt);
	}

	return {
		isBroken: lost.length > 0,
		figures: {requests: requests.length, seen: countBy(requests, ({status, failure}) => status ?? failure), passedOnAndLost: lost.length},
	};
});
