import {defaultServiceConfiguration, type ServiceConfiguration} from '@tanagerrail/configuration';
import type {ScenarioService} from './scenario-schema.js';

/**
 * Builds the configuration of a scenario's service.
 *
 * @param name - Name of the service.
 * @param service - Its description in the scenario.
 * @returns The configuration; class C has the path `/NAME/C/...`.
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
