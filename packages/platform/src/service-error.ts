/** Properties of an SDK error that determine which failure a call returns. */
export type ServiceError = {
	readonly name: string;
	readonly code?: string;
	readonly syscall?: string;
	readonly $metadata?: {readonly httpStatusCode?: number};
};

/**
 * Checks whether a call failed while its connection was being opened, so that no part of the request was sent.
 *
 * @param error - Error thrown by the SDK client.
 * @returns Whether the failed system call is `connect`.
 */
export function isConnectFailure(error: unknown): boolean {
	return (error as ServiceError).syscall === 'connect';
}
