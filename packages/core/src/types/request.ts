/** Requests of callers and the three kinds of answer. */
import type * as ids from './ids.js';
import type * as reasons from './reasons.js';

/** What the answer says about the request. */
export type AnswerKind = 'done' | 'not-run' | 'unknown';

/** Header that carries the kind of answer. */
export const answerHeader = 'flamingoward-answer';

/** Body of an answer that isn't `done`. */
export interface AnswerBody {
  readonly answer: 'not-run' | 'unknown';
  readonly reason: string;
  /** Id to ask about with `requests/<id>/explain`. */
  readonly requestId: string;
  readonly retryAfterMs?: number;
  /** Path to ask for the outcome later. */
  readonly ask?: string;
}

/** Permission to use one slot of one backend server for one request. */
export interface Ticket {
  readonly id: string;
  readonly shard: ids.ShardName;
  readonly epoch: ids.Epoch;
  readonly backendServer: ids.VmId;
  readonly address: ids.Address;
  readonly holder: ids.InstanceId;
  /** Term in ms, counted by the holder from before it asked. */
  readonly termMs: number;
}

/** A ticket as its holder reports it to a new owner. */
export interface HeldTicket extends Ticket {
  /** True once the holder began to write the request to the backend server. */
  readonly sent: boolean;
}

/** Answer to a ticket request. */
export type TicketAnswer =
  | { readonly granted: true; readonly ticket: Ticket }
  | {
      readonly granted: false;
      readonly reason: reasons.Reason;
      readonly retryAfterMs: number;
    };
