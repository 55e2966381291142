import type {Answers, ServiceAnswers} from './answers.js';
import type {Configuration, ServiceConfiguration} from './configuration.js';

/**
 * Generates the configuration from the answers. The function is pure and its output deterministic: equal answers serialize
 * to the same bytes.
 *
 * @param answers - Validated answers.
 * @param revision - Revision number of the accepted change.
 * @returns The configuration.
 */
export function generateConfiguration(answers: Answers, revision = 0): Configuration {
	return {
		revision,
		services: answers.services.map(service => generateService(service)),
		measuring: {probesPerSecond: answers.measuring.probesPerSecond, bytesPerSecond: answers.measuring.bytesPerSecond},
		tableWritesPerSecond: answers.tableWritesPerSecond,
	};
}

function generateService(service: ServiceAnswers): ServiceConfiguration {
	const {servers} = service;
	return {
		name: service.name,
		slotsPerEndpoint: servers.slots,
		connectionsPerEndpoint: servers.connections,
		workClasses: service.classes.map(({
			name, kind, priority, usualMilliseconds, longestMilliseconds, deadlineMilliseconds, hedge,
		}) => ({
			name, kind, priority, usualMilliseconds, longestMilliseconds, deadlineMilliseconds, hedge,
		})),
		routes: service.requests.map(({method, path, class: workClass, idempotent}) => ({
			method, path, workClass, idempotent,
		})),
		longWorkShare: service.longWorkShare,
		maximumWaitFraction: service.maximumWaitFraction,
		retryBudget: service.retryBudget,
		hedgeBudget: service.hedgeBudget,
		missingKey: service.missingKey,
		outcomeDays: service.outcomeDays,
		loadPath: servers.reportsLoad ? servers.loadPath : '',
		serviceLevels: service.promises.map(({class: workClass, latencyMilliseconds, objective, windowDays}) => ({
			workClass, latencyMilliseconds, objective, windowDays,
		})),
	};
}
