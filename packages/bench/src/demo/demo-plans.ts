import {randomUUID} from 'node:crypto';
import type {RequestPlan} from '../scenarios/sent-request.js';

const read: Omit<RequestPlan, 'group' | 'target'> = {
	method: 'GET', body: '', key: undefined, workMilliseconds: 5, bodyMilliseconds: 0, bytes: 200, within: undefined,
};

/** Functions that create the requests of the demo, by kind of work. */
export const demoPlans = {
	status: (): RequestPlan => ({...read, group: 'claim status reads', target: `/claims/${randomUUID()}`}),
	photo: (): RequestPlan => ({
		...read, group: 'photo downloads', target: `/archive/photos/${randomUUID()}`, bytes: 2_000_000, bodyMilliseconds: 2500,
	}),
	payment: (): RequestPlan => ({
		...read, group: 'grant payments', method: 'POST', target: '/payments', body: JSON.stringify({grant: randomUUID(), euros: 120}), key: randomUUID(), workMilliseconds: 30, bytes: 80,
	}),
} as const;

/** Group of payments that are resent through another entry host. */
export const resendGroup = 'payments sent again';
