/** Comments of the generated answers file by the last part of a field's path. */
export const answersComments: Readonly<Record<string, string>> = {
	organization: ' Answers of one team. docs/answers.md describes every field; tanagerrail answers check FILE reports all mistakes.',
	topology: ' Where the hosts run. Delays are one way, in milliseconds.',
	measuring: ' Budget for measuring the load of the servers of each service. No probe is sent when it is used up.',
	tableWritesPerSecond: ' Writes a second that all hosts together may send to the table service. Work that must not repeat takes two writes.',
	routineChanges: ' Changes that are applied without asking, up to the given part of the former value.\n Work that must not repeat is never covered.',
	services: ' One entry for each service.',
	servers: [
		' How many servers there are, how many requests each runs at a time, how many connections it takes,',
		' and how servers leave (draining-notice, host-list, unannounced) and arrive (cold, warm).',
	].join('\n'),
	classes: [
		' Kinds of work. kind: short or long; priority: interactive, normal or batch.',
		' usual and longest duration at the server, deadline from arrival to the end of the response.',
	].join('\n'),
	requests: [
		' Which requests belong to which class; the first that matches wins.',
		' * matches one segment, a final ** the rest.',
		' idempotent: false means that the work must not repeat.',
	].join('\n'),
	longWorkShare: ' Share of the slots that long work may hold.',
	missingKey: ' Work that must not repeat without an Idempotency-Key: refuse, or single-attempt.',
	promises: ' Promised service levels: the share of responses within the latency, over so many days.',
};
