/**
 * Events that the scheduler of a workers shard takes and commands that it returns.
 * The scheduler is pure: it holds tables, knows no clock and does no I/O, so a
 * recorded session can be replayed through it.
 */
import type * as ids from './ids.js';
import type * as job from './job.js';
import type * as reasons from './reasons.js';
import type * as release from './release.js';
import type * as resources from './resources.js';
import type * as worker from './worker.js';

/** Something that happened; applied in order. */
export type SchedulerEvent =
  /** A worker is in the platform's list, or its entry changed. */
  | { readonly event: 'worker.listed'; readonly worker: worker.VmRecord }
  /** A worker left the list and nothing can run on it any more. */
  | { readonly event: 'worker.removed'; readonly worker: ids.VmId }
  /** Whether tasks may be started on a worker now: authority held and worker reachable. */
  | {
      readonly event: 'worker.usable';
      readonly worker: ids.VmId;
      readonly usable: boolean;
    }
  /** Reported use of the attempts on a worker. */
  | {
      readonly event: 'worker.reported';
      readonly worker: ids.VmId;
      readonly attempts: readonly worker.AttemptReport[];
    }
  /** A job of this shard is in the log; `ended` holds the tasks whose end is in the log. */
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
  /** A task may be on a worker that hasn't reported; it isn't started until `task.freed`. */
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
  /** An attempt that a previous owner started was found on a worker. */
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
  /** The start is known not to have happened; the task waits again. */
  | { readonly event: 'task.not-started'; readonly attemptId: ids.AttemptId }
  /** The attempt is known to have ended; its capacity is free. */
  | {
      readonly event: 'task.ended';
      readonly attemptId: ids.AttemptId;
      readonly result: job.TaskResult;
      /** Share of the work kept by a checkpoint, 0 to 1. */ readonly checkpoint?: number;
    }
  /** Classes and teams of the release in force. */
  | {
      readonly event: 'release.changed';
      readonly release: string;
      readonly classes: readonly release.ClassEntry[];
      readonly teams: readonly release.TeamEntry[];
    }
  /** Quota of a team that this shard may use now. */
  | {
      readonly event: 'team.quota';
      readonly team: ids.TeamName;
      readonly quota: resources.Resources;
    };

/** A task whose end is durable. */
export interface EndedTask {
  readonly index: number;
  readonly result: job.TaskResult;
}

/** What the owner has to do. */
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
      /** Take a checkpoint first. */ readonly checkpoint: boolean;
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

/** Verdict on a job before it is accepted. */
export type AdmissionVerdict =
  | { readonly admitted: true; readonly expectedWaitMs: number }
  | { readonly admitted: false; readonly reason: reasons.Reason };

/** The scheduler of one workers shard. */
export interface Scheduler {
  apply(event: SchedulerEvent, nowMs: number): void;
  /** Decides; bounded work per call. Commands are to be carried out in order. */
  tick(nowMs: number): readonly SchedulerCommand[];
  /** Checks a job against the fleet, the quotas and the queue without changing anything. */
  check(spec: job.JobSpec, nowMs: number): AdmissionVerdict;
  readTasks(job: ids.JobId): readonly job.TaskState[] | undefined;
  /** Sentences for a person: state of the job and why its tasks wait, moved or stopped. */
  explain(job: ids.JobId): readonly string[];
  /** What each team uses now, starts in flight and unconfirmed stops included. */
  readTeamUse(): ReadonlyMap<ids.TeamName, resources.Resources>;
  /** Plain JSON-ready copy of the tables. */
  dump(): unknown;
}

/** Limits of a scheduler. */
export interface SchedulerOptions {
  /** Starts that one tick may return. */
  readonly maxStartsPerTick: number;
  readonly seed: number;
}
