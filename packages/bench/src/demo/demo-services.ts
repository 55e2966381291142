import {
	defaultServiceConfiguration, type Route, type ServiceConfiguration, type WorkClass,
} from '@tanagerrail/configuration';
import type {FleetService} from '../scenarios/fleet-options.js';

const shortRead: WorkClass = {
	name: 'read', kind: 'short', priority: 'interactive', usualMilliseconds: 10, longestMilliseconds: 500, deadlineMilliseconds: 2000, hedge: false,
};

const payment: WorkClass = {
	...shortRead, name: 'payment', usualMilliseconds: 40, deadlineMilliseconds: 5000,
};

const download: WorkClass = {
	...shortRead, name: 'download', kind: 'long', priority: 'normal', usualMilliseconds: 1000, longestMilliseconds: 8000, deadlineMilliseconds: 10_000,
};

function buildRoute(method: string, path: string, workClass: WorkClass): Route {
	return {
		method, path, workClass: workClass.name, idempotent: workClass !== payment,
	};
}

function buildDemoService(name: string, workClasses: readonly WorkClass[], routes: readonly Route[]): ServiceConfiguration {
	return {
		...defaultServiceConfiguration, name, workClasses, routes,
	};
}

/**
 * Small version of the first deployment in docs/design.md, section 1.1: claim status, payments and archive files, with 3 slots
 * per server.
 */
export const demoServices: readonly FleetService[] = [
	{configuration: buildDemoService('claims', [shortRead], [buildRoute('GET', '/claims/**', shortRead)]), endpoints: 3},
	{configuration: buildDemoService('payments', [payment], [buildRoute('POST', '/payments', payment)]), endpoints: 2},
	{configuration: buildDemoService('archive', [shortRead, download], [buildRoute('GET', '/archive/photos/**', download), buildRoute('GET', '/archive/**', shortRead)]), endpoints: 3},
];
