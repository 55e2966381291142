import type {RouteIndex, TrafficSplitter} from '@tanagerrail/configuration';
import type {AttemptBudget, EndpointSelector} from '@tanagerrail/routing';
import type {Clock} from '@tanagerrail/telemetry';
import type {BodyBudget} from './body-budget.js';
import type {CrashDetector} from './crash-detector.js';
import type {EndpointConnections} from './endpoint-connections.js';
import type {CallerProtocol, EndpointProtocol} from './endpoint-protocol.js';
import type {HeldConnection} from './probe-client.js';
import type {ServiceProfiles} from './service-profiles.js';

/** Counters and histograms of request handling. */
export type RequestMeter = {
	countRequest(route: string, status: number, milliseconds: number): void;
	countAttempt(service: string, outcome: string, milliseconds: number): void;
	/** Counts a response that does not have the id of its request, by whose request it belongs to and how the attempt ended. */
	countUnidentified(service: string, identity: string, end: string): void;
	countSelection(service: string, outcome: string, probes: number): void;
};

/** Dependencies of the handling of requests that are routed by host name and path prefix. */
export type RoutedContext = {
	readonly clock: Clock;
	readonly callers: CallerProtocol;
	readonly endpoints: EndpointProtocol;
	readonly connections: EndpointConnections;
	readonly selector: EndpointSelector<HeldConnection>;
	readonly crashDetector: CrashDetector;
	readonly splitter: TrafficSplitter;
	readonly profiles: ServiceProfiles;
	readonly meter: RequestMeter;
	readonly bodyBudget: BodyBudget;
	/** The current route table; undefined before the host has one. */
	getRoutes(): RouteIndex | undefined;
	/** Whether the endpoints are known. */
	isReady(): boolean;
	/** Waits until routes and endpoints have been read again after a pause of the process, as far as a source responds in time. */
	waitForState(): Promise<void>;
	/** Budget for attempts beyond the first at a service. */
	getBudget(service: string): AttemptBudget;
};
