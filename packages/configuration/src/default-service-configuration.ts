import {MissingKeyPolicy, type ServiceConfiguration} from './configuration.js';

/** Default values of the fields that the answers about a service may omit. */
export const defaultServiceConfiguration = {
	slotsPerEndpoint: 3,
	connectionsPerEndpoint: 200,
	longWorkShare: 0.34,
	maximumWaitFraction: 0.5,
	retryBudget: 0.1,
	hedgeBudget: 0.02,
	missingKey: MissingKeyPolicy.refuse,
	outcomeDays: 30,
	loadPath: '/-/load',
	serviceLevels: [],
} as const satisfies Partial<ServiceConfiguration>;
