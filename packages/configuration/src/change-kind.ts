/** Kinds of changes in a plan; approval rules refer to them. */
export const ChangeKind = {
	description: 'description',
	serviceAdded: 'service-added',
	serviceRemoved: 'service-removed',
	slots: 'slots',
	connections: 'connections',
	longWorkShare: 'long-work-share',
	waitLimit: 'wait-limit',
	retryBudget: 'retry-budget',
	hedgeBudget: 'hedge-budget',
	keyPolicy: 'key-policy',
	outcomeDays: 'outcome-days',
	loadReport: 'load-report',
	classAdded: 'class-added',
	classRemoved: 'class-removed',
	classKind: 'class-kind',
	priority: 'priority',
	duration: 'duration',
	deadline: 'deadline',
	hedging: 'hedging',
	routeAdded: 'route-added',
	routeRemoved: 'route-removed',
	routeClass: 'route-class',
	routeOrder: 'route-order',
	idempotence: 'idempotence',
	promise: 'promise',
	measuringBudget: 'measuring-budget',
	tableWrites: 'table-writes',
	routineRules: 'routine-rules',
} as const;

/** One of the kinds of changes. */
export type ChangeKind = typeof ChangeKind[keyof typeof ChangeKind];
