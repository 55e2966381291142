import {runBadEndpoint} from './bad-endpoint.js';
import {runControlCost} from './control-cost.js';
import {runCrest} from './crest.js';
import {runEntryLoss} from './entry-loss.js';
import type {Experiment} from './experiment.js';
import {runHeadOfLine} from './head-of-line.js';
import {runMeasuringCost} from './measuring-cost.js';
import {runOverhead} from './overhead.js';
import {runPoison} from './poison.js';
import {runQuietConnection} from './quiet-connection.js';
import {runRetryStorm} from './retry-storm.js';
import {runShiftingSpeed} from './shifting-speed.js';
import {runTail} from './tail.js';

export * from './experiment.js';

/** Experiments, keyed by name, in the order of docs/design.md, section 13. */
export const experiments: Readonly<Record<string, Experiment>> = {
	tail: runTail,
	crest: runCrest,
	'head-of-line': runHeadOfLine,
	'measuring-cost': runMeasuringCost,
	'bad-endpoint': runBadEndpoint,
	'retry-storm': runRetryStorm,
	'entry-loss': runEntryLoss,
	poison: runPoison,
	'quiet-connection': runQuietConnection,
	'control-cost': runControlCost,
	overhead: runOverhead,
	'shifting-speed': runShiftingSpeed,
};
