/** Answers to callers' requests, and the tickets that permit sending them to backend servers. */
import type * as ids from './ids.js';
import type * as reasons from './reasons.js';

/**
 * Result of a caller's request. `done`: a backend server answered; `not-run`: the request
 * was not executed; `unknown`: it may have been executed.
 */
export type AnswerKind = 'done' | 'not-run' | 'unknown';

/** Response header with the kind of answer. */
export const answerHeader = 'flamingoward-answer';

/** Response body of an answer other than `done`. */
export interface AnswerBody {
  readonly answer: 'not-run' | 'unknown';
  readonly reason: string;
  /** Id for `requests/<id>/explain`. */
  readonly requestId: string;
  readonly retryAfterMs?: number;
  /** Path at which the outcome can be requested later. */
  readonly ask?: string;
}

/** Permission for one process to send one request to one backend server, within a term. */
export interface Ticket {
  readonly id: string;
  readonly shard: ids.ShardName;
  readonly epoch: ids.Epoch;
  readonly backendServer: ids.VmId;
  readonly address: ids.Address;
  readonly holder: ids.InstanceId;
  /** Term in ms, counted by the holder from the time before it sent its ask. */
  readonly termMs: number;
}

/** A ticket as its holder reports it to a new owner. */
export interface HeldTicket extends Ticket {
  /** True once the holder has begun to write the request to the backend server. */
  readonly sent: boolean;
}

/** Answer to an ask for a ticket. */
export type TicketAnswer =
  | { readonly granted: true; readonly ticket: Ticket }
  | {
      readonly granted: false;
      readonly reason: reasons.Reason;
      readonly retryAfterMs: number;
    };
