import type {CallerRequest} from './caller-request.js';
import {CallerListener} from './caller-listener.js';
import type {RequestContext} from './request-context.js';
import {defaultRequestLimits, type RequestLimits} from './request-limits.js';
import {ServiceReceiver} from './service-receiver.js';
import type {TlsFiles} from './tls-files.js';

/** Options of {@link createServiceListener}. */
export type ServiceListenerOptions = {
	readonly context: RequestContext;
	readonly limits: RequestLimits;
	/** Whether new requests are accepted. */
	readonly isReady: () => boolean;
	/** Certificate and key; without them callers are served over plain TCP. */
	readonly tls?: TlsFiles;
};

/**
 * Creates a listener whose requests are routed to work classes, by a {@link ServiceReceiver}.
 *
 * @param options - Dependencies and limits of request handling.
 * @returns A listener that has not started.
 */
export function createServiceListener(options: Partial<ServiceListenerOptions> & Pick<ServiceListenerOptions, 'context'>): CallerListener<CallerRequest> {
	const {context, limits, isReady, tls} = {limits: defaultRequestLimits, isReady: () => true, ...options};
	return new CallerListener({
		receiver: new ServiceReceiver({context, limits, isReady}), clock: context.clock, limits, ...(tls && {tls}),
	});
}
