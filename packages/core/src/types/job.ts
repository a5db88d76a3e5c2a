/** Jobs, their tasks, and the states that both go through. */
import type * as ids from './ids.js';
import type * as reasons from './reasons.js';
import type * as resources from './resources.js';

/** How the tasks of a job belong together. */
export type JobKind = 'batch' | 'gang' | 'service';

/** What a caller submits. */
export interface JobSpec {
  readonly kind: JobKind;
  readonly name: string;
  readonly team: ids.TeamName;
  /** Name of a class of the release in force. */
  readonly jobClass: string;
  /** Number of tasks, members or replicas. */
  readonly count: number;
  /** Declared need of each task. */
  readonly size: resources.Resources;
  /** Declared run time of a task in ms; 0 for services. */
  readonly declaredMs: number;
  /** Region to run in; the accepting process chooses when it is absent. */
  readonly region?: ids.RegionName;
  readonly availabilityZone?: ids.AvailabilityZone;
  /** Gangs: largest number of racks that the members may span. */
  readonly maxRacks?: number;
  /** Command for the worker, opaque to the scheduler. */
  readonly work: Readonly<Record<string, string | number>>;
}

/** How a task's attempt ended. */
export type TaskResult = 'done' | 'failed' | 'stopped' | 'lost' | 'unknown';

/** State of one task. */
export type TaskState =
  | {
      readonly state: 'waiting';
      readonly sinceMs: number;
      readonly reason?: reasons.Reason;
    }
  | {
      readonly state: 'starting';
      readonly attemptId: ids.AttemptId;
      readonly worker: ids.VmId;
      readonly sinceMs: number;
    }
  | {
      readonly state: 'running';
      readonly attemptId: ids.AttemptId;
      readonly worker: ids.VmId;
      readonly sinceMs: number;
    }
  | {
      readonly state: 'stopping';
      readonly attemptId: ids.AttemptId;
      readonly worker: ids.VmId;
      readonly why:
        'cancelled' | 'preempted' | 'withdrawn' | 'gang' | 'overuse';
    }
  | { readonly state: 'ended'; readonly result: TaskResult };

/** State of a job as the `jobs` stream tells it. */
export type JobState = 'accepted' | 'done' | 'failed' | 'cancelled' | 'unknown';

/** A job folded from the `jobs` stream. */
export interface Job {
  readonly id: ids.JobId;
  readonly spec: JobSpec;
  readonly urgency: ids.Urgency;
  readonly shard: ids.ShardName;
  /** Release under which it was accepted. */
  readonly release: string;
  readonly acceptedMs: number;
  readonly acceptedAt: ids.Offset;
  readonly state: JobState;
  /** Set once the cancellation is in the log; tasks may still be stopping. */
  readonly cancelRequested: boolean;
  readonly endReason?: string;
}
