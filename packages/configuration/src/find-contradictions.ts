import type {FieldPath} from './answer-document.js';
import type {Answers, ServiceAnswers} from './answers.js';
import {ChangeKind} from './change-kind.js';
import {findRepeated, type Contradiction} from './contradiction.js';
import {findServiceContradictions} from './find-service-contradictions.js';
import {isPatternCovered} from './is-pattern-covered.js';

/** Answers of which some parts may be invalid and left out. */
export type ValidParts = Partial<Omit<Answers, 'services'>> & {readonly services: ReadonlyArray<ServiceAnswers | undefined>};

/** What the hosts allow. */
export type HostLimits = {
	/** Time that a planned stop of a host may take, in milliseconds. */
	readonly shutdownMilliseconds: number;
};

/** Smallest size of a probe and its response on the wire, with headers. */
const probeBytes = 200;

/** Each claim is one write before the work and one for its outcome. */
const writesPerClaim = 2;

const boundedChanges = new Set<ChangeKind>([
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
 * @param answers - The answers; invalid parts are left out.
 * @param limits - What the hosts allow, if it is known.
 * @returns All contradictions.
 */
export function findContradictions(answers: ValidParts, limits?: HostLimits): Contradiction[] {
	const services = answers.services.flatMap((service, index) => service ? [{service, index}] : []);
	return [
		...findTopologyContradictions(answers),
		...findBudgetContradictions(answers),
		...findRoutineContradictions(answers),
		...findRepeated(services.map(({service, index}) => ({name: service.name, path: ['services', index, 'name']})), 'name-repeated'),
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

function findTopologyContradictions({topology}: ValidParts): Contradiction[] {
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
}: ValidParts): Contradiction[] {
	const found: Contradiction[] = [];
	const isKeyed = services.some(service => service?.requests.some(({idempotent}) => !idempotent));
	const needed = writesPerClaim * (topology?.entryHosts.most ?? 1);
	if (isKeyed && tableWritesPerSecond !== undefined && tableWritesPerSecond < needed) {
		found.push({
			rule: 'writes-below-need', path: ['tableWritesPerSecond'], expected: `at least ${needed}`, parameters: {needed},
		});
	}

	const neededBytes = (measuring?.probesPerSecond ?? 0) * probeBytes;
	if (measuring && measuring.bytesPerSecond < neededBytes) {
		found.push({
			rule: 'probes-without-bytes', path: ['measuring', 'bytesPerSecond'], expected: `at least ${neededBytes}`, parameters: {bytes: probeBytes},
		});
	}

	return found;
}

function findRoutineContradictions({routineChanges = []}: ValidParts): Contradiction[] {
	const unbounded = routineChanges.flatMap(({change, upTo}, index): Contradiction[] => boundedChanges.has(change) && upTo === undefined
		? [{rule: 'routine-unbounded', path: ['routineChanges', index], expected: 'a bound'}]
		: []);
	return [...unbounded, ...findRepeated(routineChanges.map(({change}, index) => ({name: change, path: ['routineChanges', index, 'change']})), 'routine-repeated')];
}

/** The first route that matches wins, so a later one that an earlier one covers never gets a request. */
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
