import type {FieldPath} from './answer-document.js';
import type {Answers, ServiceAnswers} from './answers.js';
import {ChangeKind} from './change-kind.js';
import {findDuplicateNames, type Contradiction} from './contradiction.js';
import {findServiceContradictions} from './find-service-contradictions.js';
import {isPatternCovered} from './is-pattern-covered.js';

/** Answers without the parts that failed validation; an invalid service is `undefined`, so that indexes stay correct. */
export type PartialAnswers = Partial<Omit<Answers, 'services'>> & {readonly services: ReadonlyArray<ServiceAnswers | undefined>};

/** Limits from the settings of the hosts. */
export type HostLimits = {
	/** Longest duration of a graceful shutdown of a host, in milliseconds. */
	readonly shutdownMilliseconds: number;
};

/** Minimum size of a load probe and its response on the wire, headers included. */
const minimumProbeBytes = 200;

/** A claim, the at-most-once record of a request, takes one write before the request runs and one for its outcome. */
const writesPerClaim = 2;

/** Kinds of changes of numeric values, which can be routine only up to a bound (`upTo`). */
const boundedChangeKinds = new Set<ChangeKind>([
	ChangeKind.slots,
	ChangeKind.connections,
	ChangeKind.longWorkShare,
	ChangeKind.waitLimit,
	ChangeKind.retryBudget,
	ChangeKind.hedgeBudget,
	ChangeKind.outcomeDays,
	ChangeKind.duration,
	ChangeKind.deadline,
	ChangeKind.promise,
	ChangeKind.measuringBudget,
	ChangeKind.tableWrites,
]);

/**
 * Finds contradictions between answers.
 *
 * @param answers - The valid parts of the answers.
 * @param limits - Limits of the hosts, if known.
 * @returns All contradictions.
 */
export function findContradictions(answers: PartialAnswers, limits?: HostLimits): Contradiction[] {
	const services = answers.services.flatMap((service, index) => service ? [{service, index}] : []);
	return [
		...findTopologyContradictions(answers),
		...findBudgetContradictions(answers),
		...findRoutineContradictions(answers),
		...findDuplicateNames(services.map(({service, index}) => ({name: service.name, path: ['services', index, 'name']})), 'name-repeated'),
		...services.flatMap(({service, index}) => findServiceContradictions(service, ['services', index], answers.topology?.entryHosts.most)),
		...findRequestContradictions(services),
		...(limits ? services.flatMap(({service, index}) => findLimitContradictions(service, ['services', index], limits)) : []),
	];
}

function findLimitContradictions({classes}: ServiceAnswers, base: FieldPath, {shutdownMilliseconds}: HostLimits): Contradiction[] {
	return classes.flatMap(({longestMilliseconds}, index): Contradiction[] => longestMilliseconds > shutdownMilliseconds
		? [{rule: 'longest-above-shutdown', path: [...base, 'classes', index, 'longestMilliseconds'], expected: `at most ${shutdownMilliseconds}`}]
		: []);
}

function findTopologyContradictions({topology}: PartialAnswers): Contradiction[] {
	if (!topology) {
		return [];
	}

	const {entryHosts: {fewest, most}, failureDomains} = topology;
	if (fewest > most) {
		return [{rule: 'hosts-reversed', path: ['topology', 'entryHosts', 'fewest'], expected: `at most ${most}`}];
	}

	return fewest < failureDomains
		? [{rule: 'hosts-below-domains', path: ['topology', 'entryHosts', 'fewest'], expected: `at least ${failureDomains}`}]
		: [];
}

function findBudgetContradictions({
	measuring, tableWritesPerSecond, topology, services,
}: PartialAnswers): Contradiction[] {
	const found: Contradiction[] = [];
	const hasNonIdempotentRequests = services.some(service => service?.requests.some(({idempotent}) => !idempotent));
	const neededWrites = writesPerClaim * (topology?.entryHosts.most ?? 1);
	if (hasNonIdempotentRequests && tableWritesPerSecond !== undefined && tableWritesPerSecond < neededWrites) {
		found.push({
			rule: 'writes-below-need', path: ['tableWritesPerSecond'], expected: `at least ${neededWrites}`, parameters: {needed: neededWrites},
		});
	}

	const neededBytes = (measuring?.probesPerSecond ?? 0) * minimumProbeBytes;
	if (measuring && measuring.bytesPerSecond < neededBytes) {
		found.push({
			rule: 'probes-without-bytes', path: ['measuring', 'bytesPerSecond'], expected: `at least ${neededBytes}`, parameters: {bytes: minimumProbeBytes},
		});
	}

	return found;
}

function findRoutineContradictions({routineChanges = []}: PartialAnswers): Contradiction[] {
	const unbounded = routineChanges.flatMap(({change, upTo}, index): Contradiction[] => boundedChangeKinds.has(change) && upTo === undefined
		? [{rule: 'routine-unbounded', path: ['routineChanges', index], expected: 'a bound'}]
		: []);
	return [...unbounded, ...findDuplicateNames(routineChanges.map(({change}, index) => ({name: change, path: ['routineChanges', index, 'change']})), 'routine-repeated')];
}

/** Finds requests that an earlier route fully covers: the first matching route applies, so they would never match. */
function findRequestContradictions(services: ReadonlyArray<{readonly service: ServiceAnswers; readonly index: number}>): Contradiction[] {
	const requests = services.flatMap(({service, index}) => service.requests.map((request, position) => ({
		...request, service: service.name, routePath: ['services', index, 'requests', position] as const,
	})));
	return requests.flatMap((request, position): Contradiction[] => {
		const earlier = requests.slice(0, position).find(candidate => (candidate.method === '*' || candidate.method === request.method)
			&& isPatternCovered(request.path, candidate.path));
		if (!earlier) {
			return [];
		}

		const isSame = earlier.path === request.path && earlier.method === request.method;
		return [{
			rule: isSame ? 'request-repeated' : 'request-shadowed',
			path: [...request.routePath, 'path'],
			expected: `a path that ${earlier.method} ${earlier.path} of ${earlier.service} does not cover`,
			parameters: {earlier: `${earlier.method} ${earlier.path}`},
		}];
	});
}
