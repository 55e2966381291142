/** The members of an SDK error that decide what is known about a call. */
export type ServiceError = {
	readonly name: string;
	readonly code?: string;
	readonly syscall?: string;
	readonly $metadata?: {readonly httpStatusCode?: number};
};

/**
 * Tells whether a call failed before its connection was open, so that nothing of it was sent.
 *
 * @param error - What the client threw.
 * @returns Whether the system call that failed is `connect`.
 */
export function isConnectFailure(error: unknown): boolean {
	return (error as ServiceError).syscall === 'connect';
}
