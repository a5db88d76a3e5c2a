/** State of one workers shard, shared by the modules of this folder. */
import type * as core from '@flamingoward/core';
import type * as attemptTable from './attempts.js';
import type * as recorders from './taskEndRecorder.js';
import type * as session from './session.js';
import type * as stores from '../jobs/stores.js';
import type * as types from './types.js';

/** One worker of the shard. */
export interface WorkerEntry {
  vm: core.workers.VmRecord;
  readonly session: session.Session;
  /** Whether it may get new tasks, as last reported to the scheduler. */
  isUsable: boolean;
  /** Whether the last VM list contains it. */
  isListed: boolean;
  /** Whether a complete inventory of the worker's current incarnation was applied. */
  isInventoryComplete: boolean;
  /** Number of running attempts that this owner doesn't manage; the worker gets no new tasks while there are any. */
  strayAttempts: number;
  /** Jobs with attempts in the last applied inventory that weren't known when it was applied. */
  readonly unknownJobs: Set<core.ids.JobId>;
  /** Ended attempts that were handled and that the worker still reports; it may forget those marked forgettable. */
  readonly handledEnds: Map<core.ids.AttemptId, 'recording' | 'forgettable'>;
}

/** A task that may be running on a worker that hasn't reported yet. */
export interface HeldTask {
  readonly job: core.ids.JobId;
  readonly index: number;
}

/** An ended attempt for which the scheduler hasn't decided yet whether its task is tried again. */
export interface UndecidedEnd {
  readonly job: core.ids.JobId;
  readonly index: number;
  /** Allows the worker to forget the attempt. */
  readonly forget: () => void;
}

/** State of a shard from the gain of its ownership to the loss. */
export interface ShardState {
  readonly dependencies: types.WorkersDependencies;
  readonly tasks: stores.TaskStore;
  readonly region: core.ids.RegionName;
  readonly shard: core.ids.ShardName;
  readonly epoch: core.ids.Epoch;
  readonly session: core.workers.WorkerSession;
  readonly scheduler: core.scheduling.Scheduler;
  readonly recorder: recorders.TaskEndRecorder;
  readonly attempts: attemptTable.AttemptTable;
  readonly workers: Map<core.ids.VmId, WorkerEntry>;
  /** Tasks that aren't started before the take-over finds them or rules them out. */
  readonly heldTasks: Map<string, HeldTask>;
  /** Jobs that the scheduler knows. */
  readonly knownJobs: Set<core.ids.JobId>;
  /** Jobs whose end this owner decided and appends to the log. */
  readonly endingJobs: Set<core.ids.JobId>;
  undecidedEnds: UndecidedEnd[];
  readonly gainedMs: number;
  /**
   * Local time from which the previous owner could read the claim: the later of
   * `gainedMs` and the last time when the log was unreachable.
   */
  claimReadableMs: number;
  /** A worker for which the take-over still had to wait at the last check. */
  lastAwaitedWorker: core.ids.VmId | undefined;
  /** Local time of the first report of any worker. */
  firstReportMs: number | undefined;
  /** Jobs accepted below this offset of `jobs` may have been started by an earlier owner. */
  takeOverOffset: core.ids.Offset;
  /** Whether the jobs were read, so that attempts can be adopted. */
  isPrepared: boolean;
  /** Whether the take-over ended, so that no task is held any more. */
  isConcluded: boolean;
  /** Whether the streams are being read up to their heads to end the take-over. */
  isConcluding: boolean;
  /** Date of the last `settled` record of this owner. */
  settledDateMs: number;
  isClosed: boolean;
  /** Applies an event to the scheduler and schedules a tick. */
  apply(event: core.scheduling.SchedulerEvent): void;
  /** Returns whether this process may decide for the shard now. */
  isDeciding(): boolean;
}
