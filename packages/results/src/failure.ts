import type {Outcome} from './outcome.js';
import {resultCodes, type ResultCodeId} from './result-codes.js';

/** Values of the placeholders in a message. */
export type FailureParameters = Readonly<Record<string, string | number>>;

/** An expected error: a result code with the parameters of its message. */
export type Failure = {
	readonly id: ResultCodeId;
	readonly parameters: FailureParameters;
	/** Overrides the outcome of the result code if it is known more precisely. */
	readonly outcome?: Outcome;
};

/**
 * Creates a failure.
 *
 * @param id - Id of the result code.
 * @param parameters - Values of the placeholders in the message of the result code.
 * @param outcome - Overrides the outcome of the result code.
 * @returns The failure.
 */
export function createFailure(id: ResultCodeId, parameters: FailureParameters = {}, outcome?: Outcome): Failure {
	return {id, parameters, outcome};
}

/**
 * Returns the outcome of a failure.
 *
 * @param failure - The failure.
 * @returns The outcome of the failure if it has one, otherwise that of its result code.
 */
export function getOutcome(failure: Failure): Outcome {
	return failure.outcome ?? resultCodes[failure.id].outcome;
}

/**
 * Formats the message of a failure.
 *
 * @param failure - The failure.
 * @returns The message of its result code with all placeholders filled in.
 */
export function formatFailure(failure: Failure): string {
	return resultCodes[failure.id].message.replaceAll(/{(\w+)}/g, (placeholder, name: string) => String(failure.parameters[name] ?? placeholder));
}
