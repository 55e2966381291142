import type {Configuration, ServiceConfiguration} from '@tanagerrail/configuration';
import type {EndpointBehaviour} from '@tanagerrail/stand-ins';

/** One service of a fleet. */
export type FleetService = {
	readonly configuration: ServiceConfiguration;
	/** Number of endpoint stand-ins. */
	readonly endpoints: number;
	readonly behaviour?: Partial<EndpointBehaviour>;
};

/** Options of a fleet. */
export type FleetOptions = {
	/** Number of entry processes. */
	readonly entries: number;
	readonly failureDomains: number;
	readonly services: readonly FleetService[];
	/** Fields of the configuration other than the services. */
	readonly configuration: Partial<Configuration>;
	/** Whether the table service and the object store run. */
	readonly hasPlatform: boolean;
	/** Whether connections between processes pass through relays that can simulate network cuts. */
	readonly hasRelays: boolean;
	/** Lag of the host list in milliseconds. */
	readonly listLagMilliseconds: number;
	/** Sections of each settings file that replace the generated ones. */
	readonly settings: Readonly<Record<string, unknown>>;
	/** Script that replaces the program of the entry processes; tests use it to disable a mechanism. */
	readonly entryScript: string | undefined;
};

/** Defaults of {@link FleetOptions}. */
export const defaultFleetOptions: Omit<FleetOptions, 'services'> = {
	entries: 3, failureDomains: 3, configuration: {}, hasPlatform: true, hasRelays: true, listLagMilliseconds: 0, settings: {}, entryScript: undefined,
};

/** Default configuration of a fleet, without its services. */
export const defaultFleetConfiguration: Omit<Configuration, 'services'> = {
	revision: 1, measuring: {probesPerSecond: 10, bytesPerSecond: 10_000}, tableWritesPerSecond: 400,
};
