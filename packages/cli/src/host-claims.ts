import {createUnavailableClaims, TableClaims, type ClaimService} from '@tanagerrail/claims';
import type {Configuration} from '@tanagerrail/configuration';
import type {HostDirectory} from '@tanagerrail/membership';
import {createDynamoTable, createS3Objects} from '@tanagerrail/platform';
import {createLogger, LogLevel} from '@tanagerrail/telemetry';
import type {Settings} from './settings.js';

const logger = createLogger('host');

/** Unsettled writes are given up after this time of a shutdown; their requests stay known as not repeatable. */
const longestDrainMilliseconds = 30_000;

/** Options of {@link createHostClaims}. */
export type HostClaimsOptions = {
	readonly settings: Settings;
	readonly incarnation: string;
	readonly directory: HostDirectory;
	readonly getConfiguration: () => Configuration | undefined;
};

/** The claims of a host and their end. */
export type HostClaims = {
	readonly service: ClaimService;
	/**
	 * Waits for writes in the background and closes the connections to the platform.
	 *
	 * @param milliseconds - Time left of the shutdown.
	 */
	close(milliseconds: number): Promise<void>;
};

/**
 * Creates the claims of a host. Without a table and an object store in the settings every keyed request is refused.
 *
 * @param options - The host.
 * @returns The claims.
 */
export function createHostClaims({settings, incarnation, directory, getConfiguration}: HostClaimsOptions): HostClaims {
	const {credentials} = settings.platform;
	if (!settings.platform.table || !settings.platform.objects) {
		return {service: createUnavailableClaims(), close: async () => undefined};
	}

	const {url, name} = settings.platform.table;
	const table = createDynamoTable({url, table: name, ...(credentials && {credentials})});
	const objects = createS3Objects({...settings.platform.objects, ...(credentials && {credentials})});
	const service = new TableClaims({
		table,
		objects,
		host: settings.host.id,
		incarnation,
		getWriteRate: () => (getConfiguration()?.tableWritesPerSecond ?? 0) / Math.max(1, directory.listEntries().length),
	});
	return {
		service,
		async close(milliseconds) {
			const timer = setInterval(() => {
				logger.log(LogLevel.info, 'host-waiting', {requests: 0, claimWrites: true});
			}, 1000);
			await service.drain(AbortSignal.timeout(Math.max(0, Math.floor(Math.min(milliseconds, longestDrainMilliseconds)))));
			clearInterval(timer);
			table.close();
			objects.close();
		},
	};
}
