import type {FieldPath} from './answer-document.js';
import type {ServiceAnswers} from './answers.js';
import {WorkKind} from './configuration.js';
import {findDuplicateNames, type Contradiction} from './contradiction.js';
import {findNearestName} from './find-nearest-name.js';

type ClassAnswers = ServiceAnswers['classes'][number];

/**
 * Finds contradictions within the answers about one service.
 *
 * @param service - The answers about the service.
 * @param base - Path of the service in the file.
 * @param hosts - Maximum number of entry hosts, if known.
 * @returns All contradictions.
 */
export function findServiceContradictions(service: ServiceAnswers, base: FieldPath, hosts = 1): Contradiction[] {
	const {classes, requests, promises} = service;
	return [
		...findDuplicateNames(classes.map(({name}, index) => ({name, path: [...base, 'classes', index, 'name']})), 'name-repeated'),
		...classes.flatMap((workClass, index) => findClassContradictions(service, workClass, [...base, 'classes', index])),
		...findUnknownClasses(service, requests, [...base, 'requests']),
		...findUnknownClasses(service, promises, [...base, 'promises']),
		...findDuplicateNames(promises.map(promise => promise.class).map((name, index) => ({name, path: [...base, 'promises', index, 'class']})), 'promise-repeated'),
		...findPromiseContradictions(service, [...base, 'promises']),
		...findShareContradictions(service, [...base, 'longWorkShare']),
		...findConnectionContradictions(service, [...base, 'servers'], hosts),
	];
}

function findClassContradictions({requests}: ServiceAnswers, workClass: ClassAnswers, path: FieldPath): Contradiction[] {
	const {
		name, kind, usualMilliseconds, longestMilliseconds, deadlineMilliseconds, hedge,
	} = workClass;
	const found: Contradiction[] = [];
	const own = requests.filter(request => request.class === name);
	if (own.length === 0) {
		found.push({rule: 'class-unused', path: [...path, 'name'], expected: 'a request of the class'});
	}

	if (longestMilliseconds < usualMilliseconds) {
		found.push({rule: 'longest-below-usual', path: [...path, 'longestMilliseconds'], expected: `at least ${usualMilliseconds}`});
	}

	if (deadlineMilliseconds < usualMilliseconds) {
		found.push({rule: 'deadline-below-usual', path: [...path, 'deadlineMilliseconds'], expected: `at least ${usualMilliseconds}`});
	} else if (deadlineMilliseconds < longestMilliseconds) {
		found.push({rule: 'deadline-below-longest', path: [...path, 'deadlineMilliseconds'], expected: `at least ${longestMilliseconds}`});
	}

	if (hedge && kind === WorkKind.long) {
		found.push({rule: 'hedge-long', path: [...path, 'hedge'], expected: 'false'});
	}

	if (hedge && own.length > 0 && !own.some(({idempotent}) => idempotent)) {
		found.push({rule: 'hedge-without-idempotent', path: [...path, 'hedge'], expected: 'false'});
	}

	return found;
}

function findUnknownClasses({classes}: ServiceAnswers, users: ReadonlyArray<{readonly class: string}>, path: FieldPath): Contradiction[] {
	const names = [...new Set(classes.map(({name}) => name))];
	return users.flatMap((user, index): Contradiction[] => names.includes(user.class)
		? []
		: [{
			rule: 'class-unknown', path: [...path, index, 'class'], expected: `one of ${names.join(', ')}`, parameters: {nearest: findNearestName(user.class, names)},
		}]);
}

function findPromiseContradictions({classes, promises}: ServiceAnswers, path: FieldPath): Contradiction[] {
	return promises.flatMap((promise, index): Contradiction[] => {
		const workClass = classes.find(({name}) => name === promise.class);
		const field = [...path, index, 'latencyMilliseconds'];
		if (workClass && promise.latencyMilliseconds > workClass.deadlineMilliseconds) {
			return [{rule: 'promise-above-deadline', path: field, expected: `at most ${workClass.deadlineMilliseconds}`}];
		}

		return workClass && promise.latencyMilliseconds < workClass.usualMilliseconds
			? [{rule: 'promise-below-usual', path: field, expected: `at least ${workClass.usualMilliseconds}`}]
			: [];
	});
}

function findShareContradictions({classes, servers, longWorkShare}: ServiceAnswers, path: FieldPath): Contradiction[] {
	const kinds = new Set(classes.map(({kind}) => kind));
	if (!kinds.has(WorkKind.long)) {
		return [];
	}

	if (longWorkShare === 0) {
		return [{rule: 'share-is-zero', path, expected: 'more than 0'}];
	}

	const slots = servers.count * servers.slots;
	return kinds.has(WorkKind.short) && Math.ceil(longWorkShare * slots) >= slots
		? [{
			rule: 'share-leaves-no-room', path, expected: `at most ${Math.floor(100 * (slots - 1) / slots) / 100}`, parameters: {slots},
		}]
		: [];
}

function findConnectionContradictions({servers}: ServiceAnswers, path: FieldPath, hosts: number): Contradiction[] {
	const {slots, connections, connectionsPerHost} = servers;
	const perHost = connectionsPerHost ?? slots;
	const found: Contradiction[] = [];
	if (perHost < slots) {
		found.push({rule: 'connections-below-slots', path: [...path, 'connectionsPerHost'], expected: `at least ${slots}`});
	}

	if (perHost * hosts > connections) {
		found.push({
			rule: 'connections-above-limit', path: [...path, connectionsPerHost === undefined ? 'connections' : 'connectionsPerHost'],
			expected: connectionsPerHost === undefined ? `at least ${perHost * hosts}` : `at most ${Math.floor(connections / hosts)}`,
			parameters: {hosts, perHost},
		});
	}

	return found;
}
