import type {Experiment} from './experiment.js';
import {runOverhead} from './overhead.js';
import {runTail} from './tail.js';

export * from './experiment.js';

/** Experiments by name, in the order of docs/design.md, section 13. */
export const experiments: Readonly<Record<string, Experiment>> = {
	tail: runTail,
	overhead: runOverhead,
};
