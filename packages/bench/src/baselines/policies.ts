/** What a policy knows when it picks an endpoint. */
export type PolicyView = {
	/** Addresses of the endpoints that may be picked, at least one. */
	readonly candidates: readonly string[];
	/** Requests of the own host in each endpoint. */
	readonly inFlight: ReadonlyMap<string, number>;
	/** Latest reported requests in each endpoint. */
	readonly reports: ReadonlyMap<string, number>;
	/** Requests so far. */
	readonly turn: number;
	readonly random: () => number;
};

/** Names of the baselines. */
export const PolicyName = {
	random: 'random', roundRobin: 'round-robin', leastInFlight: 'least-in-flight', twoChoices: 'two-choices',
} as const;

/** Name of a baseline. */
export type PolicyName = typeof PolicyName[keyof typeof PolicyName];

/** Picks an endpoint by each of the common policies. */
export const policies: Readonly<Record<PolicyName, (view: PolicyView) => string>> = {
	[PolicyName.random]: ({candidates, random}) => pickRandom(candidates, random),
	[PolicyName.roundRobin]: ({candidates, turn}) => candidates[turn % candidates.length]!,
	[PolicyName.leastInFlight]({candidates, inFlight, random}) {
		const least = Math.min(...candidates.map(address => inFlight.get(address) ?? 0));
		return pickRandom(candidates.filter(address => (inFlight.get(address) ?? 0) === least), random);
	},
	[PolicyName.twoChoices]({candidates, reports, random}) {
		const first = pickRandom(candidates, random);
		const others = candidates.filter(address => address !== first);
		const second = others.length === 0 ? first : pickRandom(others, random);
		return (reports.get(first) ?? 0) <= (reports.get(second) ?? 0) ? first : second;
	},
};

function pickRandom(candidates: readonly string[], random: () => number): string {
	return candidates[Math.floor(random() * candidates.length)]!;
}
