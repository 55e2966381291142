import type {Answers, ServiceAnswers} from './answers.js';
import {ChangeKind} from './change-kind.js';
import type {Change, ChangeValue} from './change.js';
import type {
	Configuration, Route, ServiceConfiguration, ServiceLevel, WorkClass,
} from './configuration.js';
import {generateConfiguration} from './generate-configuration.js';

type ChangeScope = Pick<Change, 'subject' | 'affects' | 'isKeyed'>;
type FieldKinds = Readonly<Record<string, ChangeKind>>;

const serviceFields: FieldKinds = {
	slotsPerEndpoint: ChangeKind.slots,
	connectionsPerEndpoint: ChangeKind.connections,
	longWorkShare: ChangeKind.longWorkShare,
	maximumWaitFraction: ChangeKind.waitLimit,
	retryBudget: ChangeKind.retryBudget,
	hedgeBudget: ChangeKind.hedgeBudget,
	loadPath: ChangeKind.loadReport,
};
const keyedFields: FieldKinds = {missingKey: ChangeKind.keyPolicy, outcomeDays: ChangeKind.outcomeDays};
const classFields: FieldKinds = {
	kind: ChangeKind.classKind,
	priority: ChangeKind.priority,
	usualMilliseconds: ChangeKind.duration,
	longestMilliseconds: ChangeKind.duration,
	deadlineMilliseconds: ChangeKind.deadline,
	hedge: ChangeKind.hedging,
};
const levelFields: FieldKinds = {latencyMilliseconds: ChangeKind.promise, objective: ChangeKind.promise, windowDays: ChangeKind.promise};
const budgetFields: FieldKinds = {probesPerSecond: ChangeKind.measuringBudget, bytesPerSecond: ChangeKind.measuringBudget};
const allServices = 'all services';

/**
 * Finds the differences between two versions of the answers.
 *
 * @param current - The answers in force.
 * @param next - The proposed answers.
 * @returns The changes, starting with those of the services in their order.
 */
export function findChanges(current: Answers, next: Answers): Change[] {
	const before = generateConfiguration(current);
	const after = generateConfiguration(next);
	const names = [...new Set([...before.services, ...after.services].map(({name}) => name))];
	const all: ChangeScope = {subject: allServices, affects: allServices, isKeyed: false};
	return [
		...names.flatMap(name => findServiceChanges(findByName(before, name), findByName(after, name))),
		...findServiceOrderChanges(before, after),
		...compareFields(before.measuring, after.measuring, budgetFields, all),
		...compareFields(before, after, {tableWritesPerSecond: ChangeKind.tableWrites}, {
			...all, isKeyed: [...before.services, ...after.services].some(service => hasNonIdempotentRoute(service)),
		}),
		...findDescriptionChanges(current, next),
	];
}

function findServiceChanges(before: ServiceConfiguration | undefined, after: ServiceConfiguration | undefined): Change[] {
	const service = (after ?? before)!;
	const scope: ChangeScope = {subject: service.name, affects: `all requests of ${service.name}`, isKeyed: hasNonIdempotentRoute(before) || hasNonIdempotentRoute(after)};
	if (!before || !after) {
		return [{
			...scope, kind: after ? ChangeKind.serviceAdded : ChangeKind.serviceRemoved, field: 'name', before: before?.name, after: after?.name,
		}];
	}

	return [
		...compareFields(before, after, serviceFields, {...scope, isKeyed: false}),
		...compareFields(before, after, keyedFields, scope),
		...findClassChanges(before, after),
		...findRouteChanges(before, after),
		...findLevelChanges(before, after),
	];
}

function findClassChanges(before: ServiceConfiguration, after: ServiceConfiguration): Change[] {
	const names = [...new Set([...before.workClasses, ...after.workClasses].map(({name}) => name))];
	return names.flatMap(name => {
		const oldClass = before.workClasses.find(workClass => workClass.name === name);
		const newClass = after.workClasses.find(workClass => workClass.name === name);
		const scope: ChangeScope = {
			subject: `${after.name}/${name}`,
			affects: `requests of class ${name} of ${after.name}`,
			isKeyed: [...before.routes, ...after.routes].some(({workClass, idempotent}) => workClass === name && !idempotent),
		};
		if (oldClass && newClass) {
			return compareFields<WorkClass>(oldClass, newClass, classFields, scope);
		}

		return [{
			...scope, kind: newClass ? ChangeKind.classAdded : ChangeKind.classRemoved, field: 'name', before: oldClass?.name, after: newClass?.name,
		}];
	});
}

function findRouteChanges(before: ServiceConfiguration, after: ServiceConfiguration): Change[] {
	const oldRoutes = new Map(before.routes.map(route => [formatRoute(route), route]));
	const newRoutes = new Map(after.routes.map(route => [formatRoute(route), route]));
	const changes = [...new Set([...oldRoutes.keys(), ...newRoutes.keys()])].flatMap(key => compareRoutes(key, oldRoutes.get(key), newRoutes.get(key)));
	const formatKeptOrder = (keys: Iterable<string>) => [...keys].filter(key => oldRoutes.has(key) && newRoutes.has(key)).join(' ');
	if (formatKeptOrder(oldRoutes.keys()) !== formatKeptOrder(newRoutes.keys())) {
		changes.push({
			kind: ChangeKind.routeOrder, subject: after.name, field: 'requests', before: undefined, after: undefined, affects: `all requests of ${after.name}`, isKeyed: hasNonIdempotentRoute(before),
		});
	}

	return changes;
}

function compareRoutes(subject: string, before: Route | undefined, after: Route | undefined): Change[] {
	const scope: ChangeScope = {subject, affects: `requests ${subject}`, isKeyed: before?.idempotent === false || after?.idempotent === false};
	if (before && after) {
		return compareFields(before, after, {workClass: ChangeKind.routeClass, idempotent: ChangeKind.idempotence}, scope);
	}

	return [{
		...scope, kind: after ? ChangeKind.routeAdded : ChangeKind.routeRemoved, field: 'workClass', before: before?.workClass, after: after?.workClass,
	}];
}

function findLevelChanges(before: ServiceConfiguration, after: ServiceConfiguration): Change[] {
	const names = [...new Set([...before.serviceLevels, ...after.serviceLevels].map(({workClass}) => workClass))];
	return names.flatMap(name => {
		const find = ({serviceLevels}: ServiceConfiguration): Partial<ServiceLevel> => serviceLevels.find(({workClass}) => workClass === name) ?? {};
		return compareFields<Partial<ServiceLevel>>(find(before), find(after), levelFields, {
			subject: `${after.name}/${name}`, affects: `callers of class ${name} of ${after.name}`, isKeyed: false,
		});
	});
}

/** Finds a change in the order of services, which matters because the first service with a matching route gets the request. */
function findServiceOrderChanges(before: Configuration, after: Configuration): Change[] {
	const formatServiceOrder = (one: Configuration, other: Configuration) => one.services.map(({name}) => name).filter(name => findByName(other, name)).join(', ');
	const oldOrder = formatServiceOrder(before, after);
	const newOrder = formatServiceOrder(after, before);
	return oldOrder === newOrder
		? []
		: [{
			kind: ChangeKind.routeOrder,
			subject: allServices,
			field: 'services',
			before: oldOrder,
			after: newOrder,
			affects: allServices,
			isKeyed: before.services.some(service => hasNonIdempotentRoute(service)),
		}];
}

function findDescriptionChanges(current: Answers, next: Answers): Change[] {
	const scope: ChangeScope = {subject: next.organization, affects: 'nobody', isKeyed: false};
	const formatRoutineChanges = ({routineChanges}: Answers) => routineChanges.map(({change, upTo}) => `${change} ${upTo ?? ''}`.trim()).join(', ');
	const rules: Change = {
		...scope, affects: 'operators', kind: ChangeKind.routineRules, field: 'routineChanges', before: formatRoutineChanges(current), after: formatRoutineChanges(next),
	};
	const globalChanges = compareFields(
		{organization: current.organization, ...describeTopology(current.topology)},
		{organization: next.organization, ...describeTopology(next.topology)},
		undefined,
		scope,
	);
	const serviceChanges = next.services.flatMap(service => {
		const currentService = current.services.find(({name}) => name === service.name);
		return currentService ? compareFields(describeService(currentService), describeService(service), undefined, {...scope, subject: service.name}) : [];
	});
	return [...globalChanges, ...serviceChanges, ...(rules.before === rules.after ? [] : [rules])];
}

function describeService({purpose, servers}: ServiceAnswers): Record<string, ChangeValue> {
	const {count, connectionsPerHost, openMilliseconds, reportsLoad, leaving, arriving} = servers;
	return {
		purpose, count, connectionsPerHost, openMilliseconds, reportsLoad, leaving, arriving,
	};
}

function describeTopology({entryHosts, ...topology}: Answers['topology']): Record<string, ChangeValue> {
	return {...topology, fewestEntryHosts: entryHosts.fewest, mostEntryHosts: entryHosts.most};
}

function compareFields<T extends object>(before: T, after: T, kinds: FieldKinds | undefined, scope: ChangeScope): Change[] {
	const fields = kinds ? Object.keys(kinds) : Object.keys({...before, ...after});
	return fields.flatMap(field => {
		const oldValue = (before as Record<string, ChangeValue>)[field];
		const newValue = (after as Record<string, ChangeValue>)[field];
		return oldValue === newValue
			? []
			: [{
				...scope, kind: kinds?.[field] ?? ChangeKind.description, field, before: oldValue, after: newValue,
			}];
	});
}

function hasNonIdempotentRoute(service: ServiceConfiguration | undefined): boolean {
	return service?.routes.some(({idempotent}) => !idempotent) ?? false;
}

function findByName({services}: Configuration, name: string): ServiceConfiguration | undefined {
	return services.find(service => service.name === name);
}

function formatRoute({method, path}: Route): string {
	return `${method} ${path}`;
}
