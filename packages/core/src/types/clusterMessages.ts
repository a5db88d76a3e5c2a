/** Messages between the owner of a cluster and its other nodes. */
import type * as workload from '../workloads/types.js';
import type * as ids from './ids.js';

/** State that the owner sends to every node a few times a second. */
export interface ClusterBeat {
  readonly kind: 'cluster.beat';
  readonly fence: number;
  /** Time since the store confirmed the claim, in ms. */
  readonly confirmedAgeMs: number;
  /** Jobs per queue of which no task has started. */
  readonly waiting: readonly (readonly [workload.QueueName, number])[];
  /** Connected instances in the order in which they should claim after the owner. */
  readonly successors: readonly ids.InstanceId[];
}

/** The owner gives up its claim; a successor may claim at once. */
export interface ClusterReleased {
  readonly kind: 'cluster.released';
  readonly fence: number;
  /** It leaves starts without a record. */
  readonly unrecorded: boolean;
}

/** What a node tells of itself when a link opens. */
export interface ClusterMember {
  readonly kind: 'cluster.member';
  /** Processor time of its VM, in cores. */
  readonly cores: number;
}

/** Notices of a cluster. */
export type ClusterNotice = ClusterBeat | ClusterReleased | ClusterMember;

/** Questions of a cluster. */
export type ClusterQuestion =
  /** To the owner: the state of a job. */
  | { readonly kind: 'cluster.job'; readonly job: ids.JobId }
  /** From a node that the store doesn't answer: accept a job, or cancel one. */
  | {
      readonly kind: 'cluster.write';
      readonly write:
        { readonly accept: workload.Job } | { readonly cancel: ids.JobId };
      readonly timeoutMs: number;
    }
  /** From an owner that the store doesn't answer: does it answer you? */
  | { readonly kind: 'cluster.store' }
  /** From the owner: ask the advice service, which serves one call of each node at a time. */
  | {
      readonly kind: 'cluster.advise';
      readonly step: workload.StepKey;
      readonly vms: readonly ids.VmId[];
      readonly timeoutMs: number;
    };

/** Answers of a cluster. */
export type ClusterAnswer =
  | {
      readonly kind: 'cluster.write.answer';
      /** `declined`: no VM could ever run the job; nothing was written. */
      readonly outcome: 'durable' | 'declined' | 'refused' | 'unknown';
      readonly why: string;
    }
  | { readonly kind: 'cluster.store.answer'; readonly reached: boolean }
  | {
      readonly kind: 'cluster.job.answer';
      /** Undefined when the asked node isn't the owner or can't tell now. */
      readonly state: workload.JobState | 'unknown' | undefined;
    }
  | {
      readonly kind: 'cluster.advise.answer';
      readonly good: readonly workload.Ticket[] | undefined;
    };
