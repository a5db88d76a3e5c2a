/** Jobs, their tasks, and the states of both. */
import type * as ids from './ids.js';
import type * as reasons from './reasons.js';
import type * as resources from './resources.js';

/**
 * Kind of a job. `batch`: independent tasks; `gang`: members that run at the same time;
 * `service`: replicas without a declared run time.
 */
export type JobKind = 'batch' | 'gang' | 'service';

/** A job as a caller submits it. */
export interface JobSpec {
  readonly kind: JobKind;
  readonly name: string;
  readonly team: ids.TeamName;
  /** Name of a class of the release in force. */
  readonly jobClass: string;
  /** Number of tasks (batch), members (gang) or replicas (service). */
  readonly count: number;
  /** Resources that each task needs, as declared by the caller. */
  readonly size: resources.Resources;
  /** Declared run time of a task in ms; 0 for services. */
  readonly declaredMs: number;
  /** Region to run in; if absent, the process that accepts the job chooses one. */
  readonly region?: ids.RegionName;
  readonly availabilityZone?: ids.AvailabilityZone;
  /** Gangs: largest number of racks that the members may span. */
  readonly maxRacks?: number;
  /** Command for the worker; the scheduler does not interpret it. */
  readonly work: Readonly<Record<string, string | number>>;
}

/** How an attempt or its task ended. */
export type TaskResult = 'done' | 'failed' | 'stopped' | 'lost' | 'unknown';

/** State of one task. */
export type TaskState =
  | {
      readonly state: 'waiting';
      readonly sinceMs: number;
      readonly reason?: reasons.Reason;
    }
  /** An earlier owner may have started it; the current one hasn't found it or ruled it out yet. */
  | {
      readonly state: 'held';
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

/** State of a job according to the `jobs` stream. */
export type JobState = 'accepted' | 'done' | 'failed' | 'cancelled' | 'unknown';

/** A job, folded from the records of the `jobs` stream. */
export interface Job {
  readonly id: ids.JobId;
  readonly spec: JobSpec;
  readonly urgency: ids.Urgency;
  readonly shard: ids.ShardName;
  /** Release in force when the job was accepted. */
  readonly release: string;
  readonly acceptedMs: number;
  /** Offset of the `accepted` record. */
  readonly acceptedAt: ids.Offset;
  readonly state: JobState;
  /** True once the cancellation is in the log; tasks may still be running or stopping. */
  readonly cancelRequested: boolean;
  readonly endReason?: string;
}
