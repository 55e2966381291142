import {createUnavailableClaims, TableClaims, type ClaimService} from '@tanagerrail/claims';
import type {Configuration} from '@tanagerrail/configuration';
import type {HostDirectory} from '@tanagerrail/membership';
import {createDynamoTable, createS3Objects} from '@tanagerrail/platform';
import {createLogger, LogLevel} from '@tanagerrail/telemetry';
import type {Settings} from './settings.js';

const logger = createLogger('host');

/**
 * Longest time that a shutdown waits for pending claim writes, in milliseconds. A request whose write is
 * abandoned remains claimed, so that it is not run again.
 */
const longestDrainMilliseconds = 30_000;

/** Options of {@link createHostClaims}. */
export type HostClaimsOptions = {
	readonly settings: Settings;
	readonly incarnation: string;
	readonly directory: HostDirectory;
	readonly getConfiguration: () => Configuration | undefined;
};

/** The claim service of a host with its cleanup. */
export type HostClaims = {
	readonly service: ClaimService;
	/**
	 * Waits for pending writes and closes the connections to the platform.
	 *
	 * @param milliseconds - Remaining shutdown time.
	 */
	close(milliseconds: number): Promise<void>;
};

/**
 * Creates the claim service of a host. Unless the settings have a table and an object store, it refuses every request with
 * an idempotency key.
 *
 * @param options - Settings, id of the process run, and sources of the write budget.
 * @returns The claim service with its cleanup.
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
		getWriteRate: () => (getConfiguration()?.tableWritesPerSecond ?? 0) / Math.max(1, directory.listEntryHosts().length),
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
