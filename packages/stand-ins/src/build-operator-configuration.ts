/** Default limits of the platform's configuration; sizes are in bytes, times in milliseconds. */
const defaultLimits = {
	max_header_bytes: 16_384, max_body_bytes: 1_000_000, header_timeout_ms: 3000, idle_timeout_ms: 15_000,
};

/** Options of {@link buildOperatorConfiguration}. */
export type OperatorConfigurationOptions = {
	readonly revision: number;
	/** Routes, with the field names of the platform; required fields have defaults. */
	readonly routes: ReadonlyArray<Record<string, unknown>>;
	/** Names of the services. */
	readonly services: readonly string[];
	/** Limits that replace the defaults. */
	readonly limits?: Readonly<Record<string, number>>;
};

/**
 * Builds the configuration that the operator writes to the platform's store.
 *
 * @param options - Routes, services and limits.
 * @returns The value of the row `op/config`.
 */
export function buildOperatorConfiguration({revision, routes, services, limits = {}}: OperatorConfigurationOptions): object {
	return {
		version: `r${revision}`,
		routes: routes.map((route, index) => ({
			name: `route-${index}`, hostname: 'site.example', type: 'safe', priority: 1, ...route,
		})),
		services: services.map(name => ({name, health_check_path: '/health', max_connections: 200})),
		limits: {...defaultLimits, ...limits},
	};
}
