import {setTimeout as waitMilliseconds} from 'node:timers/promises';
import {
	Caller, EntryBalancer, Fleet, type SentRequest,
} from '../scenarios/index.js';
import {waitUntil} from '../testbed/index.js';
import {demoPlans, resendGroup} from './demo-plans.js';
import {demoServices} from './demo-services.js';

const rounds = 60;
const roundMilliseconds = 50;
const stoppedEntry = 'entry-1';
const stoppedEndpoint = 'claims-0';

/** Results of a demo run, from which the report is built. */
export type DemoRun = {
	readonly fleet: Fleet;
	readonly sent: readonly SentRequest[];
	/** Whether the gracefully stopped entry host exited with code 0. */
	readonly hasEntryExitedCleanly: boolean;
	/** Requests that the drained endpoint started to run after it had left. */
	readonly runsAfterLeaving: number;
	readonly seconds: number;
};

/**
 * Sends reads, payments and downloads while one entry host and one endpoint shut down gracefully.
 *
 * @param report - Called with the results before the fleet is stopped.
 * @returns The result of `report`.
 */
export async function runDemo<T>(report: (run: DemoRun) => T): Promise<T> {
	const startedAt = performance.now();
	const fleet = await Fleet.start({
		entries: 4, services: demoServices, hasRelays: false, settings: {shutdown: {lameDuckMilliseconds: 500, shutdownMilliseconds: 60_000}},
	});
	const caller = new Caller();
	const balancer = new EntryBalancer({entries: [...fleet.entries.values()]});
	try {
		const [stopped] = await Promise.all([stopEntryAndEndpoint(fleet), sendTraffic(caller, balancer)]);
		return report({
			fleet, sent: caller.sent, ...stopped, seconds: (performance.now() - startedAt) / 1000,
		});
	} finally {
		balancer.stop();
		await caller.stop();
		await fleet.stop();
	}
}

async function sendTraffic(caller: Caller, balancer: EntryBalancer): Promise<void> {
	const requests: Array<Promise<unknown>> = [];
	for (let round = 0; round < rounds; round++) {
		requests.push(...Array.from({length: 4}, async () => caller.send(demoPlans.status(), balancer.choose())));
		if (round % 3 === 0) {
			requests.push(sendPayment(caller, balancer));
		}

		if (round % 20 === 0) {
			requests.push(caller.send(demoPlans.photo(), balancer.choose()));
		}

		await waitMilliseconds(roundMilliseconds);
	}

	await Promise.all(requests);
}

/**
 * Sends a payment and resends it through another entry host, once while the first request is running and once after it has
 * ended.
 */
async function sendPayment(caller: Caller, balancer: EntryBalancer): Promise<void> {
	const plan = demoPlans.payment();
	const entry = balancer.choose();
	const first = caller.send(plan, entry);
	const resend = async () => caller.send({...plan, group: resendGroup}, balancer.choose(entry.id));
	await waitMilliseconds(10);
	await Promise.all([first, resend()]);
	await resend();
}

async function stopEntryAndEndpoint(fleet: Fleet): Promise<{hasEntryExitedCleanly: boolean; runsAfterLeaving: number}> {
	const entry = fleet.entries.get(stoppedEntry)!;
	const endpoint = fleet.endpoints.get(stoppedEndpoint)!;
	await waitMilliseconds(rounds * roundMilliseconds / 3);
	entry.process.requestStop();
	endpoint.standIn.update({isDraining: true});
	fleet.setLeaving(endpoint.id, true);
	await waitMilliseconds(rounds * roundMilliseconds / 3);
	const runsBefore = endpoint.standIn.startedCount;
	await waitUntil(() => endpoint.runs.every(({startedAt, endedAt}) => startedAt === undefined || endedAt !== undefined), {name: `the end of all requests at ${endpoint.id}`});
	await entry.process.waitForExit();
	const runsAfterLeaving = endpoint.standIn.startedCount - runsBefore;
	endpoint.kill();
	return {hasEntryExitedCleanly: entry.process.exitCode === 0, runsAfterLeaving};
}
