import process from 'node:process';

/**
 * Stops this process gracefully on the first SIGTERM. Further ones are ignored while it stops: their default action would end
 * the process at once and cut off the requests in progress.
 *
 * @param stop - Shuts down gracefully; called once.
 */
export function stopOnSignal(stop: () => Promise<void>): void {
	let isStopping = false;
	process.on('SIGTERM', () => {
		if (!isStopping) {
			isStopping = true;
			void stop();
		}
	});
}
