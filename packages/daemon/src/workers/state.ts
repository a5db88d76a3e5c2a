/** Tables of one workers shard, which the modules of this folder work on. */
import type * as core from '@flamingoward/core';
import type * as attemptTable from './attempts.js';
import type * as recorders from './recorder.js';
import type * as session from './session.js';
import type * as stores from '../jobs/stores.js';
import type * as types from './types.js';

/** One worker of the shard. */
export interface WorkerEntry {
  vm: core.workers.VmRecord;
  readonly session: session.Session;
  /** Last value told to the scheduler. */
  usable: boolean;
  /** Present in the last VM list. */
  listed: boolean;
  /** A complete inventory was applied in this run of the worker. */
  complete: boolean;
  /** Running attempts that aren't this owner's; the worker gets no work while there are any. */
  strays: number;
  /** Ended attempts that were handled and that the worker still reports. */
  readonly handled: Map<core.ids.AttemptId, 'recording' | 'forgettable'>;
}

/** A task that may be on a worker that hasn't reported. */
export interface HeldTask {
  readonly job: core.ids.JobId;
  readonly index: number;
}

/** An attempt that ended, while the scheduler hasn't decided whether the task did. */
export interface UndecidedEnd {
  readonly job: core.ids.JobId;
  readonly index: number;
  /** Lets the worker forget the attempt. */
  readonly forget: () => void;
}

/** State of a shard from the gain of ownership to its loss. */
export interface ShardState {
  readonly parts: types.WorkersParts;
  readonly tasks: stores.TaskStore;
  readonly region: core.ids.RegionName;
  readonly shard: core.ids.ShardName;
  readonly epoch: core.ids.Epoch;
  readonly own: core.workers.WorkerSession;
  readonly scheduler: core.scheduling.Scheduler;
  readonly recorder: recorders.Recorder;
  readonly attempts: attemptTable.AttemptTable;
  readonly workers: Map<core.ids.VmId, WorkerEntry>;
  readonly held: Map<string, HeldTask>;
  /** Jobs that the scheduler knows. */
  readonly given: Set<core.ids.JobId>;
  /** Jobs whose end this owner decided. */
  readonly ending: Set<core.ids.JobId>;
  undecided: UndecidedEnd[];
  readonly gainedMs: number;
  /** The later of `gainedMs` and the last time when the log was away. */
  claimKnownMs: number;
  /** A worker that wasn't accounted for at the last look. */
  waitingFor: core.ids.VmId | undefined;
  firstAnswerMs: number | undefined;
  /** Jobs accepted below this offset may have been started by an earlier owner. */
  oldBelow: core.ids.Offset;
  /** The jobs are known and attempts may be adopted. */
  prepared: boolean;
  /** No task is held for the take-over any more. */
  concluded: boolean;
  /** The heads are being read for the end of the take-over. */
  concluding: boolean;
  /** Date of the last `settled` record. */
  settledMs: number;
  closed: boolean;
  /** Applies an event to the scheduler and has it decide soon. */
  apply(event: core.scheduling.SchedulerEvent): void;
  /** Whether this process may decide now. */
  isDeciding(): boolean;
}
