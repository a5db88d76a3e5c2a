/** Types that the owner of a workers shard shares with its dependencies and its users. */
import type * as core from '@flamingoward/core';
import type * as parts from '../types.js';
import type * as stores from '../jobs/stores.js';

/**
 * Client for calls to workers. Each call rejects when no complete answer arrives within
 * `timeoutMs`; the worker may have executed it nevertheless. The client sends each
 * call once and never retries.
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

/** Dependencies that all workers shards of a process share. */
export interface WorkersDependencies {
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
  /** Retention of the log, in ms; the records of live jobs are written again at half of it. */
  readonly retentionMs: number;
  readonly maxStartsPerTick: number;
  /** Returns a uniform number from 0 to below 1, used to spread calls over time. */
  readonly random: () => number;
}

/** Phase of an attempt as the owner knows it. */
export type AttemptPhase =
  /** Decided; nothing was sent to the worker. */
  | 'deciding'
  /** The start was sent; it is neither confirmed nor ruled out. */
  | 'sent'
  | 'running';

/** An attempt that this owner decided or adopted and that may exist on a worker. */
export interface Attempt {
  readonly attemptId: core.ids.AttemptId;
  readonly job: core.ids.JobId;
  readonly index: number;
  readonly worker: core.ids.VmId;
  readonly atMostOnce: boolean;
  phase: AttemptPhase;
  /** Worker time after which the worker refuses the start that was sent. */
  startByMs: number;
  /** Latest worker time at which the attempt was known to exist. */
  seenClockMs: number;
  /** Local time of the last stop call; undefined when no stop was requested. */
  stopSentMs: number | undefined;
}

/** A workers shard that this process owns. */
export interface WorkersShard extends parts.Dumpable {
  readonly shard: core.ids.ShardName;
  readonly epoch: core.ids.Epoch;
  check(spec: core.jobs.JobSpec): core.scheduling.AdmissionVerdict;
  /** Returns the states of the tasks; undefined while this process may not decide for the shard, or when it doesn't know the job. */
  getTasks(job: core.ids.JobId): readonly core.jobs.TaskState[] | undefined;
  /** Explains the state of a job; undefined while this process may not decide for the shard. */
  explain(job: core.ids.JobId): readonly string[] | undefined;
  getTeamUse(): readonly core.messages.TeamUse[];
  listWorkers(): readonly WorkerView[];
  /** Returns whether the take-over is concluded: every earlier task was found or ruled out. */
  isSettled(): boolean;
  /** Ends all calls and decisions; tasks on the workers keep running. */
  end(): void;
}

/** One worker as the owner of its shard sees it. */
export interface WorkerView {
  readonly id: core.ids.VmId;
  /** Number of attempts that exist or may exist on it; undefined while its inventory isn't known, or while this process may not decide for the shard. */
  readonly attempts: number | undefined;
  /** Why it gets no new tasks now; undefined when it may get some. */
  readonly closedBy: string | undefined;
}
