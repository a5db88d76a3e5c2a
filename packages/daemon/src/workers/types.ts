/** What the owner of a workers shard needs from the other parts. */
import type * as core from '@flamingoward/core';
import type * as parts from '../types.js';
import type * as stores from '../jobs/stores.js';

/**
 * Calls to workers. Each call rejects when no complete answer came within
 * `timeoutMs`; the worker may have carried it out nevertheless. A call is sent
 * once and never repeated by the client.
 */
export interface WorkerClient {
  sync(
    worker: core.ids.Address,
    request: core.workers.SyncRequest,
    timeoutMs: number,
  ): Promise<core.workers.SyncReport>;
  start(
    worker: core.ids.Address,
    request: core.workers.StartRequest,
    timeoutMs: number,
  ): Promise<core.workers.StartAnswer>;
  stop(
    worker: core.ids.Address,
    session: core.workers.WorkerSession,
    attempt: core.ids.AttemptId,
    timeoutMs: number,
  ): Promise<void>;
  checkpoint(
    worker: core.ids.Address,
    session: core.workers.WorkerSession,
    attempt: core.ids.AttemptId,
    timeoutMs: number,
  ): Promise<void>;
  throttle(
    worker: core.ids.Address,
    session: core.workers.WorkerSession,
    attempt: core.ids.AttemptId,
    timeoutMs: number,
  ): Promise<void>;
}

/** Creates the scheduler of one workers shard. */
export type SchedulerFactory = (
  options: core.scheduling.SchedulerOptions,
) => core.scheduling.Scheduler;

/** Parts that all workers shards of a process share. */
export interface WorkersParts {
  readonly context: parts.PartContext;
  readonly streams: parts.Streams;
  readonly membership: parts.Membership;
  readonly ownership: parts.Ownership;
  readonly releases: parts.Releases;
  readonly jobs: stores.JobStore;
  readonly client: WorkerClient;
  readonly createScheduler: SchedulerFactory;
  readonly options: WorkersOptions;
}

/** Settings of workers shards. */
export interface WorkersOptions {
  readonly workerKind: core.WorkerKind;
  /** How long the log keeps records, in ms; live jobs are rewritten at half of it. */
  readonly retentionMs: number;
  readonly maxStartsPerTick: number;
  /** Uniform number from 0 to below 1; spreads calls over time. */
  readonly random: () => number;
}

/** Phase of an attempt as the owner knows it. */
export type AttemptPhase =
  /** Decided; nothing was sent to the worker. */
  | 'deciding'
  /** The start was sent and neither confirmed nor excluded. */
  | 'sent'
  | 'running';

/** An attempt that this owner decided or adopted, and that may be on a worker. */
export interface Attempt {
  readonly attemptId: core.ids.AttemptId;
  readonly job: core.ids.JobId;
  readonly index: number;
  readonly worker: core.ids.VmId;
  readonly atMostOnce: boolean;
  phase: AttemptPhase;
  /** Worker time after which a start that was sent can't begin any more. */
  startByMs: number;
  /** Worker time at which the attempt was known to exist. */
  seenClockMs: number;
  /** Local time of the last stop call; undefined when none is wanted. */
  stopSentMs: number | undefined;
}

/** A workers shard that this process decides for. */
export interface WorkersShard extends parts.Dumpable {
  readonly shard: core.ids.ShardName;
  readonly epoch: core.ids.Epoch;
  check(spec: core.jobs.JobSpec): core.scheduling.AdmissionVerdict;
  readTasks(job: core.ids.JobId): readonly core.jobs.TaskState[] | undefined;
  explain(job: core.ids.JobId): readonly string[];
  readTeamUse(): readonly core.messages.TeamUse[];
  listWorkers(): readonly WorkerView[];
  /** True when every task of the jobs known at the take-over is accounted for. */
  isSettled(): boolean;
  /** Ends all calls and decisions; nothing is stopped on the workers. */
  end(): void;
}

/** One worker as the owner of its shard sees it. */
export interface WorkerView {
  readonly id: core.ids.VmId;
  /** Attempts that are or may be on it. */
  readonly attempts: number;
  /** Why it gets no new tasks now; undefined when it may. */
  readonly closedBy: string | undefined;
}
