/** Rows of the tables of jobs and tasks. */
import type * as ids from '../types/ids.js';
import type * as job from '../types/job.js';
import type * as reasons from '../types/reasons.js';
import type * as release from '../types/release.js';
import type * as placement from '../placement/rows.js';

/** A task that isn't a fresh one any more; fresh tasks have no row. */
export interface TaskRow {
  readonly index: number;
  state: 'waiting' | 'delayed' | 'held' | 'live' | 'ended';
  attempt: placement.Attempt | undefined;
  result: job.TaskResult | undefined;
  reason: reasons.Reason | undefined;
  sinceMs: number;
  /** Attempts that this scheduler started. */
  attempts: number;
  preemptions: number;
  /** Share of the work that the last checkpoint keeps, 0 to 1. */
  kept: number;
  failures: number;
  readonly failedOn: Set<ids.VmId>;
}

/** A job of the shard. */
export interface JobRow {
  readonly id: ids.JobId;
  readonly job: job.Job;
  readonly spec: job.JobSpec;
  /** Changes when the job has to avoid a worker. */
  shape: placement.Shape;
  readonly urgency: ids.Urgency;
  readonly team: ids.TeamName;
  /** Position in the order of acceptance. */
  readonly order: number;
  policy: release.ClassEntry;
  readonly tasks: Map<number, TaskRow>;
  /** No task below this index is fresh. */
  nextFresh: number;
  /** Tasks that wait again and may start now. */
  again: number[];
  /** Tasks that may start now, fresh ones included. */
  waiting: number;
  live: number;
  ended: number;
  done: number;
  failed: number;
  unknown: number;
  /** Set while the members of a gang are stopped to start it again. */
  restarting: boolean;
  readonly failedOn: Set<ids.VmId>;
  /** Workers on which it failed and that it avoids while others could hold it. */
  readonly avoid: Set<ids.VmId>;
  /** Replicas by zone, rack and worker. */
  readonly spread: Map<string, number>;
  sinceMs: number;
  /** When it was accepted or last started a task. */
  progressMs: number;
  reason: reasons.Reason | undefined;
  /** Set when the job is to end as soon as nothing of it is live. */
  ending:
    | {
        readonly state: Exclude<job.JobState, 'accepted'>;
        readonly reason: string;
      }
    | undefined;
  closed: boolean;
  /** True while no worker of the fleet is large enough. */
  unfit: boolean;
  /** What happened to it, newest last, bounded. */
  readonly history: string[];
}
