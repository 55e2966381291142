/** Verbs with which names of functions and methods may begin; docs/glossary.md lists the same verbs. */
export const verbs = `
	abort accept acquire add adopt announce append apply ask assert build cancel check choose claim
	close collect compare compute connect convert count create decide decode delete describe detect
	disconnect drain draw drop encode end enqueue escape expect expire extend fetch find finish
	format freeze generate get grant handle has hash init is kill list load lock log make manage mark
	match measure merge normalize notify observe open parse pause pick plan print probe publish push put
	query rank read recall receive record refresh refuse register release remove render repeat replay
	report request reset resolve respond restart restore resume retry revert revoke run save scan
	schedule select send serve set settle shift show sign skip sort spawn split start stop store stream
	strip sum summarize take test track transact transform trim try update validate verify visit wait
	warm watch withdraw write
`.trim().split(/\s+/v);
