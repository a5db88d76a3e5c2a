/**
 * VMs as the platform lists them, and the interface of workers: sync reports and task
 * starts. Lease and session times are on the worker's own clock.
 */
import type * as ids from './ids.js';
import type * as resources from './resources.js';

/** State of a VM in the platform's list. */
export type VmState = 'live' | 'leaving';

/** One VM of the platform's list. */
export interface VmRecord {
  readonly id: ids.VmId;
  readonly role: 'entry' | 'worker' | 'backend';
  /** Name of the backend that the VM belongs to; for role `backend`. */
  readonly backend?: string;
  readonly address: ids.Address;
  readonly availabilityZone: ids.AvailabilityZone;
  readonly region: ids.RegionName;
  readonly rack: ids.RackName;
  readonly state: VmState;
  /** Capacity of the VM; for role `worker`. */
  readonly size?: resources.Resources;
}

/** The platform's list of VMs, as of a time. */
export interface VmList {
  readonly asOfMs: number;
  readonly vms: readonly VmRecord[];
}

/** The process that calls a worker, and the epoch under which it acts. */
export interface WorkerSession {
  readonly instance: ids.InstanceId;
  readonly epoch: ids.Epoch;
}

/** A session that has contacted the worker, as the worker reports it. */
export interface SeenSession extends WorkerSession {
  readonly lastSeenMs: number;
}

/** A task attempt as the worker reports it. */
export interface AttemptReport {
  readonly attemptId: ids.AttemptId;
  readonly jobId: ids.JobId;
  readonly index: number;
  readonly state: 'running' | 'stopping' | 'ended';
  readonly size: resources.Resources;
  /** Resources in use; the report lags by up to 2 s. */
  readonly used: resources.Resources;
  readonly leaseUntilMs: number;
  readonly startedMs: number;
  /** How the attempt ended; present if `state` is `ended`. */
  readonly exit?: 'done' | 'failed' | 'stopped' | 'lapsed';
  /** Share of the work (0 to 1) that the last checkpoint saved. */
  readonly checkpoint?: number;
}

/** Body of `POST /sync`. */
export interface SyncRequest {
  readonly session: WorkerSession;
  /** Time on the worker's clock to which the leases of all running attempts are extended. */
  readonly renewUntilMs?: number;
  /** Long poll: the worker answers as soon as its state has another version than this. */
  readonly sinceVersion?: number;
  /** Longest time that the worker waits for a change, in ms. */
  readonly waitMs: number;
  /** Ended attempts that the worker may forget, because their end is recorded in the log. */
  readonly forget: readonly ids.AttemptId[];
}

/** Answer to `POST /sync`. */
export interface SyncReport {
  /** Incarnation of the worker; a restarted worker has a new one and no attempts. */
  readonly boot: string;
  readonly clockMs: number;
  /** Version of the worker's state; `sinceVersion` of a later request refers to it. */
  readonly version: number;
  readonly sessions: readonly SeenSession[];
  readonly tasks: readonly AttemptReport[];
}

/** Body of `POST /tasks`. */
export interface StartRequest {
  readonly session: WorkerSession;
  /** Incarnation of the worker for which the start is meant; another one refuses it. */
  readonly boot: string;
  /** Latest time on the worker's clock at which the lease may begin. */
  readonly startByMs: number;
  readonly leaseUntilMs: number;
  readonly attemptId: ids.AttemptId;
  readonly jobId: ids.JobId;
  readonly index: number;
  readonly size: resources.Resources;
  readonly work: Readonly<Record<string, string | number>>;
}

/** Answer to `POST /tasks`. */
export type StartAnswer =
  | { readonly started: true; readonly clockMs: number }
  | { readonly started: false; readonly reason: 'lapsed' | 'known' | 'boot' };
