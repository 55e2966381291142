/** Input of a policy for the choice of an endpoint. */
export type PolicyInput = {
	/** Addresses of the endpoints to choose from, at least one. */
	readonly candidates: readonly string[];
	/** This host's requests in flight in each endpoint, keyed by address. */
	readonly inFlight: ReadonlyMap<string, number>;
	/** Latest reported number of requests in flight in each endpoint, keyed by address. */
	readonly reportedInFlight: ReadonlyMap<string, number>;
	/** Counter that increases by one with each request. */
	readonly roundRobinIndex: number;
	readonly random: () => number;
};

/** Names of the baseline policies. */
export const PolicyName = {
	random: 'random', roundRobin: 'round-robin', leastInFlight: 'least-in-flight', twoChoices: 'two-choices',
} as const;

/** Name of a baseline policy. */
export type PolicyName = typeof PolicyName[keyof typeof PolicyName];

/** Baseline policies; each returns the address of the chosen endpoint. */
export const policies: Readonly<Record<PolicyName, (input: PolicyInput) => string>> = {
	[PolicyName.random]: ({candidates, random}) => pickRandom(candidates, random),
	[PolicyName.roundRobin]: ({candidates, roundRobinIndex}) => candidates[roundRobinIndex % candidates.length]!,
	[PolicyName.leastInFlight]({candidates, inFlight, random}) {
		const minimum = Math.min(...candidates.map(address => inFlight.get(address) ?? 0));
		return pickRandom(candidates.filter(address => (inFlight.get(address) ?? 0) === minimum), random);
	},
	[PolicyName.twoChoices]({candidates, reportedInFlight, random}) {
		const first = pickRandom(candidates, random);
		const others = candidates.filter(address => address !== first);
		const second = others.length === 0 ? first : pickRandom(others, random);
		return (reportedInFlight.get(first) ?? 0) <= (reportedInFlight.get(second) ?? 0) ? first : second;
	},
};

function pickRandom(candidates: readonly string[], random: () => number): string {
	return candidates[Math.floor(random() * candidates.length)]!;
}
