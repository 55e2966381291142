import {createFailure, type Failure} from '@tanagerrail/results';
import {createLogger, LogLevel} from './logger.js';

const logger = createLogger('invariants');
const violations = new Map<string, number>();
let violationHandler: ((failure: Failure) => void) | undefined;

/**
 * Counts and logs a violation when a condition that must always hold does not.
 *
 * @param holds - Whether the invariant holds.
 * @param invariant - Id of the invariant, as docs/proofs.md lists it.
 * @param reason - What was found; no body, credential or key.
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
 * Returns the violations counted so far.
 *
 * @returns Counts by invariant id; empty when every invariant has held.
 */
export function listViolations(): Record<string, number> {
	return Object.fromEntries(violations);
}

/**
 * Sets what happens on a violation besides counting and logging; tests end the run.
 *
 * @param newHandler - Called with the failure, or nothing to remove the handler.
 */
export function setViolationHandler(newHandler: ((failure: Failure) => void) | undefined): void {
	violationHandler = newHandler;
}
