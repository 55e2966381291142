import type {Answers, ServiceAnswers} from './answers.js';
import {WorkKind} from './configuration.js';

/** How a plan changes one computed limit. */
export type Effect = {
	/** Service, or service and class. */
	readonly subject: string;
	readonly measure: EffectMeasure;
	readonly before?: number;
	readonly after?: number;
};

/** Message templates of effects; `{name}` is replaced by the property of that name. */
export const effectMessages = {
	slots: 'Total slots of {subject}: {before} -> {after}.',
	'long-slots': 'Slots of {subject} that long work may hold: {before} -> {after}.',
	'longest-wait': 'Longest expected queueing time of {subject} at which requests are still accepted: {before} -> {after} ms.',
	'queue-length': 'Queue capacity of {subject} at the usual duration: {before} -> {after} requests.',
	'connections-per-host': 'Connections from each entry host to a server of {subject}: {before} -> {after}.',
} as const;

/** Id of a limit that a plan reports. */
export type EffectMeasure = keyof typeof effectMessages;

/**
 * Computes the effects of a change on queues and limits.
 *
 * @param current - The answers in force, if any.
 * @param next - The proposed answers.
 * @returns The limits that change.
 */
export function computeEffects(current: Answers | undefined, next: Answers): Effect[] {
	const before = current ? measureLimits(current) : new Map<string, number>();
	const after = measureLimits(next);
	return [...new Set([...before.keys(), ...after.keys()])].filter(key => before.get(key) !== after.get(key)).map(key => {
		const [subject, measure] = key.split(' ') as [string, EffectMeasure];
		return {
			subject, measure, before: before.get(key), after: after.get(key),
		};
	});
}

/**
 * Formats an effect as a message.
 *
 * @param effect - The effect.
 * @returns One sentence.
 */
export function formatEffect(effect: Effect): string {
	return effectMessages[effect.measure].replaceAll(/\{(\w+)\}/gv, (placeholder, name: string) => String(effect[name as keyof Effect] ?? 'none'));
}

function measureLimits({services}: Answers): Map<string, number> {
	return new Map(services.flatMap(service => measureService(service).map(([subject, measure, value]) => [`${subject} ${measure}`, value])));
}

function measureService(service: ServiceAnswers): Array<[string, EffectMeasure, number]> {
	const {name, servers, longWorkShare, maximumWaitFraction, classes} = service;
	const slots = servers.count * servers.slots;
	const longSlots = classes.some(({kind}) => kind === WorkKind.long) ? Math.ceil(longWorkShare * slots) : 0;
	return [
		[name, 'slots', slots],
		[name, 'long-slots', longSlots],
		[name, 'connections-per-host', servers.connectionsPerHost ?? servers.slots],
		...classes.flatMap(({name: className, kind, usualMilliseconds, deadlineMilliseconds}): Array<[string, EffectMeasure, number]> => {
			// The longest expected wait that admission control accepts, and the queue length at which it is reached.
			const wait = Math.min(deadlineMilliseconds - usualMilliseconds, maximumWaitFraction * deadlineMilliseconds);
			const ownSlots = kind === WorkKind.long ? longSlots : slots - longSlots;
			return [
				[`${name}/${className}`, 'longest-wait', Math.round(wait)],
				[`${name}/${className}`, 'queue-length', Math.floor(wait * ownSlots / usualMilliseconds)],
			];
		}),
	];
}
