import {createHash} from 'node:crypto';
import type {Failure} from '@tanagerrail/results';
import {
	ProbeStatus, type CrashTracker, type DirectoryEndpoint, type SendProbe,
} from '@tanagerrail/routing';
import {createLogger, LogLevel} from '@tanagerrail/telemetry';
import type {HeldConnection} from './probe-client.js';
import type {RoutedRequest} from './routed-request.js';

const logger = createLogger('http');

/** Length of a fingerprint in characters; 132 bits. */
const fingerprintLength = 22;

/** Options of {@link CrashDetector}. */
export type CrashDetectorOptions = {
	readonly tracker: CrashTracker;
	readonly sendProbe: SendProbe<HeldConnection>;
	/** Takes one probe from the probe budget of a service; false when none is left. */
	readonly takeProbe: (service: string) => boolean;
	/** Whether an endpoint may be probed. */
	readonly isAvailable: (endpoint: DirectoryEndpoint) => boolean;
};

/** Detects requests that crash the endpoints that run them, on whichever host they arrive. */
export class CrashDetector {
	readonly #options: CrashDetectorOptions;

	constructor(options: CrashDetectorOptions) {
		this.#options = options;
	}

	/**
	 * Checks whether a request may be sent to an endpoint.
	 *
	 * @param request - The request.
	 * @returns The failure `quarantined`, or undefined if the request may be sent.
	 */
	findRefusal(request: RoutedRequest): Failure | undefined {
		const {tracker} = this.#options;
		return tracker.isEmpty ? undefined : tracker.findRefusal(hashRoutedRequest(request));
	}

	/**
	 * Records that an endpoint responded to a request.
	 *
	 * @param request - The request.
	 */
	recordSuccess(request: RoutedRequest): void {
		const {tracker} = this.#options;
		if (!tracker.isEmpty) {
			tracker.recordSuccess(hashRoutedRequest(request));
		}
	}

	/**
	 * Finds out by a probe whether an attempt without a response ended because the endpoint crashed; a connection can also be lost
	 * for other reasons.
	 *
	 * @param request - The request.
	 * @param endpoint - The endpoint that ran it.
	 * @param startedAt - Monotonic time at which the attempt started, in milliseconds.
	 */
	async checkLoss(request: RoutedRequest, endpoint: DirectoryEndpoint, startedAt: number): Promise<void> {
		const {tracker, sendProbe, takeProbe, isAvailable} = this.#options;
		if (!isAvailable(endpoint) || !takeProbe(request.service)) {
			return;
		}

		const {status, connection} = await sendProbe(endpoint);
		connection?.release();
		if (status !== ProbeStatus.unreachable && status !== ProbeStatus.replaced) {
			return;
		}

		const fingerprint = hashRoutedRequest(request);
		logger.log(LogLevel.info, 'endpoint-crashed', {
			request: request.id, service: request.service, endpoint: endpoint.id, fingerprint,
		});
		tracker.recordCrash(fingerprint, startedAt);
	}
}

/** Computes a hash that identifies identical requests on all hosts; the id of the caller's attempt is not part of it. */
function hashRoutedRequest({service, method, target, headers, body}: RoutedRequest): string {
	const hash = createHash('sha256').update(`${service}\0${method}\0${String(headers.host)}\0${target}\0`);
	if (body) {
		hash.update(body);
	}

	return hash.digest('base64url').slice(0, fingerprintLength);
}
