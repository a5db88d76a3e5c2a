/** Messages on the links between processes, told apart by `kind`. */
import type * as cluster from './clusterMessages.js';
import type * as ids from './ids.js';
import type * as job from './job.js';
import type * as records from './records.js';
import type * as request from './request.js';
import type * as resources from './resources.js';

/** Version of the messages; processes of another version are refused. */
export const linkVersion = 1;

/** First message in both directions. */
export interface Hello {
  readonly kind: 'hello';
  readonly version: number;
  /** Random; the other side proves with it that it holds the key. */
  readonly nonce: string;
  readonly name: ids.ProcessName;
  readonly instance: ids.InstanceId;
  readonly region: ids.RegionName;
  readonly availabilityZone: ids.AvailabilityZone;
}

/** Second message in both directions: HMAC of the other side's nonce under the shared key. */
export interface Proof {
  readonly kind: 'proof';
  readonly proof: string;
}

/** Use of one team in one region. */
export interface TeamUse {
  readonly team: ids.TeamName;
  readonly used: resources.Resources;
}

/** A shard and the epoch under which its owner decides. */
export interface OwnedShard {
  readonly shard: ids.ShardName;
  readonly epoch: ids.Epoch;
}

/** State that a process sends to each peer once a period. */
export interface Heartbeat {
  readonly kind: 'heartbeat';
  readonly instance: ids.InstanceId;
  readonly state: 'starting' | 'ready' | 'draining';
  /** Offset of the release in force, -1 for none. */
  readonly releaseOffset: ids.Offset;
  readonly claimsOffset: ids.Offset;
  /** Shards that this process decides for, with the epoch of each. */
  readonly shards: readonly OwnedShard[];
  readonly leaving: readonly ids.VmId[];
  /** True while this process gets no answer from the log service. */
  readonly logAway: boolean;
  /** What teams use in the workers shards that this process owns. */
  readonly teamUse: readonly TeamUse[];
}

/** Messages that need no answer. */
export type Notice =
  | Heartbeat
  | cluster.ClusterNotice
  /** The heartbeat last sent is still true. */
  | { readonly kind: 'beat' }
  | { readonly kind: 'ping'; readonly seq: number }
  | { readonly kind: 'pong'; readonly seq: number }
  | {
      readonly kind: 'ticket.return';
      readonly ticket: string;
      readonly shard: ids.ShardName;
      /** `error`: something may have been sent; `unreachable`: no connection, nothing sent. */
      readonly result: 'ok' | 'error' | 'unreachable' | 'unused';
      readonly tookMs: number;
    }
  | {
      readonly kind: 'ticket.cancel';
      readonly ask: number;
      readonly shard: ids.ShardName;
    };

/** Questions; the link matches each with the answer that has the same number. */
export type Question =
  | cluster.ClusterQuestion
  | {
      readonly kind: 'ticket.ask';
      /** Number that the asking process chose; `ticket.cancel` names it. */
      readonly ask: number;
      readonly shard: ids.ShardName;
      readonly service: ids.ServiceName;
      readonly urgency: ids.Urgency;
      readonly team: ids.TeamName;
      /** Longest time to wait for a ticket, in ms from the arrival of the question. */
      readonly deadlineMs: number;
      readonly avoid: readonly ids.VmId[];
    }
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

/** One frame after `hello`. */
export type Frame =
  | { readonly type: 'notice'; readonly body: Notice }
  | { readonly type: 'question'; readonly id: number; readonly body: Question }
  | { readonly type: 'answer'; readonly re: number; readonly body: Answer };
