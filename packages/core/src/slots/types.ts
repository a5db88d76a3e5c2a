/**
 * Interface of the slot scheduler of one service shard: the events that it takes and
 * the decisions that it returns. An "ask" is a process's request for a ticket, which
 * permits it to use one slot of a backend server. All times are in ms on the monotonic
 * clock of the shard's owner.
 */
import type * as ids from '../types/ids.js';
import type * as reasons from '../types/reasons.js';
import type * as request from '../types/request.js';

/** Identifies an ask within a shard: the holder's instance and a number that the holder chose. */
export type AskId = string;

/**
 * How the holder used a ticket. `error`: the request may have been sent, so the server
 * may still process it; `unreachable`: no connection, nothing was sent; `unused`: no
 * attempt was made.
 */
export type TicketResult = 'ok' | 'error' | 'unreachable' | 'unused';

/** Limits of the service, and how its slots are shared. */
export interface SlotPolicy {
  /** Time from the grant after which the owner takes a ticket as expired. */
  readonly termMs: number;
  /** Longest expected wait; an ask that would wait longer is refused. */
  readonly maxWaitMs: number;
  /** Share of the slots (0 to 1) guaranteed to each urgency whatever the load of the others. */
  readonly floors: Readonly<Record<ids.Urgency, number>>;
  /** Fair-share weight of each team; 1 for teams that are not listed. */
  readonly weights: ReadonlyMap<ids.TeamName, number>;
  /** Number of processes between which the connections of a backend server are divided. */
  readonly maxProcesses: number;
}

/** A backend server as the platform lists it. */
export interface BackendServer {
  readonly id: ids.VmId;
  readonly address: ids.Address;
  readonly availabilityZone: ids.AvailabilityZone;
  readonly slots: number;
  readonly connections: number;
  readonly leaving: boolean;
}

/** A process's request for a ticket, for one request to a backend server. */
export interface SlotAsk {
  readonly id: AskId;
  readonly holder: ids.InstanceId;
  readonly availabilityZone: ids.AvailabilityZone;
  readonly urgency: ids.Urgency;
  readonly team: ids.TeamName;
  /** Longest wait for a ticket, counted from the arrival of the ask. */
  readonly deadlineMs: number;
  /** Servers already tried for this request; none of them is chosen. */
  readonly avoid: readonly ids.VmId[];
}

/** Input of the scheduler; events are applied in the order of the calls. */
export type SlotEvent =
  | { readonly event: 'policy'; readonly policy: SlotPolicy }
  | { readonly event: 'server.listed'; readonly server: BackendServer }
  | { readonly event: 'server.removed'; readonly server: ids.VmId }
  /** The number of busy slots that the server reported to a poll started at `askedMs`. */
  | {
      readonly event: 'server.status';
      readonly server: ids.VmId;
      readonly busy: number;
      readonly askedMs: number;
    }
  | { readonly event: 'ask'; readonly ask: SlotAsk }
  | { readonly event: 'ask.cancelled'; readonly ask: AskId }
  | {
      readonly event: 'ticket.returned';
      readonly ticket: string;
      readonly result: TicketResult;
      readonly tookMs: number;
    }
  /** The process has terminated: its asks are dropped, its tickets count until their term ends. */
  | { readonly event: 'holder.gone'; readonly holder: ids.InstanceId }
  /** The process doesn't answer and may still run: its asks are dropped, and its report after a take-over is still awaited. */
  | { readonly event: 'holder.silent'; readonly holder: ids.InstanceId }
  /** This process became the owner; `holders` are the processes that may hold tickets of earlier owners. */
  | {
      readonly event: 'taken-over';
      readonly holders: readonly ids.InstanceId[];
      /** Longest term that a ticket of an earlier owner may have. */
      readonly longestTermMs: number;
      /** Longest time from now on for which an earlier owner may still grant tickets. */
      readonly lastGrantMs: number;
    }
  /** A holder's answer to the new owner: the tickets that it holds. */
  | {
      readonly event: 'holder.reported';
      readonly holder: ids.InstanceId;
      readonly tickets: readonly request.HeldTicket[];
    };

/** Decision on one ask; each ask gets exactly one unless it is cancelled. */
export type SlotDecision =
  | {
      readonly decision: 'granted';
      readonly ask: AskId;
      readonly ticket: request.Ticket;
      readonly waitedMs: number;
    }
  | {
      readonly decision: 'refused';
      readonly ask: AskId;
      readonly reason: reasons.Reason;
      readonly retryAfterMs: number;
    };

/** Options of a slot scheduler. */
export interface SlotSchedulerOptions {
  readonly shard: ids.ShardName;
  readonly epoch: ids.Epoch;
  readonly policy: SlotPolicy;
  /** Most asks that wait at a time; further asks are refused. */
  readonly maxWaiting: number;
}

/** The ticket scheduler of one service shard. */
export interface SlotScheduler {
  /** Applies an event; the next tick returns the decisions that result from it. */
  apply(event: SlotEvent, nowMs: number): void;
  /** Expires tickets and asks that are due, grants free slots, and returns the decisions since the last tick. */
  tick(nowMs: number): readonly SlotDecision[];
  /** Returns when the next tick is due if no event comes before; undefined if none is. */
  getNextTickMs(): number | undefined;
  /** Lists servers with slots that count as used but may be free; their status would settle it. */
  listUncertainServers(): readonly ids.VmId[];
  /** Lists holders that have not reported their tickets since the take-over. */
  listUnreportedHolders(): readonly ids.InstanceId[];
  /** Explains why an ask is waiting; undefined if it is not waiting. */
  explain(ask: AskId, nowMs: number): reasons.Reason | undefined;
  /** Lists the backend servers with their use. */
  listServers(): readonly ServerView[];
  /** Returns a copy of the scheduler's state that can be written as JSON. */
  dump(): unknown;
}

/** Default floor of each urgency, as a share of the slots. */
export const defaultFloors: Readonly<Record<ids.Urgency, number>> = {
  urgent: 0.5,
  normal: 0.2,
  deferrable: 0.1,
};

/** Summary of a backend server for operators. */
export interface ServerView {
  readonly id: ids.VmId;
  readonly leaving: boolean;
  /** Gets only trial requests after consecutive failures. */
  readonly failing: boolean;
  readonly slots: number;
  /** Slots that count as used, including those that may be free. */
  readonly used: number;
}
