import type {ResultCodeId} from '@tanagerrail/results';

/** Exit codes of the commands; docs/operators.md lists them. */
export const ExitCode = {
	success: 0, failure: 1, usage: 2, invalidAnswers: 3, conflict: 4, approvalRequired: 5, notInForce: 6, unreachable: 7,
} as const;

/** One of the exit codes. */
export type ExitCode = typeof ExitCode[keyof typeof ExitCode];

const exitCodes: Partial<Record<ResultCodeId, ExitCode>> = {
	'usage-invalid': ExitCode.usage,
	'settings-unreadable': ExitCode.usage,
	'answers-invalid': ExitCode.invalidAnswers,
	'revision-conflict': ExitCode.conflict,
	'approval-conflict': ExitCode.conflict,
	'approval-required': ExitCode.approvalRequired,
	'not-in-force': ExitCode.notInForce,
	'peer-unreachable': ExitCode.unreachable,
	'peer-unauthorized': ExitCode.unreachable,
	'table-unavailable': ExitCode.unreachable,
	'table-throttled': ExitCode.unreachable,
	'table-ambiguous': ExitCode.unreachable,
};

/**
 * Returns the exit code of a failure.
 *
 * @param id - Id of the result code.
 * @returns The exit code; 1 when the result code has no exit code of its own.
 */
export function getExitCode(id: ResultCodeId): ExitCode {
	return exitCodes[id] ?? ExitCode.failure;
}
