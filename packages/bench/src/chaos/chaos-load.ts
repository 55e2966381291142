import {randomUUID} from 'node:crypto';
import {setTimeout as waitMilliseconds} from 'node:timers/promises';
import type {RandomSource} from '../load/random-source.js';
import type {
	Caller, EntryBalancer, Fleet, RequestPlan,
} from '../scenarios/index.js';

/** Groups of requests of a chaos run. */
export const chaosGroups = {
	read: 'reads', payment: 'keyed writes', resend: 'resends', download: 'downloads',
} as const;

const tickMilliseconds = 20;
const paymentTicks = 3;
const downloadTicks = 25;

/** What the load needs. */
export type ChaosLoadOptions = {
	readonly fleet: Fleet;
	readonly caller: Caller;
	readonly balancer: EntryBalancer;
	readonly random: RandomSource;
	readonly milliseconds: number;
};

/**
 * Sends reads, keyed writes with resends through any host, and downloads; it waits for their ends.
 *
 * @param options - Fleet and length of the run.
 */
export async function sendChaosLoad(options: ChaosLoadOptions): Promise<void> {
	const {caller, balancer, milliseconds} = options;
	const requests: Array<Promise<unknown>> = [];
	const start = performance.now();
	for (let tick = 0; performance.now() - start < milliseconds; tick++) {
		requests.push(caller.send(createRead(), balancer.choose()));
		if (tick % paymentTicks === 0) {
			requests.push(sendPayment(options));
		}

		if (tick % downloadTicks === 0) {
			requests.push(caller.send(createDownload(), balancer.choose()));
		}

		await waitMilliseconds(tickMilliseconds);
	}

	await Promise.all(requests);
}

/** Sends a keyed write, and again through any two hosts, the first time while it may still run. */
async function sendPayment({fleet, caller, balancer, random}: ChaosLoadOptions): Promise<void> {
	const plan = createPayment(random);
	const entries = [...fleet.entries.values()];
	const resend = async () => caller.send({...plan, group: chaosGroups.resend}, entries[random.drawIndex(entries.length)]!);
	const first = caller.send(plan, balancer.choose());
	await waitMilliseconds(random.draw() * 100);
	await Promise.all([first, resend()]);
	await waitMilliseconds(random.draw() * 500);
	await resend();
}

function createRead(): RequestPlan {
	return {
		group: chaosGroups.read, method: 'GET', target: `/status/read/${randomUUID()}`, body: '', key: undefined, workMilliseconds: 10, bodyMilliseconds: 0, bytes: 200, within: undefined,
	};
}

function createDownload(): RequestPlan {
	return {
		...createRead(), group: chaosGroups.download, target: `/archive/download/${randomUUID()}`, bytes: 300_000, bodyMilliseconds: 600,
	};
}

/** Every tenth response is large enough to be kept in the object store. */
function createPayment(random: RandomSource): RequestPlan {
	return {
		...createRead(), group: chaosGroups.payment, method: 'POST', target: '/payments/pay/grant', body: randomUUID(),
		key: randomUUID(), workMilliseconds: 30, bytes: random.drawIndex(10) === 0 ? 50_000 : 100,
	};
}
