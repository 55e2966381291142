import type {z} from 'zod';
import type {ScenarioWorld} from '../scenario-world.js';

/** Input schema and implementation of one kind of step. */
export type StepHandler = {
	readonly schema: z.ZodType;
	/** Runs the step; throws an error with the reason when it fails. */
	readonly run: (value: unknown, world: ScenarioWorld) => Promise<void> | void;
};

/**
 * Creates a handler whose input has the type of its schema.
 *
 * @param schema - Schema of the step's value.
 * @param run - Runs the step with the validated value.
 * @returns The handler.
 */
export function createStep<S extends z.ZodType>(schema: S, run: (value: z.output<S>, world: ScenarioWorld) => Promise<void> | void): StepHandler {
	return {schema, run: async (value, world) => run(value as z.output<S>, world)};
}
