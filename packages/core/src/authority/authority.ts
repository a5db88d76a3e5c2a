/**
 * Authority of one session over one worker: whether the owner may start tasks on
 * the worker now, and until when.
 *
 * A plain worker enforces leases only and accepts calls of any session. Mutual
 * exclusion relies on the worker's own clock: a start carries the bound
 * `startByMs <= clockMs + AUTHORITY_TERM_MS`, where `clockMs` is the worker clock of an
 * answer, and a new session waits until that clock has passed every bound that an older
 * session could have obtained. A fencing worker refuses the calls of an older session
 * once it has seen a newer one, so its first answer is already a complete inventory and
 * a start needs no bound beyond its lease.
 *
 * Neither kind guarantees anything about a worker that doesn't answer: its leases may
 * still be valid, and only their expiry on the worker's clock frees the tasks.
 */
import * as epochs from '../ownership/epochs.js';
import type * as worker from '../types/worker.js';

/** Longest delay of a start after the worker clock of the answer that it is based on. */
export const AUTHORITY_TERM_MS = 1_000;

/** Lease term, counted from the last worker clock that the owner received. */
export const LEASE_TERM_MS = 15_000;

/** Allowance for clock drift, added to a lease term. */
export const LEASE_MARGIN_MS = 2_000;

/** Remaining term below which a start is likely to arrive after its bound. */
export const MIN_START_WINDOW_MS = 300;

/** Number of earlier incarnations of a worker that are remembered. */
const MAX_PAST_INCARNATIONS = 4;

/** How a worker enforces exclusion: by leases only, or also by fencing off older sessions. */
export type WorkerKind = 'plain' | 'fencing';

/** State of one session with one worker. */
export interface Authority {
  readonly kind: WorkerKind;
  readonly session: worker.WorkerSession;
  /** Incarnation of the worker to which the clocks below belong. */
  readonly boot?: string;
  /** Earlier incarnations, so that a late answer of one isn't mistaken for another restart. */
  readonly pastIncarnations: readonly string[];
  /** Worker clock of the first answer in this incarnation. */
  readonly firstClockMs?: number;
  /** Highest worker clock of an answer in this incarnation. */
  readonly clockMs?: number;
  /** Local time when the answer with `clockMs` arrived. */
  readonly lastAnswerMs?: number;
  /** The newest session above this one that the worker reported. */
  readonly newerSession?: worker.SeenSession;
}

/** One answer to a sync call of this session. */
export interface SessionReport {
  /** Local time when the call was sent. */
  readonly sentMs: number;
  /** Local time when the answer arrived. */
  readonly receivedMs: number;
  readonly boot: string;
  readonly clockMs: number;
  readonly sessions: readonly worker.SeenSession[];
}

/** Result of applying an answer. */
export interface SessionReportResult {
  readonly authority: Authority;
  /** True when the worker restarted since the last answer; no earlier attempt is left on it. */
  readonly restarted: boolean;
  /** True for an older answer that arrived late; its inventory is outdated. */
  readonly outdated: boolean;
}

/** Whether tasks may be started now. */
export type AuthorityState =
  /** The worker hasn't answered this session yet. */
  | { readonly state: 'unopened' }
  /** Starts of an older session may still arrive for `restMs` more. */
  | { readonly state: 'take-over'; readonly restMs: number }
  /** The inventory is complete, but a start needs a newer answer. */
  | { readonly state: 'stale' }
  /** Tasks may be started now. */
  | {
      readonly state: 'fresh';
      readonly startByMs: number;
      readonly leaseUntilMs: number;
      readonly boot: string;
    }
  /** A newer session has called the worker. */
  | { readonly state: 'replaced'; readonly by: worker.SeenSession };

/** Compares two sessions: by epoch, then instance. */
export function compareSessions(
  a: worker.WorkerSession,
  b: worker.WorkerSession,
): number {
  const order = epochs.compareEpochs(a.epoch, b.epoch);
  if (order !== 0 || a.instance === b.instance) return order;
  return a.instance < b.instance ? -1 : 1;
}

/** Creates the authority of a session that hasn't called the worker yet. */
export function createAuthority(
  kind: WorkerKind,
  session: worker.WorkerSession,
): Authority {
  return { kind, session, pastIncarnations: [] };
}

/** Applies an answer to a sync call. */
export function applySessionReport(
  authority: Authority,
  report: SessionReport,
): SessionReportResult {
  const higher = findNewerSession(authority, report.sessions);
  // A restarted worker has forgotten which sessions called it, so the wait starts again.
  const base =
    higher === undefined ? authority : { ...authority, newerSession: higher };
  if (isOutdated(authority, report))
    return { authority: base, restarted: false, outdated: true };
  const { boot } = authority;
  const rebooted = boot !== undefined && boot !== report.boot;
  const isFirst = rebooted || authority.firstClockMs === undefined;
  return {
    authority: {
      ...base,
      pastIncarnations: rebooted
        ? [...authority.pastIncarnations, boot].slice(-MAX_PAST_INCARNATIONS)
        : authority.pastIncarnations,
      boot: report.boot,
      firstClockMs: isFirst ? report.clockMs : authority.firstClockMs,
      clockMs: report.clockMs,
      lastAnswerMs: report.receivedMs,
    },
    restarted: rebooted,
    outdated: false,
  };
}

function isOutdated(authority: Authority, report: SessionReport): boolean {
  if (authority.pastIncarnations.includes(report.boot)) return true;
  return (
    report.boot === authority.boot &&
    authority.clockMs !== undefined &&
    report.clockMs < authority.clockMs
  );
}

function findNewerSession(
  authority: Authority,
  sessions: readonly worker.SeenSession[],
): worker.SeenSession | undefined {
  let highest = authority.newerSession;
  for (const seen of sessions) {
    if (compareSessions(seen, authority.session) <= 0) continue;
    if (highest === undefined || compareSessions(seen, highest) > 0)
      highest = seen;
  }
  return highest;
}

/** Computes whether tasks may be started at local time `nowMs`. */
export function computeAuthorityState(
  authority: Authority,
  nowMs: number,
): AuthorityState {
  if (authority.newerSession !== undefined)
    return { state: 'replaced', by: authority.newerSession };
  const { boot, clockMs, lastAnswerMs } = authority;
  if (boot === undefined || clockMs === undefined || lastAnswerMs === undefined)
    return { state: 'unopened' };
  const restMs = computeTakeOverWait(authority);
  if (restMs > 0) return { state: 'take-over', restMs };
  const leaseUntilMs = clockMs + LEASE_TERM_MS;
  const elapsedMs = nowMs - lastAnswerMs;
  switch (authority.kind) {
    case 'fencing':
      // The lease itself bounds the start, because a task can't start under an expired lease.
      if (elapsedMs > LEASE_TERM_MS / 2) return { state: 'stale' };
      return { state: 'fresh', startByMs: leaseUntilMs, leaseUntilMs, boot };
    case 'plain':
      if (AUTHORITY_TERM_MS - elapsedMs < MIN_START_WINDOW_MS)
        return { state: 'stale' };
      return {
        state: 'fresh',
        startByMs: clockMs + AUTHORITY_TERM_MS,
        leaseUntilMs,
        boot,
      };
  }
}

/**
 * Returns whether the inventory of the last answer is complete: no older session can
 * start further tasks.
 */
export function isInventoryComplete(authority: Authority): boolean {
  return (
    authority.newerSession === undefined &&
    authority.clockMs !== undefined &&
    computeTakeOverWait(authority) <= 0
  );
}

function computeTakeOverWait(authority: Authority): number {
  const { firstClockMs, clockMs } = authority;
  if (firstClockMs === undefined || clockMs === undefined)
    return AUTHORITY_TERM_MS;
  switch (authority.kind) {
    case 'fencing':
      return 0;
    case 'plain':
      return firstClockMs + AUTHORITY_TERM_MS - clockMs;
  }
}

/**
 * Computes the local time after which every lease that this session granted or renewed
 * has expired; undefined before the first answer. Each lease ends at most one term after
 * a worker clock that was known when the answer arrived.
 */
export function computeLeaseEnd(authority: Authority): number | undefined {
  if (authority.lastAnswerMs === undefined) return undefined;
  return authority.lastAnswerMs + LEASE_TERM_MS + LEASE_MARGIN_MS;
}
