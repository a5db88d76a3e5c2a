/** Rows of the scheduler's tables of jobs and tasks. */
import type * as ids from '../types/ids.js';
import type * as job from '../types/job.js';
import type * as reasons from '../types/reasons.js';
import type * as release from '../types/release.js';
import type * as placement from '../placement/rows.js';

/** A task that has been started, held or ended; a fresh task, which never was, has no row. */
export interface TaskRow {
  readonly index: number;
  state: 'waiting' | 'delayed' | 'held' | 'live' | 'ended';
  attempt: placement.Attempt | undefined;
  result: job.TaskResult | undefined;
  reason: reasons.Reason | undefined;
  /** When the task began to wait or was held. */
  sinceMs: number;
  /** Number of attempts that this scheduler started. */
  attempts: number;
  /** Number of times the task was preempted. */
  preemptions: number;
  /** Share of the work that the last checkpoint saved, 0 to 1. */
  checkpointedShare: number;
  /** Number of failures that count against the job. */
  failures: number;
  readonly failedWorkers: Set<ids.VmId>;
}

/** A job of the shard. */
export interface JobRow {
  readonly id: ids.JobId;
  readonly job: job.Job;
  readonly spec: job.JobSpec;
  /** Replaced by a shape of its own once the job avoids a worker. */
  shape: placement.Shape;
  readonly urgency: ids.Urgency;
  readonly team: ids.TeamName;
  /** Position in the order of acceptance. */
  readonly order: number;
  /** Last known release entry of the class of the job. */
  classEntry: release.ClassEntry;
  readonly tasks: Map<number, TaskRow>;
  /** Lower bound of the indices of fresh tasks. */
  nextFreshIndex: number;
  /** Indices of tasks that wait again and may start now, in the order of starting. */
  requeued: number[];
  /** Number of queued tasks that may start now, fresh ones included. */
  waitingTasks: number;
  /** Number of tasks with a live attempt. */
  liveTasks: number;
  /** Number of ended tasks: the sum of the three counts below. */
  endedTasks: number;
  doneTasks: number;
  /** Number of tasks that failed or were stopped. */
  failedTasks: number;
  /** Number of tasks that were lost or whose result is unknown. */
  unknownTasks: number;
  /** True while the members of a gang are being stopped so that it can restart. */
  restarting: boolean;
  /** Workers on which the job failed; enough of them end the job. */
  readonly failedWorkers: Set<ids.VmId>;
  /** Workers on which the job failed and that it avoids while others could hold it. */
  readonly avoidedWorkers: Set<ids.VmId>;
  /** Number of replicas of a service by zone, rack and worker. */
  readonly replicaCounts: Map<string, number>;
  /** When the job was accepted or its gang was last requeued. */
  sinceMs: number;
  /** When the job was accepted, last started a task, or began to wait again. */
  lastProgressMs: number;
  /** Why its last attempted start was refused. */
  reason: reasons.Reason | undefined;
  /** How the job ends; set as soon as that is decided, while attempts may still be live. */
  ending:
    | {
        readonly state: Exclude<job.JobState, 'accepted'>;
        readonly reason: string;
      }
    | undefined;
  closed: boolean;
  /** True while the job is out of the queue because even an idle fleet could not hold it. */
  isUnplaceable: boolean;
  /** Lines about past events of the job, newest last, bounded. */
  readonly history: string[];
}
