import {
	defaultServiceConfiguration, type ServiceConfiguration, type WorkClass,
} from '@tanagerrail/configuration';

/** Work class of short reads. */
export const shortWorkClass: WorkClass = {
	name: 'status', kind: 'short', priority: 'interactive', usualMilliseconds: 10, longestMilliseconds: 500, deadlineMilliseconds: 1000, hedge: false,
};

/**
 * Builds the configuration of a service that routes GET requests under `/<name>/` to the short work class.
 *
 * @param name - Name of the service and first segment of its paths.
 * @param overrides - Fields that differ from the defaults.
 * @returns The configuration.
 */
export function buildService(name: string, overrides: Partial<ServiceConfiguration> = {}): ServiceConfiguration {
	return {
		...defaultServiceConfiguration,
		name,
		workClasses: [shortWorkClass],
		routes: [{
			method: 'GET', path: `/${name}/**`, workClass: shortWorkClass.name, idempotent: true,
		}],
		...overrides,
	};
}
