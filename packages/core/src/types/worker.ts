/** Workers as the platform lists and reports them; times are on the worker's own clock. */
import type * as ids from './ids.js';
import type * as resources from './resources.js';

/** State of a VM in the platform's list. */
export type VmState = 'live' | 'leaving';

/** One VM of the platform's list. */
export interface VmRecord {
  readonly id: ids.VmId;
  readonly role: 'entry' | 'worker' | 'backend';
  /** Backend group, for role `backend`. */
  readonly backend?: string;
  readonly address: ids.Address;
  readonly availabilityZone: ids.AvailabilityZone;
  readonly region: ids.RegionName;
  readonly rack: ids.RackName;
  readonly state: VmState;
  /** What the VM holds, for role `worker`. */
  readonly size?: resources.Resources;
}

/** The platform's list of VMs. */
export interface VmList {
  readonly asOfMs: number;
  readonly vms: readonly VmRecord[];
}

/** Who calls a worker, and with which authority. */
export interface WorkerSession {
  readonly instance: ids.InstanceId;
  readonly epoch: ids.Epoch;
}

/** A session that contacted the worker, as the worker reports it. */
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
  /** Reported use; lags by up to 2 s. */
  readonly used: resources.Resources;
  readonly leaseUntilMs: number;
  readonly startedMs: number;
  /** How it ended; present when `state` is `ended`. */
  readonly exit?: 'done' | 'failed' | 'stopped' | 'lapsed';
  /** Share of the work that the last checkpoint keeps, 0 to 1. */
  readonly checkpoint?: number;
}

/** Body of `POST /sync`. */
export interface SyncRequest {
  readonly session: WorkerSession;
  /** Renews the lease of every running attempt to this worker time. */
  readonly renewUntilMs?: number;
  /** Answer as soon as the worker's version differs from this one. */
  readonly sinceVersion?: number;
  /** Longest time to wait for a change, in ms. */
  readonly waitMs: number;
  /** Ended attempts whose end is durable. */
  readonly forget: readonly ids.AttemptId[];
}

/** Answer to `POST /sync`. */
export interface SyncReport {
  /** One run of the worker; a restarted worker has a new one and no attempts. */
  readonly boot: string;
  readonly clockMs: number;
  readonly version: number;
  readonly sessions: readonly SeenSession[];
  readonly tasks: readonly AttemptReport[];
}

/** Body of `POST /tasks`. */
export interface StartRequest {
  readonly session: WorkerSession;
  readonly boot: string;
  /** Latest worker time at which the lease may begin. */
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
