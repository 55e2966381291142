import type {PlanWithBase} from '@tanagerrail/configuration';

/** Message templates for a plan; `{name}` is replaced with a parameter. */
const planMessages = {
	empty: 'No changes compared with revision {base}.',
	title: 'Changes compared with revision {base}:',
	change: '  {mark} {text} For {affects}.',
	why: '      {verdict}: {why}.',
	effects: 'Effect on queues and limits:',
	routine: 'The change is routine.',
	approval: 'The change needs an approval: --approve {kinds}',
	approved: 'The operator approves {kinds}.',
} as const;

/**
 * Formats a plan as text.
 *
 * @param plan - The plan.
 * @param isApproved - Whether the operator has given the approvals that it needs.
 * @returns Lines of text.
 */
export function formatPlan({changes, effects, isRoutine, needsApproval, base}: PlanWithBase, isApproved = false): string[] {
	if (changes.length === 0) {
		return [format('empty', {base})];
	}

	return [
		format('title', {base}),
		...changes.flatMap(change => [
			format('change', {mark: change.isRoutine ? '-' : '!', text: change.text, affects: change.affects}),
			format('why', {verdict: change.isRoutine ? 'Routine' : `Needs approval ${change.approvalKind}`, why: change.why}),
		]),
		...(effects.length > 0 ? [format('effects', {}), ...effects.map(({text}) => `  - ${text}`)] : []),
		isRoutine ? format('routine', {}) : format(isApproved ? 'approved' : 'approval', {kinds: needsApproval.join(',')}),
	];
}

function format(id: keyof typeof planMessages, parameters: Readonly<Record<string, string | number>>): string {
	return planMessages[id].replaceAll(/\{(\w+)\}/gv, (placeholder, name: string) => String(parameters[name] ?? placeholder));
}
