import {
	err, ok, ResultAsync, type Result,
} from 'neverthrow';
import {request} from 'undici';
import {z} from 'zod';
import {createFailure, type Failure} from '@tanagerrail/results';
import {
	HostRole, HostState, type HostList, type ListedHost,
} from './host-list.js';

/** Options of {@link createHttpHostList}. */
export type HttpHostListOptions = {
	/** URL of the list, in the HTTP service discovery format of Prometheus. */
	readonly url: string;
	/** Timeout of one request for the list, in milliseconds. */
	readonly timeoutMilliseconds: number;
};

/** Defaults of {@link HttpHostListOptions}. */
export const defaultHttpHostListOptions = {timeoutMilliseconds: 1000};

const targetGroupsSchema = z.array(z.object({
	targets: z.array(z.string()).min(1),
	labels: z.object({
		role: z.enum(Object.values(HostRole)),
		id: z.string(),
		state: z.enum(Object.values(HostState)),
		failure_domain: z.string(),
		service: z.string().optional(),
		peer: z.string().optional(),
		admin: z.string().optional(),
	}),
}));

/**
 * Creates a host list client for the HTTP service discovery format of Prometheus
 * (`[{targets: ['ip:port'], labels: {...}}]`) with the labels `role`, `id`, `state`, `failure_domain`, `service`, `peer`
 * and `admin`.
 *
 * @param options - URL and timeout.
 * @returns The host list; its failure is `host-list-unavailable`.
 */
export function createHttpHostList(options: Partial<HttpHostListOptions> & Pick<HttpHostListOptions, 'url'>): HostList {
	const {url, timeoutMilliseconds} = {...defaultHttpHostListOptions, ...options};
	return {
		list: () => new ResultAsync(fetchList(url, timeoutMilliseconds)),
	};
}

async function fetchList(url: string, timeoutMilliseconds: number): Promise<Result<ListedHost[], Failure>> {
	try {
		const {statusCode, body} = await request(url, {signal: AbortSignal.timeout(timeoutMilliseconds)});
		const content = await body.json();
		if (statusCode !== 200) {
			return err(createFailure('host-list-unavailable', {reason: `status ${statusCode}`}));
		}

		return ok(targetGroupsSchema.parse(content).map(({targets, labels}) => ({
			id: labels.id,
			role: labels.role,
			state: labels.state,
			failureDomain: labels.failure_domain,
			address: targets[0]!,
			service: labels.service,
			peerAddress: labels.peer,
			adminAddress: labels.admin,
		})));
	} catch (error) {
		return err(createFailure('host-list-unavailable', {reason: (error as Error).name}));
	}
}
