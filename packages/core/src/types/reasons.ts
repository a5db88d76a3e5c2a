/** Reasons of scheduling decisions as data; `explain/` and `slots/reasons.ts` format them as sentences. */
import type * as ids from './ids.js';

/** Name of a placement filter, after the constraint that it checks; in the order in which filters run. */
export type FilterName =
  | 'size'
  | 'location'
  | 'quarantine'
  | 'leaving'
  | 'authority'
  | 'cores'
  | 'memory'
  | 'gpus'
  | 'racks';

/** Number of workers or backend servers that one filter excluded. */
export interface FilterCount {
  readonly filter: FilterName;
  readonly removed: number;
}

/** Why a task or request is waiting, or was refused, moved or stopped. */
export type Reason =
  | {
      readonly reason: 'no-candidate';
      readonly total: number;
      readonly counts: readonly FilterCount[];
    }
  | {
      readonly reason: 'never-fits';
      readonly total: number;
      readonly counts: readonly FilterCount[];
    }
  | {
      readonly reason: 'quota';
      readonly team: ids.TeamName;
      readonly resource: string;
      readonly used: number;
      readonly quota: number;
    }
  | { readonly reason: 'fair-share'; readonly ahead: number }
  /** The floors of `urgency` and of more urgent classes leave less of the fleet than is needed. */
  | {
      readonly reason: 'floor';
      readonly urgency: ids.Urgency;
      readonly resource: string;
      readonly needed: number;
      readonly left: number;
    }
  | {
      readonly reason: 'expected-wait';
      readonly expectedMs: number;
      readonly limitMs: number;
    }
  | {
      readonly reason: 'queue-full';
      readonly length: number;
      readonly limit: number;
    }
  | { readonly reason: 'no-owner'; readonly shard: ids.ShardName }
  | { readonly reason: 'log-away'; readonly sinceMs: number }
  | { readonly reason: 'preempted'; readonly by: ids.JobId }
  | { readonly reason: 'worker-lost'; readonly worker: ids.VmId }
  | {
      readonly reason: 'waiting-for-lease';
      readonly worker: ids.VmId;
      readonly untilMs: number;
    }
  | { readonly reason: 'reserved-for-gang'; readonly job: ids.JobId }
  | { readonly reason: 'unknown-service'; readonly service: ids.ServiceName }
  | { readonly reason: 'deadline'; readonly waitedMs: number }
  | { readonly reason: 'draining' }
  | { readonly reason: 'cancelled'; readonly by: string };
