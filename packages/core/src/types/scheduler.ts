/**
 * Interface of the scheduler of a `workers` shard: the events that it takes and the
 * commands that it returns. The scheduler keeps its state in memory, reads no clock and
 * does no I/O, so that a recorded sequence of events can be replayed through it.
 */
import type * as ids from './ids.js';
import type * as job from './job.js';
import type * as reasons from './reasons.js';
import type * as release from './release.js';
import type * as resources from './resources.js';
import type * as worker from './worker.js';

/** Input of the scheduler; events are applied in the order of the calls. */
export type SchedulerEvent =
  /** A worker was added to the platform's list, or its entry has changed. */
  | { readonly event: 'worker.listed'; readonly worker: worker.VmRecord }
  /** A worker was removed from the list, and no attempt can still run on it. */
  | { readonly event: 'worker.removed'; readonly worker: ids.VmId }
  /** Whether tasks may be started on a worker: this process has authority over it and reaches it. */
  | {
      readonly event: 'worker.usable';
      readonly worker: ids.VmId;
      readonly usable: boolean;
    }
  /** The worker's report of its attempts and the resources that they use. */
  | {
      readonly event: 'worker.reported';
      readonly worker: ids.VmId;
      readonly attempts: readonly worker.AttemptReport[];
    }
  /** A job of this shard was accepted in the log; `ended` lists its tasks whose end is in the log. */
  | {
      readonly event: 'job.accepted';
      readonly job: job.Job;
      readonly ended: readonly EndedTask[];
    }
  | {
      readonly event: 'job.cancelled';
      readonly job: ids.JobId;
      readonly by: string;
    }
  /** A task may be running on a worker that has not reported; it is not started before `task.freed`. */
  | {
      readonly event: 'task.held';
      readonly job: ids.JobId;
      readonly index: number;
      readonly reason: reasons.Reason;
    }
  | {
      readonly event: 'task.freed';
      readonly job: ids.JobId;
      readonly index: number;
    }
  /** An attempt that an earlier owner started is running on a worker. */
  | {
      readonly event: 'task.adopted';
      readonly job: ids.JobId;
      readonly index: number;
      readonly attemptId: ids.AttemptId;
      readonly worker: ids.VmId;
      readonly size: resources.Resources;
    }
  /** The worker confirmed a start. */
  | { readonly event: 'task.started'; readonly attemptId: ids.AttemptId }
  /** The attempt was certainly not started; the task waits again. */
  | { readonly event: 'task.not-started'; readonly attemptId: ids.AttemptId }
  /** The attempt has certainly ended; its capacity is free. */
  | {
      readonly event: 'task.ended';
      readonly attemptId: ids.AttemptId;
      readonly result: job.TaskResult;
      /** Share of the work (0 to 1) that the last checkpoint saved. */ readonly checkpoint?: number;
    }
  /** Another release is in force; these are its classes and teams. */
  | {
      readonly event: 'release.changed';
      readonly release: string;
      readonly classes: readonly release.ClassEntry[];
      readonly teams: readonly release.TeamEntry[];
    }
  /** The part of a team's quota that this shard may use now. */
  | {
      readonly event: 'team.quota';
      readonly team: ids.TeamName;
      readonly quota: resources.Resources;
    };

/** A task whose end is recorded in the log. */
export interface EndedTask {
  readonly index: number;
  readonly result: job.TaskResult;
}

/** An action that the shard's owner has to carry out. */
export type SchedulerCommand =
  | {
      readonly command: 'start';
      readonly job: ids.JobId;
      readonly index: number;
      readonly attemptId: ids.AttemptId;
      readonly worker: ids.VmId;
      readonly size: resources.Resources;
      readonly atMostOnce: boolean;
      readonly work: Readonly<Record<string, string | number>>;
    }
  | {
      readonly command: 'stop';
      readonly attemptId: ids.AttemptId;
      readonly worker: ids.VmId;
      readonly why:
        'cancelled' | 'preempted' | 'withdrawn' | 'gang' | 'overuse';
      /** Whether a checkpoint is to be taken before the stop. */ readonly checkpoint: boolean;
    }
  | {
      readonly command: 'throttle';
      readonly attemptId: ids.AttemptId;
      readonly worker: ids.VmId;
    }
  | {
      readonly command: 'end-job';
      readonly job: ids.JobId;
      readonly state: Exclude<job.JobState, 'accepted'>;
      readonly reason: string;
    };

/** Result of checking a job before it is accepted. */
export type AdmissionVerdict =
  | { readonly admitted: true; readonly expectedWaitMs: number }
  | { readonly admitted: false; readonly reason: reasons.Reason };

/** The scheduler of one `workers` shard. */
export interface Scheduler {
  /** Applies an event; the next tick returns the commands that result from it. */
  apply(event: SchedulerEvent, nowMs: number): void;
  /** Returns the next commands, to be carried out in order; the work per call is bounded. */
  tick(nowMs: number): readonly SchedulerCommand[];
  /** Checks a job against the fleet, the quotas and the queue, without a change of state. */
  check(spec: job.JobSpec, nowMs: number): AdmissionVerdict;
  /** Returns the state of each task of a job; undefined if the job is unknown. */
  listTaskStates(job: ids.JobId): readonly job.TaskState[] | undefined;
  /** Explains in sentences the state of a job and why its tasks are waiting, moved or stopped. */
  explain(job: ids.JobId): readonly string[];
  /** Returns the resources that each team uses, including starts in flight and unconfirmed stops. */
  getTeamUse(): ReadonlyMap<ids.TeamName, resources.Resources>;
  /** Returns a copy of the scheduler's state that can be written as JSON. */
  dump(): unknown;
}

/** Options of a scheduler. */
export interface SchedulerOptions {
  /** Most start commands that one tick returns. */
  readonly maxStartsPerTick: number;
  /** Leading part of attempt numbers; each owner has a seed of its own, so that attempt ids are unique. */
  readonly seed: number;
}
