/** Messages of log lines by id. */
export const logMessages = {
	'host-started': 'The host has started.',
	'host-ready': 'The host takes new work.',
	'host-stopping': 'A graceful shutdown has begun.',
	'host-waiting': 'The shutdown waits for work in progress.',
	'host-stopped': 'The host has stopped.',
	'host-paused': 'The process was paused; grants and allocator state are discarded.',
	'request-refused': 'A request was refused.',
	'request-failed': 'A request failed.',
	'endpoint-state-changed': 'An endpoint changed its state.',
	'endpoint-retried': 'A request is sent to another endpoint.',
	'connection-condemned': 'Connections that have gone silent are closed.',
	'link-opened': 'A link to an allocator is open.',
	'link-closed': 'A link to an allocator is closed.',
	'peer-connected': 'A peer has connected to this allocator.',
	'peer-lost': 'A peer of this allocator is gone.',
	'request-quarantined': 'A request that crashes endpoints is quarantined.',
	'configuration-applied': 'A configuration is in force.',
	'configuration-unreadable': 'The current configuration cannot be read.',
	'host-list-unreadable': 'The host list cannot be read; the last one stays in use.',
	'claim-settled': 'An ambiguous write of a claim is settled.',
	'claim-removal-failed': 'A claim that is not needed cannot be removed yet.',
	'outcome-write-failed': 'The outcome of a claim cannot be written yet.',
	'snapshot-write-failed': 'Service-level counts cannot be written to the object store.',
	'snapshot-unreadable': 'A snapshot of service-level counts cannot be read; the report leaves it out.',
	'invariant-violated': 'An invariant does not hold.',
	'internal-error': 'An unexpected error occurred.',
	'tls-reloaded': 'Certificate and key files were read again.',
	'tls-unreadable': 'Certificate or key files cannot be read; the former ones stay in use.',
} as const;

/** Id of a log message. */
export type LogMessageId = keyof typeof logMessages;
