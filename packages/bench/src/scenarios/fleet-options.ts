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
	/** Fields of the configuration besides the services. */
	readonly configuration: Partial<Configuration>;
	/** Whether the table service and the object store run. */
	readonly hasPlatform: boolean;
	/** Whether each connection between two processes passes through a relay that can be cut. */
	readonly hasRelays: boolean;
	/** Lag of the host list in milliseconds. */
	readonly listLagMilliseconds: number;
	/** Sections of each settings file that replace the generated ones. */
	readonly settings: Readonly<Record<string, unknown>>;
	/** Script of the entry processes in place of the product's; tests use it to switch a mechanism off. */
	readonly entryScript: string | undefined;
};

/** Defaults of {@link FleetOptions}. */
export const defaultFleetOptions: Omit<FleetOptions, 'services'> = {
	entries: 3, failureDomains: 3, configuration: {}, hasPlatform: true, hasRelays: true, listLagMilliseconds: 0, settings: {}, entryScript: undefined,
};

/** Configuration of a fleet besides its services. */
export const defaultFleetConfiguration: Omit<Configuration, 'services'> = {
	revision: 1, measuring: {probesPerSecond: 10, bytesPerSecond: 10_000}, tableWritesPerSecond: 400,
};
