/** One error in an answers file. */
export type AnswerProblem = {
	/** Id of the violated rule, a key of {@link answerRules}. */
	readonly rule: AnswerRule;
	/** Line in the file, counted from 1. */
	readonly line: number;
	/** Path of the field, for example `services[0].classes[1].deadlineMilliseconds`. */
	readonly field: string;
	readonly found: string;
	readonly expected: string;
	readonly hint: string;
};

/** Hints by rule; `{name}` is replaced by the parameter of that name. */
export const answerRules = {
	syntax: 'Check the indentation, the quotes and repeated keys near this line.',
	missing: 'Add the field; docs/answers.md describes it.',
	unknown: 'Remove the field or rename it to {nearest}.',
	type: 'Change the value; docs/answers.md lists what the field takes.',
	range: 'Use a value within the bounds.',
	choice: 'Use one of the listed values; the nearest is {nearest}.',
	pattern: 'Change the text to the expected form.',
	'name-repeated': 'Give each of them its own name.',
	'class-unknown': 'Add the class or use {nearest}.',
	'class-unused': 'Add a request of this class or remove the class.',
	'deadline-below-usual': 'Raise the deadline or correct the usual duration; as it is, every request would be refused.',
	'longest-below-usual': 'Raise the longest duration or correct the usual one.',
	'deadline-below-longest': 'Raise the deadline or lower the longest duration; as it is, requests within the declared duration are cut off.',
	'share-leaves-no-room': 'Lower longWorkShare so that short work keeps at least one of the {slots} slots of the service.',
	'share-is-zero': 'Raise longWorkShare; as it is, long work never gets a slot.',
	'connections-above-limit': 'Lower connectionsPerHost or slots, or raise connections; {hosts} hosts open up to {perHost} connections each.',
	'connections-below-slots': 'Raise connectionsPerHost; each slot in use needs a connection.',
	'longest-above-shutdown': 'Lower the longest duration, or raise shutdownMilliseconds in the settings of all hosts; as it is, a graceful shutdown would cut off these requests.',
	'hosts-reversed': 'Swap the two numbers.',
	'hosts-below-domains': 'Add entry hosts so that each failure domain has at least one.',
	'request-repeated': 'Remove one of the two requests.',
	'request-shadowed': 'Move this request above {earlier}, which matches all of its requests.',
	'hedge-without-idempotent': 'Set hedge to false; requests that must not repeat are never sent twice.',
	'hedge-long': 'Set hedge to false; only short work is hedged.',
	'promise-above-deadline': 'Promise at most the deadline; a later response never reaches the caller.',
	'promise-below-usual': 'Promise at least the usual duration.',
	'promise-repeated': 'Keep one promise for each class.',
	'writes-below-need': 'Raise tableWritesPerSecond to {needed} so that every host can make one claim per second; a claim takes two writes.',
	'probes-without-bytes': 'Raise bytesPerSecond; a probe and its response take at least {bytes} bytes.',
	'routine-unbounded': 'Add upTo, the largest relative change that is routine.',
	'routine-repeated': 'Keep one entry for each kind of change.',
} as const;

/** Id of a rule of the answers. */
export type AnswerRule = keyof typeof answerRules;

/**
 * Formats the hint of a rule.
 *
 * @param rule - Id of the rule.
 * @param parameters - Values of the placeholders in the hint.
 * @returns The hint.
 */
export function formatHint(rule: AnswerRule, parameters: Readonly<Record<string, string | number>> = {}): string {
	return answerRules[rule].replaceAll(/\{(\w+)\}/gv, (placeholder, name: string) => String(parameters[name] ?? placeholder));
}

/**
 * Formats a problem as one line of an error report.
 *
 * @param problem - The problem.
 * @param file - Name of the file.
 * @returns The line, without a line end.
 */
export function formatProblem({line, field, found, expected, hint}: AnswerProblem, file: string): string {
	return `${file}:${line}: ${field}: found ${found}, expected ${expected}. ${hint}`;
}
