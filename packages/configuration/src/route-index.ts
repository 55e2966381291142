import type {PrefixRoute, RoutedService, RouteTable} from './route-table.js';

/** Indexes a route table by host name and path prefix. */
export class RouteIndex {
	readonly #routes = new Map<string, PrefixRoute[]>();
	readonly #services: ReadonlyMap<string, RoutedService>;

	constructor(readonly table: RouteTable) {
		this.#services = new Map(table.services.map(service => [service.name, service]));
		for (const route of table.routes) {
			const routes = this.#routes.get(route.hostname) ?? [];
			routes.push(route);
			this.#routes.set(route.hostname, routes);
		}

		for (const routes of this.#routes.values()) {
			routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
		}
	}

	/**
	 * Finds the route of a request.
	 *
	 * @param host - The `Host` header, with or without a port.
	 * @param path - Path of the request target without the query.
	 * @returns The route with the longest matching path prefix, or `undefined`.
	 */
	findRoute(host: string, path: string): PrefixRoute | undefined {
		const hostname = host.replace(/:\d+$/v, '').toLowerCase();
		return this.#routes.get(hostname)?.find(({pathPrefix}) => path.startsWith(pathPrefix));
	}

	/**
	 * Finds a service by name.
	 *
	 * @param name - Name of the service.
	 * @returns The service, or `undefined`.
	 */
	findService(name: string): RoutedService | undefined {
		return this.#services.get(name);
	}
}
