import {randomUUID} from 'node:crypto';
import {setTimeout as waitMilliseconds} from 'node:timers/promises';
import type {RandomSource} from '../load/random-source.js';
import type {
	Caller, EntryBalancer, Fleet, RequestPlan,
} from '../scenarios/index.js';

/** Groups into which the requests of a chaos run are counted. */
export const chaosGroups = {
	read: 'reads', payment: 'keyed writes', resend: 'resends', download: 'downloads',
} as const;

const tickMilliseconds = 20;
const ticksPerPayment = 3;
const ticksPerDownload = 25;

/** Options of {@link sendChaosLoad}. */
export type ChaosLoadOptions = {
	readonly fleet: Fleet;
	readonly caller: Caller;
	readonly balancer: EntryBalancer;
	readonly random: RandomSource;
	readonly milliseconds: number;
};

/**
 * Sends reads, keyed writes with resends, and downloads, and waits until all of them have ended.
 *
 * @param options - Fleet and duration of the load.
 */
export async function sendChaosLoad(options: ChaosLoadOptions): Promise<void> {
	const {caller, balancer, milliseconds} = options;
	const requests: Array<Promise<unknown>> = [];
	const start = performance.now();
	for (let tick = 0; performance.now() - start < milliseconds; tick++) {
		requests.push(caller.send(createRead(), balancer.choose()));
		if (tick % ticksPerPayment === 0) {
			requests.push(sendPayment(options));
		}

		if (tick % ticksPerDownload === 0) {
			requests.push(caller.send(createDownload(), balancer.choose()));
		}

		await waitMilliseconds(tickMilliseconds);
	}

	await Promise.all(requests);
}

/** Sends a keyed write and resends it through two random hosts, the first time while the original may still be running. */
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

/** Creates a keyed write; one in ten responses, on average, is large enough to be stored in the object store. */
function createPayment(random: RandomSource): RequestPlan {
	return {
		...createRead(), group: chaosGroups.payment, method: 'POST', target: '/payments/pay/grant', body: randomUUID(),
		key: randomUUID(), workMilliseconds: 30, bytes: random.drawIndex(10) === 0 ? 50_000 : 100,
	};
}
