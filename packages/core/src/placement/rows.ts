/** Rows of the tables that placement works on. */
import type * as ids from '../types/ids.js';
import type * as job from '../types/job.js';
import type * as resources from '../types/resources.js';
import type * as worker from '../types/worker.js';
import type * as buckets from './buckets.js';
import type * as vector from './vector.js';

/** Why an attempt is being stopped. */
export type StopCause =
  'cancelled' | 'preempted' | 'withdrawn' | 'gang' | 'overuse';

/** What tasks have in common that are placed alike; tasks of one shape fail alike. */
export interface Shape {
  readonly key: string;
  readonly kind: job.JobKind;
  readonly size: resources.Resources;
  readonly availabilityZone: ids.AvailabilityZone | undefined;
  /** Members to place in one step; 1 unless it is a gang. */
  readonly members: number;
  readonly maxRacks: number;
}

/** One try at running a task, from the start command until its end is known. */
export interface Attempt {
  readonly id: ids.AttemptId;
  readonly jobId: ids.JobId;
  readonly index: number;
  readonly worker: WorkerRow;
  readonly size: resources.Resources;
  /** Capacity that it takes: what it declared, or more when it reported more. */
  held: resources.Resources;
  used: resources.Resources;
  state: 'starting' | 'running' | 'stopping';
  why: StopCause | undefined;
  sinceMs: number;
  /** Expected end; infinite for services and while the end isn't known. */
  endsMs: number;
  urgency: ids.Urgency;
  team: ids.TeamName;
  /** False when the capacity can't be taken back for more urgent work. */
  reclaimable: boolean;
  /** True when it was placed on a quarantined worker as a trial. */
  readonly trial: boolean;
  /** True when its use was reported since it started. */
  reported: boolean;
}

/** Capacity on a worker that waits for one job. */
export interface Claim {
  readonly jobId: ids.JobId;
  readonly urgency: ids.Urgency;
  readonly amount: resources.Resources;
  /** When the job is expected to use it; shorter tasks may run before. */
  beginsMs: number;
}

/** A worker with what runs on it. */
export interface WorkerRow {
  readonly id: ids.VmId;
  record: worker.VmRecord;
  size: resources.Resources;
  usable: boolean;
  quarantined: boolean;
  readonly attempts: Map<ids.AttemptId, Attempt>;
  /** Size less what the attempts hold; negative when tasks outgrew their declarations. */
  readonly free: vector.Amount;
  /** Free capacity less claims; what the index orders by. */
  readonly open: vector.Amount;
  readonly claims: Map<ids.JobId, Claim>;
  readonly place: buckets.IndexPlace;
}
