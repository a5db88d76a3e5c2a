/**
 * Messages between the nodes of a cluster. One node is the owner: it holds the claim and
 * starts the jobs; the others forward to it or act for it.
 */
import type * as workload from '../workloads/types.js';
import type * as ids from './ids.js';

/** Heartbeat that the owner sends to every node several times a second. */
export interface ClusterHeartbeat {
  readonly kind: 'cluster.beat';
  /** Fence of the owner's claim; a higher fence supersedes a lower one. */
  readonly fence: number;
  /** Time since the store last confirmed the claim, in ms. */
  readonly confirmedAgeMs: number;
  /** Offset of the newest renewal that the store has confirmed; absent before the first one. */
  readonly confirmedOffset?: ids.Offset;
  /** Connected instances in the order in which they should claim if the owner fails. */
  readonly successors: readonly ids.InstanceId[];
}

/** The owner gives up its claim; a successor may claim at once. */
export interface ClusterReleased {
  readonly kind: 'cluster.released';
  readonly fence: number;
  /** True if the owner leaves task starts that the store has no record of. */
  readonly unrecorded: boolean;
}

/** What a node reports about itself when a link opens. */
export interface ClusterMember {
  readonly kind: 'cluster.member';
  /** CPU capacity of its VM, in cores. */
  readonly cores: number;
  /** Fence of the owner that it follows, so that it sends no orders under a lower one; absent while it is the owner or knows none. */
  readonly follows?: number;
}

/** Counts of an owner's tables. */
export interface OwnerCounts {
  readonly fence: number;
  /**
   * Age of the tables, in ms: they contain all jobs that were accepted before, and no
   * later owner had claimed by then.
   */
  readonly ageMs: number;
  /** Number of jobs per queue of which no task has started; queues without such jobs may be absent. */
  readonly waiting: readonly (readonly [workload.QueueName, number])[];
  /** Queues with jobs of which the owner can't know yet whether a task has started. */
  readonly unresolved: readonly workload.QueueName[];
}

/**
 * What a request may see of jobs. Absent where requests need no key, and in messages of
 * earlier builds; then it may see every job.
 */
export interface JobCaller {
  /** Workspace of its key; absent without a valid key. */
  readonly workspace?: workload.WorkspaceName;
  /** Fingerprint of its key; absent without a valid key. */
  readonly submitter?: string;
  /** Queue of its route if that is public. */
  readonly publicQueue?: workload.QueueName;
}

/** Messages of a cluster that need no answer. */
export type ClusterNotice = ClusterHeartbeat | ClusterReleased | ClusterMember;

/** Requests between the nodes of a cluster. */
export type ClusterQuestion =
  /** To the owner: the state of a job. */
  | {
      readonly kind: 'cluster.job';
      readonly job: ids.JobId;
      readonly caller?: JobCaller;
    }
  /** To the owner: the counts of waiting jobs. */
  | { readonly kind: 'cluster.waiting' }
  /** From a node that can't reach the store: accept or cancel a job on its behalf. */
  | {
      readonly kind: 'cluster.write';
      readonly write:
        | { readonly accept: workload.Job; readonly caller?: JobCaller }
        | { readonly cancel: ids.JobId; readonly caller?: JobCaller };
      readonly timeoutMs: number;
    }
  /** From an owner that can't reach the store: asks whether the receiving node can. */
  | { readonly kind: 'cluster.store' }
  /**
   * From the owner: call the advice service on its behalf. The service handles one call
   * per node at a time, so calls through several nodes run in parallel.
   */
  | {
      readonly kind: 'cluster.advise';
      readonly step: workload.StepKey;
      readonly vms: readonly ids.VmId[];
      readonly timeoutMs: number;
    };

/**
 * What an owner tells of a job: its state, `unknown` if there is no such job, `unresolved`
 * if it can't know yet whether a task has started. An owner that knows nothing of the job
 * at present, and a node that isn't the owner, tells none of these.
 */
export type JobAnswer = workload.JobState | 'unknown' | 'unresolved';

/** Answers to the requests of a cluster. */
export type ClusterAnswer =
  | {
      readonly kind: 'cluster.write.answer';
      /**
       * `declined`: no VM could ever run the job, so nothing was written; `in-use`: another
       * workspace has a job with this id; `unknown`: the write may or may not have been applied.
       */
      readonly outcome:
        'durable' | 'declined' | 'in-use' | 'refused' | 'unknown';
      readonly why: string;
    }
  | { readonly kind: 'cluster.store.answer'; readonly reached: boolean }
  | {
      readonly kind: 'cluster.job.answer';
      readonly state: JobAnswer | undefined;
      /** The owner has applied `caller` of the question; absent in answers of earlier builds, which tell the state to any caller. */
      readonly checked?: true;
    }
  | {
      readonly kind: 'cluster.waiting.answer';
      /** Undefined if the node is not the owner or can't tell how old its tables are. */
      readonly counts: OwnerCounts | undefined;
    }
  | {
      readonly kind: 'cluster.advise.answer';
      readonly good: readonly workload.Ticket[] | undefined;
    };
