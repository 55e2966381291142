import {defaultServiceConfiguration, type ServiceConfiguration} from '@tanagerrail/configuration';
import type {ScenarioService} from './scenario-schema.js';

/**
 * Builds the configuration of a service of a scenario.
 *
 * @param name - Name of the service.
 * @param service - Definition of the service in the scenario.
 * @returns The configuration; work class C is routed by the path `/NAME/C/...`.
 */
export function buildScenarioService(name: string, {slots, classes}: ScenarioService): ServiceConfiguration {
	const entries = Object.entries(classes);
	return {
		...defaultServiceConfiguration,
		name,
		slotsPerEndpoint: slots,
		workClasses: entries.map(([className, {kind, usual, longest, deadline}]) => ({
			name: className,
			kind,
			priority: kind === 'long' ? 'normal' : 'interactive',
			usualMilliseconds: usual,
			longestMilliseconds: longest,
			deadlineMilliseconds: deadline,
			hedge: false,
		})),
		routes: entries.map(([className, {method, idempotent}]) => ({
			method, path: `/${name}/${className}/**`, workClass: className, idempotent,
		})),
	};
}
