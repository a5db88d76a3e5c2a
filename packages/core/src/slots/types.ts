/**
 * Events that the slot scheduler of a service shard takes and decisions that it
 * returns. Times are monotonic and in ms, all on the clock of the owner.
 */
import type * as ids from '../types/ids.js';
import type * as reasons from '../types/reasons.js';
import type * as request from '../types/request.js';

/** Identifies an ask in one shard: the holder's instance and the number it chose. */
export type AskId = string;

/** How the holder used a ticket. */
export type TicketResult = 'ok' | 'error' | 'unreachable' | 'unused';

/** Settings of the service and its fair share. */
export interface SlotPolicy {
  /** Term of a ticket, counted by the owner from the grant. */
  readonly termMs: number;
  /** Longest expected wait before an ask is refused. */
  readonly maxWaitMs: number;
  /** Share of the slots that each urgency keeps under any flood, 0 to 1. */
  readonly floors: Readonly<Record<ids.Urgency, number>>;
  /** Weight of each team; teams that aren't listed weigh 1. */
  readonly weights: ReadonlyMap<ids.TeamName, number>;
  /** Processes that share the connections of a backend server. */
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

/** A process that wants to send one request. */
export interface SlotAsk {
  readonly id: AskId;
  readonly holder: ids.InstanceId;
  readonly availabilityZone: ids.AvailabilityZone;
  readonly urgency: ids.Urgency;
  readonly team: ids.TeamName;
  /** Longest time to wait, from the arrival of the ask. */
  readonly deadlineMs: number;
  /** Servers already tried for this request. */
  readonly avoid: readonly ids.VmId[];
}

/** Something that happened; applied in order. */
export type SlotEvent =
  | { readonly event: 'policy'; readonly policy: SlotPolicy }
  | { readonly event: 'server.listed'; readonly server: BackendServer }
  | { readonly event: 'server.removed'; readonly server: ids.VmId }
  /** The server's own count of busy slots, from a poll that began at `askedMs`. */
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
  /** The process is dead; its asks are dropped, its tickets count until their term ends. */
  | { readonly event: 'holder.gone'; readonly holder: ids.InstanceId }
  /** This process became the owner; processes that may hold tickets are listed. */
  | {
      readonly event: 'taken-over';
      readonly holders: readonly ids.InstanceId[];
      /** Longest term that a ticket of an earlier owner may have. */
      readonly longestTermMs: number;
    }
  | {
      readonly event: 'holder.reported';
      readonly holder: ids.InstanceId;
      readonly tickets: readonly request.HeldTicket[];
    };

/** Answer to one ask; each ask that isn't cancelled gets exactly one. */
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

/** How a scheduler is set up. */
export interface SlotSchedulerOptions {
  readonly shard: ids.ShardName;
  readonly epoch: ids.Epoch;
  readonly policy: SlotPolicy;
  /** Asks that may wait at once; further ones are refused. */
  readonly maxWaiting: number;
}

/** The ticket scheduler of one service shard. */
export interface SlotScheduler {
  /** Takes an event; decisions that follow from it come with the next tick. */
  apply(event: SlotEvent, nowMs: number): void;
  /** Ends terms and deadlines that have passed, and grants what fits. */
  tick(nowMs: number): readonly SlotDecision[];
  /** Time at which a tick is due without a further event; undefined for none. */
  readNextMs(): number | undefined;
  /** Servers whose status would tell how many slots are really busy. */
  listUncertain(): readonly ids.VmId[];
  /** Holders that haven't reported since the take-over. */
  listUnreported(): readonly ids.InstanceId[];
  /** Why an ask waits now; undefined when it doesn't wait. */
  explain(ask: AskId, nowMs: number): reasons.Reason | undefined;
  /** The backend servers as the tables have them. */
  listServers(): readonly ServerView[];
  /** Plain JSON-ready copy of the tables. */
  dump(): unknown;
}

/** Default floors, as shares of the slots. */
export const defaultFloors: Readonly<Record<ids.Urgency, number>> = {
  urgent: 0.5,
  normal: 0.2,
  deferrable: 0.1,
};

/** One backend server as the owner of its shard sees it. */
export interface ServerView {
  readonly id: ids.VmId;
  readonly leaving: boolean;
  /** Failed often enough to get only trial requests. */
  readonly failing: boolean;
  readonly slots: number;
  /** Slots in use, or counted as used. */
  readonly used: number;
}
