import {createFailure, type Failure} from '@tanagerrail/results';
import {createLogger, LogLevel} from './logger.js';

const logger = createLogger('invariants');
const violations = new Map<string, number>();
let violationHandler: ((failure: Failure) => void) | undefined;

/**
 * Checks a condition that must always hold, and counts and logs a violation if it does not.
 *
 * @param holds - Whether the invariant holds.
 * @param invariant - Id of the invariant, as docs/proofs.md lists it.
 * @param reason - Describes the violation; must not contain a body, credential or key.
 */
export function checkInvariant(holds: boolean, invariant: string, reason: () => string): void {
	if (holds) {
		return;
	}

	violations.set(invariant, (violations.get(invariant) ?? 0) + 1);
	const failure = createFailure('invariant-violated', {invariant, reason: reason()});
	logger.logFailure(LogLevel.error, 'invariant-violated', failure);
	violationHandler?.(failure);
}

/**
 * Returns the number of violations since the start of the process.
 *
 * @returns Counts by invariant id; empty if no invariant was violated.
 */
export function getViolationCounts(): Record<string, number> {
	return Object.fromEntries(violations);
}

/**
 * Sets a handler that is called on each violation after it was counted and logged, for example to end a test run.
 *
 * @param newHandler - Called with the failure; `undefined` removes the handler.
 */
export function setViolationHandler(newHandler: ((failure: Failure) => void) | undefined): void {
	violationHandler = newHandler;
}
