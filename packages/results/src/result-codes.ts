import {Outcome} from './outcome.js';

/** One row of the result-code table. */
export type ResultCode = {
	/** Stable public number of the code. */
	readonly number: number;
	/** HTTP status of a response with the code. */
	readonly status: number;
	/** Whether the request may have run, if the code is the result of a request. */
	readonly outcome: Outcome;
	/** Message template; `{name}` is replaced by the parameter of that name. */
	readonly message: string;
};

/**
 * All result codes by id. 1xxx: request, 2xxx: routing, 3xxx: endpoints, 4xxx: claims, 5xxx: configuration,
 * 6xxx: platform, 7xxx: settings and command line, 8xxx: peers, 9xxx: invariants.
 */
export const resultCodes = {
	'request-malformed': {
		number: 1001, status: 400, outcome: Outcome.notRun, message: 'The request is malformed: {reason}.',
	},
	'route-unknown': {
		number: 1002, status: 404, outcome: Outcome.notRun, message: 'No service has a route for {method} {path}.',
	},
	'body-too-large': {
		number: 1003, status: 413, outcome: Outcome.notRun, message: 'The request body is larger than {limit} bytes.',
	},
	'headers-too-large': {
		number: 1004, status: 431, outcome: Outcome.notRun, message: 'The request headers are larger than {limit} bytes.',
	},
	'request-timeout': {
		number: 1005, status: 408, outcome: Outcome.notRun, message: 'The request was not received within {limit} ms.',
	},
	'request-aborted': {
		number: 1006, status: 499, outcome: Outcome.unknown, message: 'The caller closed the connection before the response was complete.',
	},
	'not-ready': {
		number: 1007, status: 503, outcome: Outcome.notRun, message: 'The host has no configuration yet or is shutting down.',
	},
	'pipeline-full': {
		number: 1008, status: 429, outcome: Outcome.notRun, message: 'More than {limit} requests are in progress on this connection.',
	},
	'body-memory-full': {
		number: 1009, status: 503, outcome: Outcome.notRun, message: 'The request bodies that the host holds take as much memory as they may.',
	},
	'queue-full': {
		number: 2001, status: 503, outcome: Outcome.notRun, message: 'The expected wait of {wait} ms for service {service} is longer than the request allows.',
	},
	'deadline-exceeded': {
		number: 2002, status: 504, outcome: Outcome.notRun, message: 'The deadline passed before a slot became free.',
	},
	quarantined: {
		number: 2003, status: 503, outcome: Outcome.notRun, message: 'The request crashed {crashes} endpoints and is quarantined.',
	},
	'no-endpoint': {
		number: 2004, status: 503, outcome: Outcome.notRun, message: 'Service {service} has no endpoint that accepts new requests.',
	},
	'slot-cancelled': {
		number: 2005, status: 503, outcome: Outcome.notRun, message: 'The wait for a slot was cancelled.',
	},
	'allocator-lost': {
		number: 2006, status: 503, outcome: Outcome.notRun, message: 'The allocator of service {service} cannot be reached.',
	},
	'no-free-slot': {
		number: 2007, status: 503, outcome: Outcome.notRun, message: 'No slot of service {service} is free right now.',
	},
	'grant-expired': {
		number: 2008, status: 503, outcome: Outcome.notRun, message: 'The grant was not used in time.',
	},
	'service-paused': {
		number: 2009, status: 503, outcome: Outcome.notRun, message: 'All endpoints of service {service} have asked for a pause, which ends in {milliseconds} ms at the earliest.',
	},
	'endpoint-refused': {
		number: 3001, status: 503, outcome: Outcome.notRun, message: 'Endpoint {endpoint} refused the request without running it.',
	},
	'endpoint-unreachable': {
		number: 3002, status: 503, outcome: Outcome.notRun, message: 'No connection to endpoint {endpoint} could be opened.',
	},
	'endpoint-lost': {
		number: 3003, status: 502, outcome: Outcome.unknown, message: 'The connection to endpoint {endpoint} was lost before a response arrived.',
	},
	'endpoint-timeout': {
		number: 3004, status: 504, outcome: Outcome.unknown, message: 'Endpoint {endpoint} did not respond before the deadline.',
	},
	'answer-incomplete': {
		number: 3005, status: 502, outcome: Outcome.unknown, message: 'The response of endpoint {endpoint} is incomplete.',
	},
	'answer-unidentified': {
		number: 3007, status: 502, outcome: Outcome.unknown, message: 'Endpoint {endpoint} sent a response that cannot be matched to the request.',
	},
	'retry-budget-empty': {
		number: 3006, status: 503, outcome: Outcome.unknown, message: 'The retry budget of service {service} is exhausted.',
	},
	'key-required': {
		number: 4001, status: 400, outcome: Outcome.notRun, message: 'This request needs an Idempotency-Key header.',
	},
	'key-reused': {
		number: 4002, status: 422, outcome: Outcome.notRun, message: 'The Idempotency-Key was already used for a different request.',
	},
	'outcome-unknown': {
		number: 4003, status: 504, outcome: Outcome.unknown, message: 'It is not known whether the request with this Idempotency-Key ran.',
	},
	'store-unavailable': {
		number: 4004, status: 503, outcome: Outcome.notRun, message: 'The table service cannot be reached, so the request was not started.',
	},
	'store-busy': {
		number: 4005, status: 503, outcome: Outcome.notRun, message: 'The write budget of the table service is exhausted, so the request was not started.',
	},
	'key-malformed': {
		number: 4006, status: 400, outcome: Outcome.notRun, message: 'The Idempotency-Key is malformed.',
	},
	'answers-invalid': {
		number: 5001, status: 400, outcome: Outcome.notRun, message: 'The answers are invalid: {reason}.',
	},
	'revision-conflict': {
		number: 5002, status: 409, outcome: Outcome.notRun, message: 'Revision {revision} was accepted in the meantime, by {by} at {at}.',
	},
	'approval-required': {
		number: 5003, status: 403, outcome: Outcome.notRun, message: 'The change needs an approval: {kinds}.',
	},
	'revision-unknown': {
		number: 5004, status: 404, outcome: Outcome.notRun, message: 'Revision {revision} does not exist.',
	},
	'not-in-force': {
		number: 5005, status: 504, outcome: Outcome.unknown, message: 'Revision {revision} is accepted, but hosts {hosts} have not reported it in force.',
	},
	'approval-conflict': {
		number: 5006, status: 409, outcome: Outcome.notRun, message: 'An approval rule for {kind} was changed in the meantime.',
	},
	'approval-unknown': {
		number: 5007, status: 404, outcome: Outcome.notRun, message: 'No approval rule for {kind} exists.',
	},
	'table-condition-failed': {
		number: 6001, status: 409, outcome: Outcome.notRun, message: 'The condition of the write on item {key} does not hold.',
	},
	'table-throttled': {
		number: 6002, status: 503, outcome: Outcome.notRun, message: 'The table service refused the call because its rate limit was exceeded.',
	},
	'table-unavailable': {
		number: 6003, status: 503, outcome: Outcome.notRun, message: 'The table service refused the call: {reason}.',
	},
	'table-ambiguous': {
		number: 6004, status: 504, outcome: Outcome.unknown, message: 'It is not known whether the write on item {key} took effect.',
	},
	'object-unavailable': {
		number: 6005, status: 503, outcome: Outcome.unknown, message: 'The object store cannot be reached: {reason}.',
	},
	'object-missing': {
		number: 6006, status: 404, outcome: Outcome.unknown, message: 'Object {key} does not exist.',
	},
	'host-list-unavailable': {
		number: 6007, status: 503, outcome: Outcome.notRun, message: 'The host list cannot be read: {reason}.',
	},
	'snapshot-malformed': {
		number: 6008, status: 500, outcome: Outcome.unknown, message: 'Snapshot {key} of service-level counts cannot be decoded: {reason}.',
	},
	'table-history-lost': {
		number: 6009, status: 410, outcome: Outcome.notRun, message: 'The table service no longer has the changes after the given version.',
	},
	'configuration-malformed': {
		number: 5008, status: 400, outcome: Outcome.notRun, message: 'The configuration cannot be decoded: {reason}.',
	},
	'settings-invalid': {
		number: 7001, status: 400, outcome: Outcome.notRun, message: '{file}:{line}: {field}: found {found}, expected {expected}.',
	},
	'settings-unreadable': {
		number: 7002, status: 400, outcome: Outcome.notRun, message: '{file} cannot be read: {reason}.',
	},
	'settings-unknown-field': {
		number: 7003, status: 400, outcome: Outcome.notRun, message: '{file}:{line}: {field} is not a known field; the nearest is {nearest}.',
	},
	'tls-unusable': {
		number: 7005, status: 400, outcome: Outcome.notRun, message: 'Certificate {certificate} with key {key} cannot be used: {reason}.',
	},
	'file-unwritable': {
		number: 7006, status: 500, outcome: Outcome.notRun, message: '{file} cannot be written: {reason}.',
	},
	'usage-invalid': {
		number: 7004, status: 400, outcome: Outcome.notRun, message: 'The command line is invalid: {reason}.',
	},
	'scenario-invalid': {
		number: 7050, status: 400, outcome: Outcome.notRun, message: '{file}:{line}: {reason}.',
	},
	'scenario-failed': {
		number: 7051, status: 500, outcome: Outcome.unknown, message: '{file}:{line}: {reason}.',
	},
	'peer-unreachable': {
		number: 8001, status: 503, outcome: Outcome.notRun, message: 'Peer {host} cannot be reached: {reason}.',
	},
	'peer-unauthorized': {
		number: 8002, status: 401, outcome: Outcome.notRun, message: 'The peer or admin key is missing or wrong.',
	},
	'peer-message-invalid': {
		number: 8003, status: 400, outcome: Outcome.notRun, message: 'A message from peer {host} cannot be decoded.',
	},
	'internal-error': {
		number: 9001, status: 500, outcome: Outcome.unknown, message: 'An internal error occurred: {reason}.',
	},
	'invariant-violated': {
		number: 9002, status: 500, outcome: Outcome.unknown, message: 'Invariant {invariant} does not hold: {reason}.',
	},
} as const satisfies Record<string, ResultCode>;

/** Id of a result code, as docs/result-codes.md lists it. */
export type ResultCodeId = keyof typeof resultCodes;
