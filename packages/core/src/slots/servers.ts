/**
 * Backend servers and the tickets on them. A slot counts as used while a ticket on
 * it is in its term and not returned, and, after a take-over, while an unreported
 * ticket of an earlier owner may be on it.
 */
import type * as ids from '../types/ids.js';
import type * as reasons from '../types/reasons.js';
import type * as types from './types.js';

/** Consecutive failures after which a server gets trial requests only. */
const FAILING_AFTER = 2;
/** First time between trial requests; doubles with each failed trial. */
const TRIAL_FIRST_MS = 500;
/** Longest time between trial requests. */
const TRIAL_MAX_MS = 8_000;
/**
 * Load (0 to 1) by which a server of another availability zone must be lower to be
 * preferred; two of eight slots. Crossing zones costs 1 ms, queueing on a busy
 * server more.
 */
const ZONE_PENALTY = 0.25;

/** Time in which the return of a request that ended before a status arrives. */
const STATUS_SETTLE_MS = 300;

/** A granted or reported ticket whose slot counts as used. */
export interface TicketRow {
  readonly id: string;
  readonly ask: types.AskId | undefined;
  readonly holder: ids.InstanceId;
  readonly server: ServerRow;
  readonly urgency: ids.Urgency | undefined;
  readonly team: ids.TeamName | undefined;
  readonly startedMs: number;
  readonly endsMs: number;
  /** Reported by its holder as written to the server. */
  readonly reportedSent: boolean;
  /** The team was charged for the slot time. */
  charged: boolean;
  /** When the holder gave up on a request that may still run; undefined before. */
  abandonedMs: number | undefined;
}

/** What a server reported as busy, and which reported requests it may include. */
export interface PendingStatus {
  readonly busy: number;
  readonly askedMs: number;
  readonly sent: readonly TicketRow[];
  readonly dueMs: number;
}

/** One backend server. */
export interface ServerRow {
  info: types.BackendServer;
  listed: boolean;
  readonly tickets: Map<string, TicketRow>;
  readonly perHolder: Map<ids.InstanceId, number>;
  /** Slots that tickets of an earlier owner may use and nobody has reported. */
  unknown: number;
  /** Status that waits for the returns of requests that it may not count. */
  status: PendingStatus | undefined;
  failures: number;
  trialAtMs: number;
  /** Ticket of the trial request in flight. */
  trial: string | undefined;
  lastGrant: number;
}

/** Creates the row of a server without tickets. */
export function createServerRow(info: types.BackendServer): ServerRow {
  return {
    info,
    listed: true,
    tickets: new Map(),
    perHolder: new Map(),
    unknown: 0,
    status: undefined,
    failures: 0,
    trialAtMs: 0,
    trial: undefined,
    lastGrant: 0,
  };
}

/** Adds a ticket to the tables of its server. */
export function addTicket(row: ServerRow, ticket: TicketRow): void {
  row.tickets.set(ticket.id, ticket);
  row.perHolder.set(ticket.holder, (row.perHolder.get(ticket.holder) ?? 0) + 1);
}

/** Frees the slot of a ticket. */
export function removeTicket(row: ServerRow, ticket: TicketRow): void {
  if (!row.tickets.delete(ticket.id)) return;
  const left = (row.perHolder.get(ticket.holder) ?? 0) - 1;
  if (left > 0) row.perHolder.set(ticket.holder, left);
  else row.perHolder.delete(ticket.holder);
  endTrial(row, ticket);
}

/** Makes a ticket the trial request of a failing server. */
export function startTrial(row: ServerRow, ticket: TicketRow): void {
  row.trial = ticket.id;
}

/** Ends the trial when the ticket is its request. */
export function endTrial(row: ServerRow, ticket: TicketRow): void {
  if (row.trial === ticket.id) row.trial = undefined;
}

/** Slots that count as used. */
export function countUsed(row: ServerRow): number {
  return row.tickets.size + row.unknown;
}

/** True for a server that gets trial requests only. */
export function isFailing(row: ServerRow): boolean {
  return row.failures >= FAILING_AFTER;
}

/** True for a server that may get new tickets at some time. */
export function isUsable(row: ServerRow): boolean {
  return row.listed && !row.info.leaving;
}

/** Records how a request to the server ended. */
export function noteResult(
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
 * Keeps what a status says until it can be used. A request that a holder reported
 * as sent is among the busy ones only if it was still running; the server may have
 * finished it while the return is on its way, so the status waits for that return.
 */
export function noteStatus(
  row: ServerRow,
  busy: number,
  askedMs: number,
  nowMs: number,
): void {
  if (row.status !== undefined) return;
  const sent = [...row.tickets.values()].filter((one) => one.reportedSent);
  const dueMs = sent.length === 0 ? nowMs : nowMs + STATUS_SETTLE_MS;
  row.status = { busy, askedMs, sent, dueMs };
}

/**
 * Lowers the count of uncertain slots to what the last status reports as busy: at
 * once to all busy ones, and when it has settled to those that no reported request
 * accounts for. Tickets that nobody reported as sent may not be among the busy ones,
 * so they aren't subtracted. Returns the abandoned tickets that no longer run.
 */
export function applyStatus(
  row: ServerRow,
  nowMs: number,
  reported: boolean,
): readonly TicketRow[] {
  const { status } = row;
  if (status === undefined) return [];
  const isSettled = nowMs >= status.dueMs;
  if (isSettled) row.status = undefined;
  const running = isSettled ? countRunning(row, status.sent) : 0;
  const allowed = Math.max(0, status.busy - running);
  if (reported) row.unknown = Math.min(row.unknown, allowed);
  // Which of the uncertain requests still run isn't known, so each kind is bounded by
  // itself, and the abandoned tickets that are kept are those whose terms end last.
  return [...row.tickets.values()]
    .filter(
      (ticket) =>
        ticket.abandonedMs !== undefined && ticket.abandonedMs < status.askedMs,
    )
    .sort((a, b) => b.endsMs - a.endsMs)
    .slice(allowed);
}

function countRunning(row: ServerRow, sent: readonly TicketRow[]): number {
  return sent.filter(
    (ticket) =>
      row.tickets.get(ticket.id) === ticket && ticket.abandonedMs === undefined,
  ).length;
}

/** True when the server can take one more ticket now, of whichever process. */
export function hasRoom(row: ServerRow, nowMs: number): boolean {
  if (!isUsable(row) || countUsed(row) >= row.info.slots) return false;
  return !isFailing(row) || (row.trial === undefined && nowMs >= row.trialAtMs);
}

/** Time of the next trial request of a failing server; undefined when none is due. */
export function readTrialDue(row: ServerRow): number | undefined {
  if (!isUsable(row) || !isFailing(row)) return undefined;
  if (row.trial !== undefined || countUsed(row) >= row.info.slots)
    return undefined;
  return row.trialAtMs;
}

/** True when some slots count as used and may be free. */
export function hasUncertain(row: ServerRow): boolean {
  if (row.unknown > 0) return true;
  for (const ticket of row.tickets.values())
    if (ticket.abandonedMs !== undefined) return true;
  return false;
}

/** Builds the view of a server for operators. */
export function buildServerView(row: ServerRow): types.ServerView {
  return {
    id: row.info.id,
    leaving: row.info.leaving,
    failing: isFailing(row),
    slots: row.info.slots,
    used: countUsed(row),
  };
}

/** Plain copy of a row for the dump. */
export function describeServer(row: ServerRow): unknown {
  return {
    id: row.info.id,
    listed: row.listed,
    leaving: row.info.leaving,
    slots: row.info.slots,
    tickets: row.tickets.size,
    unknown: row.unknown,
    failures: row.failures,
  };
}

/** Whether one ticket can be granted on the server to the holder now. */
export function canGrant(
  row: ServerRow,
  ask: types.SlotAsk,
  maxProcesses: number,
  nowMs: number,
): boolean {
  if (!hasRoom(row, nowMs)) return false;
  if (ask.avoid.includes(row.info.id)) return false;
  const share = Math.floor(row.info.connections / Math.max(1, maxProcesses));
  return (row.perHolder.get(ask.holder) ?? 0) < share;
}

/** Chooses the server for an ask: due trials, then load and nearness, then longest without a grant. */
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
      best.lastGrant <= row.lastGrant
    )
      continue;
    best = row;
    bestCost = cost;
  }
  return best;
}

function computeCost(row: ServerRow, ask: types.SlotAsk): number {
  // A due trial goes first, or a failing server would never be tried under light load.
  if (isFailing(row) && ask.avoid.length === 0) return -1;
  const near = row.info.availabilityZone === ask.availabilityZone;
  return countUsed(row) / row.info.slots + (near ? 0 : ZONE_PENALTY);
}

/** Counts what keeps the servers from an ask, for its explanation. */
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
