/** Rows of the tables that placement uses. */
import type * as ids from '../types/ids.js';
import type * as job from '../types/job.js';
import type * as resources from '../types/resources.js';
import type * as worker from '../types/worker.js';
import type * as buckets from './buckets.js';
import type * as vector from './vector.js';

/** Why an attempt is being stopped. */
export type StopCause =
  'cancelled' | 'preempted' | 'withdrawn' | 'gang' | 'overuse';

/** Placement properties shared by tasks; when one task of a shape fits nowhere, none does. */
export interface Shape {
  readonly key: string;
  readonly kind: job.JobKind;
  readonly size: resources.Resources;
  readonly availabilityZone: ids.AvailabilityZone | undefined;
  /** Number of tasks to place together: the size of a gang, otherwise 1. */
  readonly members: number;
  readonly maxRacks: number;
}

/** One attempt to run a task, from the start command until its end is confirmed. */
export interface Attempt {
  readonly id: ids.AttemptId;
  readonly jobId: ids.JobId;
  readonly index: number;
  readonly worker: WorkerRow;
  readonly size: resources.Resources;
  /** Capacity that it holds: the declared size, or the reported use where that is higher. */
  held: resources.Resources;
  /** Use that its worker reported last. */
  used: resources.Resources;
  state: 'starting' | 'running' | 'stopping';
  why: StopCause | undefined;
  /** When it was started, or adopted from an earlier owner. */
  sinceMs: number;
  /** Expected end; infinite for services, undeclared run times and adopted attempts. */
  endsMs: number;
  urgency: ids.Urgency;
  team: ids.TeamName;
  /** True when it may be checkpointed and stopped for more urgent work. */
  reclaimable: boolean;
  /** True when it runs on a quarantined worker as a trial. */
  readonly trial: boolean;
  /** True once its worker has reported its use. */
  reported: boolean;
}

/** Capacity on a worker that is reserved for one job. */
export interface Claim {
  readonly jobId: ids.JobId;
  readonly urgency: ids.Urgency;
  readonly amount: resources.Resources;
  /** When the job is expected to use it; tasks that end before may use it until then. */
  beginsMs: number;
}

/** A worker and the attempts on it. */
export interface WorkerRow {
  readonly id: ids.VmId;
  record: worker.VmRecord;
  size: resources.Resources;
  usable: boolean;
  quarantined: boolean;
  readonly attempts: Map<ids.AttemptId, Attempt>;
  /** Size minus the capacity held; negative when tasks use more than they declared. */
  readonly free: vector.Amount;
  /** Free capacity minus all claims; the key of the capacity index. */
  readonly unclaimed: vector.Amount;
  readonly claims: Map<ids.JobId, Claim>;
  readonly indexPosition: buckets.IndexPosition;
}
