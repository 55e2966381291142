import {errAsync, type Result, type ResultAsync} from 'neverthrow';
import {z} from 'zod';
import type {
	AnswersManager, AppliedChange, ConfigurationSynchronizer, Refusal, RevisionStore,
} from '@tanagerrail/configuration';
import {createFailure, type Failure} from '@tanagerrail/results';
import {controlTrpc} from './control-trpc.js';
import type {HostStatus} from './host-status.js';
import type {RevisionAnnouncer, RevisionReach} from './revision-announcer.js';
import {encodeResult, type WireResult} from './wire-result.js';

/** An accepted change and where it is in force. */
export type AppliedReach = AppliedChange & {readonly reach: RevisionReach};

/** Status of one host, or why it did not report. */
export type ReportedStatus = {readonly hostId: string; readonly status?: HostStatus; readonly failure?: Failure};

/** Sources of the service-level counts that a host serves; snapshots are gzip-compressed JSON in Base64. */
export type LevelCalls = {
	/** Takes a snapshot of the counts of this host. */
	readonly takeSnapshot: () => Promise<string>;
	/** Reads the snapshots in the object store. */
	readonly readStored: () => Promise<Result<StoredLevels, Failure>>;
	/** Lists the entry hosts that are expected to serve their counts. */
	readonly listHosts: () => LevelHost[];
};

/** Snapshots in the object store and the keys of those that cannot be read. */
export type StoredLevels = {readonly snapshots: readonly string[]; readonly unreadable: readonly string[]};

/** An entry host with its admin address, if it is listed with one. */
export type LevelHost = {readonly id: string; readonly adminAddress?: string};

/** Options of {@link createOperatorRouter}. */
export type OperatorRouterOptions = {
	/** Access to the stored answers and revisions; undefined when the settings name no table service. */
	readonly answers: {readonly manager: AnswersManager; readonly store: RevisionStore} | undefined;
	readonly keeper: ConfigurationSynchronizer;
	readonly announcer: RevisionAnnouncer;
	/** Collects the status of all live hosts. */
	readonly collectStatus: () => Promise<ReportedStatus[]>;
	readonly levels: LevelCalls;
};

const decisionSchema = z.object({
	by: z.string().min(1).max(200),
	note: z.string().max(2000),
	base: z.int().min(0).optional(),
	approve: z.array(z.string()),
	token: z.string().min(16).max(100),
});
const answersSchema = z.object({answers: z.string()});
const revisionSchema = z.object({revision: z.int().min(1)});

const tableNotConfigured = createFailure('table-unavailable', {reason: 'the settings name no table service'});

/**
 * Creates the router that a host serves to operators on its admin address.
 *
 * @param options - What it serves.
 * @returns Procedures: `planAnswers`, `applyAnswers`, `revertAnswers`, `history`, `getRevision`, `approvals`, `revoke`, `status`,
 * `levels`, `storedLevels`, `levelHosts`.
 */
export function createOperatorRouter({answers, keeper, announcer, collectStatus, levels}: OperatorRouterOptions) {
	const {procedure, router} = controlTrpc;
	const {manager, store} = answers ?? {};
	const announceApplied = async (result: Result<AppliedChange, Refusal>): Promise<WireResult<AppliedReach, Refusal>> => {
		if (result.isErr()) {
			return {isOk: false, error: result.error};
		}

		keeper.adopt(result.value.record);
		return {isOk: true, value: {...result.value, reach: await announcer.announce(result.value.record)}};
	};

	const withStore = async <T>(read: (found: RevisionStore) => ResultAsync<T, Failure>) => encodeResult(await (store ? read(store) : errAsync<T, Failure>(tableNotConfigured)));
	const withManager = async <T>(call: (found: AnswersManager) => ResultAsync<T, Refusal>): Promise<Result<T, Refusal>> =>
		manager ? call(manager) : errAsync({failure: tableNotConfigured});
	return router({
		planAnswers: procedure.input(answersSchema).mutation(async ({input}) => encodeResult(await withManager(found => found.plan(input.answers)))),
		applyAnswers: procedure.input(decisionSchema.extend(answersSchema.shape)).mutation(async ({input}) => announceApplied(await withManager(found => found.apply(input)))),
		revertAnswers: procedure.input(decisionSchema.extend(revisionSchema.shape)).mutation(async ({input: {revision, ...request}}) =>
			announceApplied(await withManager(found => found.revert(revision, request)))),
		history: procedure.query(async () => withStore(found => found.listHistory().map(records => records.map(({answers: _, ...entry}) => entry)))),
		getRevision: procedure.input(revisionSchema).query(async ({input}) => withStore(found => found.readRevision(input.revision))),
		approvals: procedure.query(async () => withStore(found => found.listApprovals())),
		revoke: procedure.input(z.object({kind: z.string()})).mutation(async ({input}) => withStore(found => found.revokeApproval(input.kind).map(() => input.kind))),
		status: procedure.query(async () => collectStatus()),
		levels: procedure.query(async () => levels.takeSnapshot()),
		storedLevels: procedure.query(async () => encodeResult(await levels.readStored())),
		levelHosts: procedure.query(() => levels.listHosts()),
	});
}

/** Type of the operator router, for its clients. */
export type OperatorRouter = ReturnType<typeof createOperatorRouter>;
