import {conditionSteps} from './condition-steps.js';
import {faultSteps} from './fault-steps.js';
import {networkSteps} from './network-steps.js';
import {operatorSteps} from './operator-steps.js';
import {processSteps} from './process-steps.js';
import type {StepHandler} from './step-handler.js';
import {trafficSteps} from './traffic-steps.js';

/** Handlers of all steps by name. */
export const stepKinds = {
	...processSteps, ...trafficSteps, ...networkSteps, ...faultSteps, ...operatorSteps, ...conditionSteps,
} as const satisfies Record<string, StepHandler>;

/** Name of a step. */
export type StepKind = keyof typeof stepKinds;
