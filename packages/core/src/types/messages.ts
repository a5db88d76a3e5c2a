/** Messages on the links between processes; `kind` discriminates them. */
import type * as cluster from './clusterMessages.js';
import type * as ids from './ids.js';
import type * as job from './job.js';
import type * as records from './records.js';
import type * as request from './request.js';
import type * as resources from './resources.js';

/** Protocol version of links; links to processes of another version are refused. */
export const linkVersion = 1;

/** First message of a link, sent by both sides. */
export interface Hello {
  readonly kind: 'hello';
  readonly version: number;
  /** Random challenge; the other side signs it to prove that it has the shared key. */
  readonly nonce: string;
  readonly name: ids.ProcessName;
  readonly instance: ids.InstanceId;
  readonly region: ids.RegionName;
  readonly availabilityZone: ids.AvailabilityZone;
}

/** Second message of a link, sent by both sides: HMAC of the other side's nonce with the shared key. */
export interface Proof {
  readonly kind: 'proof';
  readonly proof: string;
}

/** Resources that a team uses in one region. */
export interface TeamUse {
  readonly team: ids.TeamName;
  readonly used: resources.Resources;
}

/** A shard and the epoch under which its owner acts. */
export interface OwnedShard {
  readonly shard: ids.ShardName;
  readonly epoch: ids.Epoch;
}

/** State that a process sends to its peers periodically. */
export interface Heartbeat {
  readonly kind: 'heartbeat';
  readonly instance: ids.InstanceId;
  readonly state: 'starting' | 'ready' | 'draining';
  /** Offset of the release in force; -1 if there is none. */
  readonly releaseOffset: ids.Offset;
  /** Not used: always -1. */
  readonly claimsOffset: ids.Offset;
  /** Shards that this process owns. */
  readonly shards: readonly OwnedShard[];
  /** VMs that this process knows to be leaving. */
  readonly leaving: readonly ids.VmId[];
  /** True while the log service is unreachable for this process. */
  readonly logAway: boolean;
  /** Resources that teams use in the `workers` shards that this process owns. */
  readonly teamUse: readonly TeamUse[];
}

/** Messages that need no answer. */
export type Notice =
  | Heartbeat
  | cluster.ClusterNotice
  /** Confirms that the state in the last heartbeat is unchanged. */
  | { readonly kind: 'beat' }
  | { readonly kind: 'ping'; readonly seq: number }
  | { readonly kind: 'pong'; readonly seq: number }
  | {
      readonly kind: 'ticket.return';
      readonly ticket: string;
      readonly shard: ids.ShardName;
      /**
       * `error`: the request may have been sent; `unreachable`: no connection, nothing was
       * sent; `unused`: no attempt was made.
       */
      readonly result: 'ok' | 'error' | 'unreachable' | 'unused';
      readonly tookMs: number;
    }
  | {
      readonly kind: 'ticket.cancel';
      readonly ask: number;
      readonly shard: ids.ShardName;
    };

/** Messages that need an answer; the link matches question and answer by number. */
export type Question =
  | cluster.ClusterQuestion
  | {
      readonly kind: 'ticket.ask';
      /** Number of the ask, chosen by the asking process; `ticket.cancel` refers to it. */
      readonly ask: number;
      readonly shard: ids.ShardName;
      readonly service: ids.ServiceName;
      readonly urgency: ids.Urgency;
      readonly team: ids.TeamName;
      /** Longest wait for a ticket in ms, counted from the arrival of the question. */
      readonly deadlineMs: number;
      /** Backend servers that must not be chosen. */
      readonly avoid: readonly ids.VmId[];
    }
  /** From a new owner: asks which tickets of the shard the process holds. */
  | {
      readonly kind: 'tickets.held';
      readonly shard: ids.ShardName;
      readonly epoch: ids.Epoch;
    }
  | { readonly kind: 'job.detail'; readonly job: ids.JobId }
  | { readonly kind: 'job.explain'; readonly job: ids.JobId }
  | {
      readonly kind: 'stream.read';
      readonly stream: string;
      readonly from: ids.Offset;
      readonly max: number;
      readonly waitMs: number;
    }
  | { readonly kind: 'release.state' };

/** Answers to questions. */
export type Answer =
  | cluster.ClusterAnswer
  | { readonly kind: 'ticket.answer'; readonly answer: request.TicketAnswer }
  | {
      readonly kind: 'tickets.held.answer';
      readonly tickets: readonly request.HeldTicket[];
    }
  | {
      readonly kind: 'job.detail.answer';
      readonly found: boolean;
      readonly tasks: readonly job.TaskState[];
    }
  | { readonly kind: 'job.explain.answer'; readonly lines: readonly string[] }
  | {
      readonly kind: 'stream.page';
      readonly page: records.RecordPage<unknown>;
    }
  | {
      readonly kind: 'release.state.answer';
      readonly ready: boolean;
      readonly next: ids.Offset;
      readonly records: readonly records.LogRecord<unknown>[];
    }
  | {
      readonly kind: 'refused';
      readonly code: string;
      readonly message: string;
    };

/** A frame on a link after `hello`; `re` is the number of the answered question. */
export type Frame =
  | { readonly type: 'notice'; readonly body: Notice }
  | { readonly type: 'question'; readonly id: number; readonly body: Question }
  | { readonly type: 'answer'; readonly re: number; readonly body: Answer };
