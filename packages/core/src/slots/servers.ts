/**
 * Backend servers and the slots in use on them. A slot counts as used until its ticket
 * is returned or its term ends. After a take-over, slots for which an earlier owner may
 * have granted tickets also count as used until holders and servers have reported, so
 * that a server never gets more requests than it has slots.
 */
import type * as ids from '../types/ids.js';
import type * as reasons from '../types/reasons.js';
import type * as types from './types.js';

/** Consecutive failures after which a server gets only trial requests, one at a time. */
const FAILING_AFTER = 2;
/** Backoff before the first trial request; doubles with each failed trial. */
const TRIAL_FIRST_MS = 500;
/** Longest backoff between trial requests. */
const TRIAL_MAX_MS = 8_000;
/**
 * Load (0 to 1) added to servers of other availability zones when servers are compared;
 * 0.25 is two of eight slots. Crossing zones adds 1 ms of latency, queueing on a busy
 * server more.
 */
const ZONE_PENALTY = 0.25;

/**
 * Longest time that the return of a ticket takes to arrive: after it, a request that
 * ended before a status was taken has been returned.
 */
const STATUS_SETTLE_MS = 300;

/** A ticket whose slot counts as used, granted here or reported by its holder after a take-over. */
export interface TicketRow {
  readonly id: string;
  readonly ask: types.AskId | undefined;
  readonly holder: ids.InstanceId;
  readonly server: ServerRow;
  readonly urgency: ids.Urgency | undefined;
  readonly team: ids.TeamName | undefined;
  readonly startedMs: number;
  readonly endsMs: number;
  /** The holder reported that it has begun to write the request to the server. */
  readonly reportedSent: boolean;
  /** The slot time was added to the team's use; true for reported tickets, which have no team. */
  charged: boolean;
  /** When the holder gave up on a request that the server may still process; undefined if it did not. */
  abandonedMs: number | undefined;
}

/** A status report of a server that has not been applied in full. */
export interface PendingStatus {
  readonly busy: number;
  readonly askedMs: number;
  /** Tickets that the report may count as busy: their holders reported them as sent. */
  readonly reportedSent: readonly TicketRow[];
  /** Time from which returns of requests that ended before the report have arrived. */
  readonly settledMs: number;
}

/** One backend server and its use. */
export interface ServerRow {
  info: types.BackendServer;
  /** In the platform's list; a removed server is kept while slots count as used. */
  listed: boolean;
  readonly tickets: Map<string, TicketRow>;
  readonly ticketsPerHolder: Map<ids.InstanceId, number>;
  /** Slots that may be used by tickets of an earlier owner which no holder has reported. */
  unknownSlots: number;
  /** Last status, until the returns that it depends on have arrived. */
  status: PendingStatus | undefined;
  /** Consecutive failures. */
  failures: number;
  /** Time from which a failing server may get a trial request. */
  trialAtMs: number;
  /** Id of the ticket of the trial request in flight. */
  trialTicket: string | undefined;
  /** Number of the last grant on this server; 0 for none. */
  lastGrantNumber: number;
}

/** Creates the row of a server without tickets. */
export function createServerRow(info: types.BackendServer): ServerRow {
  return {
    info,
    listed: true,
    tickets: new Map(),
    ticketsPerHolder: new Map(),
    unknownSlots: 0,
    status: undefined,
    failures: 0,
    trialAtMs: 0,
    trialTicket: undefined,
    lastGrantNumber: 0,
  };
}

/** Adds a ticket to its server. */
export function addTicket(row: ServerRow, ticket: TicketRow): void {
  row.tickets.set(ticket.id, ticket);
  row.ticketsPerHolder.set(
    ticket.holder,
    (row.ticketsPerHolder.get(ticket.holder) ?? 0) + 1,
  );
}

/** Removes a ticket from its server, which frees the slot. */
export function removeTicket(row: ServerRow, ticket: TicketRow): void {
  if (!row.tickets.delete(ticket.id)) return;
  const left = (row.ticketsPerHolder.get(ticket.holder) ?? 0) - 1;
  if (left > 0) row.ticketsPerHolder.set(ticket.holder, left);
  else row.ticketsPerHolder.delete(ticket.holder);
  endTrial(row, ticket);
}

/** Makes a ticket the trial request of a failing server. */
export function startTrial(row: ServerRow, ticket: TicketRow): void {
  row.trialTicket = ticket.id;
}

/** Ends the trial request if it uses this ticket. */
export function endTrial(row: ServerRow, ticket: TicketRow): void {
  if (row.trialTicket === ticket.id) row.trialTicket = undefined;
}

/** Counts the slots that count as used. */
export function countUsed(row: ServerRow): number {
  return row.tickets.size + row.unknownSlots;
}

/** Returns whether the server gets only trial requests. */
export function isFailing(row: ServerRow): boolean {
  return row.failures >= FAILING_AFTER;
}

/** Returns whether the server is listed and not leaving; it may be busy or failing. */
export function isUsable(row: ServerRow): boolean {
  return row.listed && !row.info.leaving;
}

/** Updates the failure count and the backoff with the result of a request. */
export function recordResult(
  row: ServerRow,
  result: types.TicketResult,
  nowMs: number,
): void {
  if (result === 'unused') return;
  if (result === 'ok') {
    row.failures = 0;
    return;
  }
  row.failures += 1;
  const doublings = Math.min(10, Math.max(0, row.failures - FAILING_AFTER));
  row.trialAtMs =
    nowMs + Math.min(TRIAL_MAX_MS, TRIAL_FIRST_MS * 2 ** doublings);
}

/**
 * Stores a status report until it can be applied in full. The report counts a request
 * that a holder reported as sent only if the server was still processing it. Otherwise
 * its return may be in transit, so the report is kept until that return has arrived. A
 * report that arrives meanwhile is ignored.
 */
export function recordStatus(
  row: ServerRow,
  busy: number,
  askedMs: number,
  nowMs: number,
): void {
  if (row.status !== undefined) return;
  const reportedSent = [...row.tickets.values()].filter(
    (one) => one.reportedSent,
  );
  const settledMs =
    reportedSent.length === 0 ? nowMs : nowMs + STATUS_SETTLE_MS;
  row.status = { busy, askedMs, reportedSent, settledMs };
}

/**
 * Applies the last status report, which bounds the number of uncertain slots: at once by
 * the number of busy slots, and once the returns have arrived by the busy slots that no
 * reported request still running accounts for. Tickets that were not reported as sent
 * are not subtracted, because the server may not count them as busy. Unknown slots are
 * bounded only when all holders have reported. Returns the abandoned tickets whose
 * requests have ended on the server.
 */
export function applyStatus(
  row: ServerRow,
  nowMs: number,
  allReported: boolean,
): readonly TicketRow[] {
  const { status } = row;
  if (status === undefined) return [];
  const isSettled = nowMs >= status.settledMs;
  if (isSettled) row.status = undefined;
  const runningReported = isSettled
    ? countRunning(row, status.reportedSent)
    : 0;
  const allowed = Math.max(0, status.busy - runningReported);
  if (allReported) row.unknownSlots = Math.min(row.unknownSlots, allowed);
  // The report doesn't identify the running requests, so unknown slots and abandoned
  // tickets are each bounded separately. Of the abandoned tickets, those whose terms end
  // last are kept.
  return [...row.tickets.values()]
    .filter(
      (ticket) =>
        ticket.abandonedMs !== undefined && ticket.abandonedMs < status.askedMs,
    )
    .sort((a, b) => b.endsMs - a.endsMs)
    .slice(allowed);
}

function countRunning(
  row: ServerRow,
  reportedSent: readonly TicketRow[],
): number {
  return reportedSent.filter(
    (ticket) =>
      row.tickets.get(ticket.id) === ticket && ticket.abandonedMs === undefined,
  ).length;
}

/** Returns whether the server can take one more ticket now, apart from limits per process. */
export function hasRoom(row: ServerRow, nowMs: number): boolean {
  if (!isUsable(row) || countUsed(row) >= row.info.slots) return false;
  return (
    !isFailing(row) || (row.trialTicket === undefined && nowMs >= row.trialAtMs)
  );
}

/** Returns when a failing server may get its next trial request; undefined if it can't get one. */
export function getTrialDueMs(row: ServerRow): number | undefined {
  if (!isUsable(row) || !isFailing(row)) return undefined;
  if (row.trialTicket !== undefined || countUsed(row) >= row.info.slots)
    return undefined;
  return row.trialAtMs;
}

/** Returns whether some slots that count as used may be free. */
export function hasUncertainSlots(row: ServerRow): boolean {
  if (row.unknownSlots > 0) return true;
  for (const ticket of row.tickets.values())
    if (ticket.abandonedMs !== undefined) return true;
  return false;
}

/** Builds the summary of a server that operators see. */
export function buildServerView(row: ServerRow): types.ServerView {
  return {
    id: row.info.id,
    leaving: row.info.leaving,
    failing: isFailing(row),
    slots: row.info.slots,
    used: countUsed(row),
  };
}

/** Describes a server for the dump. */
export function describeServer(row: ServerRow): unknown {
  return {
    id: row.info.id,
    listed: row.listed,
    leaving: row.info.leaving,
    slots: row.info.slots,
    tickets: row.tickets.size,
    unknown: row.unknownSlots,
    failures: row.failures,
  };
}

/**
 * Returns whether the ask can be granted on the server now: a slot is free, the ask does
 * not avoid the server, and the holder has not used its share of the connections.
 */
export function canGrant(
  row: ServerRow,
  ask: types.SlotAsk,
  maxProcesses: number,
  nowMs: number,
): boolean {
  if (!hasRoom(row, nowMs)) return false;
  if (ask.avoid.includes(row.info.id)) return false;
  const share = Math.floor(row.info.connections / Math.max(1, maxProcesses));
  return (row.ticketsPerHolder.get(ask.holder) ?? 0) < share;
}

/**
 * Chooses the server for an ask: first one that is due for a trial request, then the
 * one with the lowest load plus zone penalty, then the one whose last grant is oldest.
 */
export function chooseServer(
  rows: Iterable<ServerRow>,
  ask: types.SlotAsk,
  maxProcesses: number,
  nowMs: number,
): ServerRow | undefined {
  let best: ServerRow | undefined;
  let bestCost = Infinity;
  for (const row of rows) {
    if (!canGrant(row, ask, maxProcesses, nowMs)) continue;
    const cost = computeCost(row, ask);
    if (cost > bestCost) continue;
    if (
      cost === bestCost &&
      best !== undefined &&
      best.lastGrantNumber <= row.lastGrantNumber
    )
      continue;
    best = row;
    bestCost = cost;
  }
  return best;
}

function computeCost(row: ServerRow, ask: types.SlotAsk): number {
  // Under light load other servers always cost less, so without precedence a failing
  // server would never get its trial request.
  if (isFailing(row) && ask.avoid.length === 0) return -1;
  const isSameZone = row.info.availabilityZone === ask.availabilityZone;
  return countUsed(row) / row.info.slots + (isSameZone ? 0 : ZONE_PENALTY);
}

/** Counts the servers that are excluded for an ask, by cause, for its explanation. */
export function countObstacles(
  rows: Iterable<ServerRow>,
  ask: types.SlotAsk,
): Extract<reasons.Reason, { reason: 'no-candidate' }> {
  let total = 0;
  let leaving = 0;
  let quarantine = 0;
  for (const row of rows) {
    if (!row.listed) continue;
    total += 1;
    if (row.info.leaving) leaving += 1;
    else if (isFailing(row) || ask.avoid.includes(row.info.id)) quarantine += 1;
  }
  return {
    reason: 'no-candidate',
    total,
    counts: [
      { filter: 'leaving', removed: leaving },
      { filter: 'quarantine', removed: quarantine },
    ],
  };
}
