/** Comments for a generated answers file, by field name. */
export const answersComments: Readonly<Record<string, string>> = {
	organization: ' Answers of one team. docs/answers.md describes every field; tanagerrail answers check FILE reports all problems.',
	topology: ' Where the hosts run. Delays are one-way, in milliseconds.',
	measuring: ' Budget for measuring the load of the servers of each service. No probes are sent while it is exhausted.',
	tableWritesPerSecond: ' Writes per second to the table service, summed over all hosts. A request that must not run twice takes two writes.',
	routineChanges: ' Changes that need no approval, up to the given fraction of the previous value.\n Changes to work that must not run twice always need one.',
	services: ' One entry per service.',
	servers: [
		' Number of servers, concurrent requests and connections per server,',
		' and how servers leave (draining-notice, host-list, unannounced) and arrive (cold, warm).',
	].join('\n'),
	classes: [
		' Kinds of work. kind: short or long; priority: interactive, normal or batch.',
		' Usual and longest duration at the server; deadline from arrival to the end of the response.',
	].join('\n'),
	requests: [
		' Which requests belong to which class; the first match wins.',
		' * matches one path segment, a final ** matches the rest.',
		' idempotent: false means that the request must not run twice.',
	].join('\n'),
	longWorkShare: ' Share of the slots that long work may occupy.',
	missingKey: ' What happens to a request that must not run twice and has no Idempotency-Key: refuse, or single-attempt.',
	promises: ' Promised service levels: share of responses within the latency, over a window of days.',
};
