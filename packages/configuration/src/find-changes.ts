import type {Answers, ServiceAnswers} from './answers.js';
import {ChangeKind} from './change-kind.js';
import type {Change, ChangeValue} from './change.js';
import type {
	Configuration, Route, ServiceConfiguration, ServiceLevel, WorkClass,
} from './configuration.js';
import {generateConfiguration} from './generate-configuration.js';

type Scope = Pick<Change, 'subject' | 'affects' | 'isKeyed'>;
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
const everyone = 'all services';

/**
 * Finds what differs between two sets of answers.
 *
 * @param current - The answers in force.
 * @param next - The proposed answers.
 * @returns The changes, those of the services in their order first.
 */
export function findChanges(current: Answers, next: Answers): Change[] {
	const before = generateConfiguration(current);
	const after = generateConfiguration(next);
	const names = [...new Set([...before.services, ...after.services].map(({name}) => name))];
	const all: Scope = {subject: everyone, affects: everyone, isKeyed: false};
	return [
		...names.flatMap(name => findServiceChanges(findByName(before, name), findByName(after, name))),
		...findServiceOrder(before, after),
		...compareFields(before.measuring, after.measuring, budgetFields, all),
		...compareFields(before, after, {tableWritesPerSecond: ChangeKind.tableWrites}, {...all, isKeyed: [...before.services, ...after.services].some(service => hasKeyedRoute(service))}),
		...findDescriptions(current, next),
	];
}

function findServiceChanges(before: ServiceConfiguration | undefined, after: ServiceConfiguration | undefined): Change[] {
	const either = (after ?? before)!;
	const scope: Scope = {subject: either.name, affects: `all requests of ${either.name}`, isKeyed: hasKeyedRoute(before) || hasKeyedRoute(after)};
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
		const former = before.workClasses.find(workClass => workClass.name === name);
		const latter = after.workClasses.find(workClass => workClass.name === name);
		const scope: Scope = {
			subject: `${after.name}/${name}`,
			affects: `requests of class ${name} of ${after.name}`,
			isKeyed: [...before.routes, ...after.routes].some(({workClass, idempotent}) => workClass === name && !idempotent),
		};
		if (former && latter) {
			return compareFields<WorkClass>(former, latter, classFields, scope);
		}

		return [{
			...scope, kind: latter ? ChangeKind.classAdded : ChangeKind.classRemoved, field: 'name', before: former?.name, after: latter?.name,
		}];
	});
}

function findRouteChanges(before: ServiceConfiguration, after: ServiceConfiguration): Change[] {
	const former = new Map(before.routes.map(route => [formatRoute(route), route]));
	const latter = new Map(after.routes.map(route => [formatRoute(route), route]));
	const changes = [...new Set([...former.keys(), ...latter.keys()])].flatMap(key => compareRoutes(key, former.get(key), latter.get(key)));
	const kept = (keys: Iterable<string>) => [...keys].filter(key => former.has(key) && latter.has(key)).join(' ');
	if (kept(former.keys()) !== kept(latter.keys())) {
		changes.push({
			kind: ChangeKind.routeOrder, subject: after.name, field: 'requests', before: undefined, after: undefined, affects: `all requests of ${after.name}`, isKeyed: hasKeyedRoute(before),
		});
	}

	return changes;
}

function compareRoutes(subject: string, before: Route | undefined, after: Route | undefined): Change[] {
	const scope: Scope = {subject, affects: `requests ${subject}`, isKeyed: before?.idempotent === false || after?.idempotent === false};
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

/** The first service whose route matches gets the request, so the order of services matters too. */
function findServiceOrder(before: Configuration, after: Configuration): Change[] {
	const list = (one: Configuration, other: Configuration) => one.services.map(({name}) => name).filter(name => findByName(other, name)).join(', ');
	const former = list(before, after);
	const latter = list(after, before);
	return former === latter
		? []
		: [{
			kind: ChangeKind.routeOrder, subject: everyone, field: 'services', before: former, after: latter, affects: everyone, isKeyed: before.services.some(service => hasKeyedRoute(service)),
		}];
}

function findDescriptions(current: Answers, next: Answers): Change[] {
	const scope: Scope = {subject: next.organization, affects: 'nobody', isKeyed: false};
	const routine = ({routineChanges}: Answers) => routineChanges.map(({change, upTo}) => `${change} ${upTo ?? ''}`.trim()).join(', ');
	const rules: Change = {
		...scope, affects: 'operators', kind: ChangeKind.routineRules, field: 'routineChanges', before: routine(current), after: routine(next),
	};
	const global = compareFields({organization: current.organization, ...describeTopology(current.topology)}, {organization: next.organization, ...describeTopology(next.topology)}, undefined, scope);
	const perService = next.services.flatMap(service => {
		const former = current.services.find(({name}) => name === service.name);
		return former ? compareFields(describeService(former), describeService(service), undefined, {...scope, subject: service.name}) : [];
	});
	return [...global, ...perService, ...(rules.before === rules.after ? [] : [rules])];
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

function compareFields<T extends object>(before: T, after: T, kinds: FieldKinds | undefined, scope: Scope): Change[] {
	const fields = kinds ? Object.keys(kinds) : Object.keys({...before, ...after});
	return fields.flatMap(field => {
		const former = (before as Record<string, ChangeValue>)[field];
		const latter = (after as Record<string, ChangeValue>)[field];
		return former === latter
			? []
			: [{
				...scope, kind: kinds?.[field] ?? ChangeKind.description, field, before: former, after: latter,
			}];
	});
}

function hasKeyedRoute(service: ServiceConfiguration | undefined): boolean {
	return service?.routes.some(({idempotent}) => !idempotent) ?? false;
}

function findByName({services}: Configuration, name: string): ServiceConfiguration | undefined {
	return services.find(service => service.name === name);
}

function formatRoute({method, path}: Route): string {
	return `${method} ${path}`;
}
