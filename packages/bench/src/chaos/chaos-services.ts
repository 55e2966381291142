import {buildScenarioService} from '../scenarios/build-scenario-service.js';
import type {ScenarioService} from '../scenarios/scenario-schema.js';
import type {FleetService} from '../scenarios/fleet-options.js';

const commonClass = {
	usual: 10, longest: 1000, deadline: 3000, kind: 'short', idempotent: true, method: 'GET',
} as const;

/** The services of a chaos run. */
export const chaosServices: readonly FleetService[] = ([
	{name: 'status', endpoints: 5, classes: {read: commonClass}},
	{
		name: 'payments', endpoints: 3, classes: {
			pay: {
				...commonClass, usual: 30, idempotent: false, method: 'POST',
			},
		},
	},
	{
		name: 'archive', endpoints: 3, classes: {
			download: {
				...commonClass, kind: 'long', usual: 600, longest: 5000, deadline: 8000,
			},
		},
	},
] as const).map(({name, endpoints, classes}) => ({configuration: buildScenarioService(name, {endpoints, slots: 3, classes}), endpoints}));
