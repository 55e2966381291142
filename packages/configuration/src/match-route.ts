import type {
	Configuration, Route, ServiceConfiguration, WorkClass,
} from './configuration.js';

/** The service, route and work class that a request matches. */
export type RouteMatch = {
	readonly service: ServiceConfiguration;
	readonly route: Route;
	readonly workClass: WorkClass;
};

/**
 * Finds the route of a request.
 *
 * @param configuration - The configuration in force.
 * @param method - HTTP method.
 * @param path - Path of the request target without the query.
 * @returns The first match in the order of services and routes, or `undefined`.
 */
export function matchRoute(configuration: Configuration, method: string, path: string): RouteMatch | undefined {
	const segments = path.split('/');
	for (const service of configuration.services) {
		const route = service.routes.find(candidate => isRouteMatch(candidate, method, segments));
		const workClass = service.workClasses.find(({name}) => name === route?.workClass);
		if (route && workClass) {
			return {service, route, workClass};
		}
	}

	return undefined;
}

function isRouteMatch(route: Route, method: string, segments: readonly string[]): boolean {
	if (route.method !== '*' && route.method !== method) {
		return false;
	}

	const pattern = route.path.split('/');
	for (const [index, part] of pattern.entries()) {
		if (part === '**' && index === pattern.length - 1) {
			return segments.length >= index;
		}

		if (index >= segments.length || (part !== '*' && part !== segments[index])) {
			return false;
		}
	}

	return pattern.length === segments.length;
}
