import {setTimeout as waitMilliseconds} from 'node:timers/promises';
import {buildScenarioService} from './build-scenario-service.js';
import {Fleet} from './fleet.js';
import type {Scenario, ScenarioStep} from './parse-scenario.js';
import {ScenarioError} from './scenario-error.js';
import {ScenarioWorld} from './scenario-world.js';
import {stepKinds} from './steps/index.js';

/** Options of {@link runScenario}. */
export type RunScenarioOptions = {
	/** Script that replaces the program of the entry processes; tests use it to disable a mechanism. */
	readonly entryScript?: string;
	/** Directory to which the logs of the entry hosts are copied when a step fails; by default they are removed. */
	readonly logDirectory?: string;
};

/**
 * Runs a scenario on newly started processes.
 *
 * @param scenario - The scenario.
 * @param options - Replacement script of the entry processes and log directory.
 * @throws ScenarioError `scenario-failed` with file and line of the failed step.
 */
export async function runScenario(scenario: Scenario, {entryScript, logDirectory}: RunScenarioOptions = {}): Promise<void> {
	const fleet = await Fleet.start({
		entries: scenario.entries,
		failureDomains: scenario.failureDomains,
		services: Object.entries(scenario.services).map(([name, service]) => ({
			configuration: buildScenarioService(name, service), endpoints: service.endpoints,
		})),
		configuration: {measuring: scenario.measuring},
		hasPlatform: scenario.platform,
		listLagMilliseconds: scenario.listLag,
		settings: {shutdown: {lameDuckMilliseconds: scenario.lameDuck, shutdownMilliseconds: 60_000}},
		entryScript,
	});
	const world = new ScenarioWorld(scenario, fleet);
	try {
		await runSteps(scenario, world);
	} catch (error) {
		if (logDirectory) {
			fleet.saveLogs(logDirectory);
		}

		throw error;
	} finally {
		await world.caller.stop();
		await fleet.stop();
	}
}

async function runSteps(scenario: Scenario, world: ScenarioWorld): Promise<void> {
	const end = performance.now() + scenario.timeout;
	for (const step of scenario.steps) {
		await runStep(step, world, end - performance.now());
	}
}

async function runStep({kind, value, position}: ScenarioStep, world: ScenarioWorld, milliseconds: number): Promise<void> {
	const stepEnded = new AbortController();
	try {
		await Promise.race([stepKinds[kind].run(value, world), waitForTimeout(milliseconds, stepEnded.signal)]);
	} catch (error) {
		throw new ScenarioError('scenario-failed', position, `${kind}: ${(error as Error).message}`);
	} finally {
		stepEnded.abort();
	}
}

async function waitForTimeout(milliseconds: number, signal: AbortSignal): Promise<void> {
	try {
		await waitMilliseconds(Math.max(0, milliseconds), undefined, {signal});
	} catch {
		// The step ended in time.
		return;
	}

	throw new Error('the scenario exceeded its timeout');
}
