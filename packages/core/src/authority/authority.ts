/**
 * Authority of one session over one worker: whether the owner may start tasks on
 * the worker now, and until when.
 *
 * A plain worker enforces leases only. It refuses no call because of its session,
 * so exclusion rests on the worker's own clock: a start is bounded by
 * `startByMs <= c + AUTHORITY_TERM_MS`, and a new session waits until the worker's
 * clock has passed every bound that an older session could have got. A fencing
 * worker refuses the calls of an older session as soon as it has seen a newer one,
 * so its first answer already is a complete inventory and a start needs no bound
 * of its own.
 *
 * Neither kind can promise anything about a worker that doesn't answer: its leases
 * may still run, and only their end on the worker's clock frees the tasks.
 */
import * as epochs from '../ownership/epochs.js';
import type * as worker from '../types/worker.js';

/** How long a start may be delayed after the answer that it is based on. */
export const AUTHORITY_TERM_MS = 1_000;

/** How long a lease lasts from the worker clock that the owner knew. */
export const LEASE_TERM_MS = 15_000;

/** Allowance for clocks that run at different rates, on top of a lease term. */
export const LEASE_MARGIN_MS = 2_000;

/** Rest of the term below which a start would probably arrive too late. */
export const START_MIN_REST_MS = 300;

/** Earlier runs of a worker that are remembered. */
const PAST_BOOTS = 4;

/** What a worker checks. */
export type WorkerKind = 'plain' | 'fencing';

/** What one session knows about one worker. */
export interface Authority {
  readonly kind: WorkerKind;
  readonly session: worker.WorkerSession;
  /** Run of the worker that the clocks below belong to. */
  readonly boot?: string;
  /** Earlier runs, so that a late answer of one isn't taken for another restart. */
  readonly pastBoots: readonly string[];
  /** Worker clock of the first answer in this run of the worker. */
  readonly openedClockMs?: number;
  /** Highest worker clock of an answer. */
  readonly clockMs?: number;
  /** Local time when the answer with `clockMs` arrived. */
  readonly answeredMs?: number;
  /** A session with a higher epoch that the worker reported. */
  readonly higher?: worker.SeenSession;
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

/** What an answer changed. */
export interface SessionReportResult {
  readonly authority: Authority;
  /** The worker restarted since the last answer; it holds no earlier attempt. */
  readonly rebooted: boolean;
  /** An older answer of the same run that arrived late; its inventory is outdated. */
  readonly outdated: boolean;
}

/** Whether tasks may be started now. */
export type AuthorityState =
  | { readonly state: 'unopened' }
  /** Starts of an older session may still arrive; ask again in `restMs`. */
  | { readonly state: 'take-over'; readonly restMs: number }
  /** The inventory is complete, but a start needs a newer answer. */
  | { readonly state: 'stale' }
  | {
      readonly state: 'fresh';
      readonly startByMs: number;
      readonly leaseUntilMs: number;
      readonly boot: string;
    }
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
  return { kind, session, pastBoots: [] };
}

/** Applies an answer. */
export function applySessionReport(
  authority: Authority,
  report: SessionReport,
): SessionReportResult {
  const higher = findHigher(authority, report.sessions);
  // A new run of the worker has forgotten which sessions called it, so the wait starts again.
  const base = higher === undefined ? authority : { ...authority, higher };
  if (isOutdated(authority, report))
    return { authority: base, rebooted: false, outdated: true };
  const { boot } = authority;
  const rebooted = boot !== undefined && boot !== report.boot;
  const opening = rebooted || authority.openedClockMs === undefined;
  return {
    authority: {
      ...base,
      pastBoots: rebooted
        ? [...authority.pastBoots, boot].slice(-PAST_BOOTS)
        : authority.pastBoots,
      boot: report.boot,
      openedClockMs: opening ? report.clockMs : authority.openedClockMs,
      clockMs: report.clockMs,
      answeredMs: report.receivedMs,
    },
    rebooted,
    outdated: false,
  };
}

function isOutdated(authority: Authority, report: SessionReport): boolean {
  if (authority.pastBoots.includes(report.boot)) return true;
  return (
    report.boot === authority.boot &&
    authority.clockMs !== undefined &&
    report.clockMs < authority.clockMs
  );
}

function findHigher(
  authority: Authority,
  sessions: readonly worker.SeenSession[],
): worker.SeenSession | undefined {
  let highest = authority.higher;
  for (const seen of sessions) {
    if (compareSessions(seen, authority.session) <= 0) continue;
    if (highest === undefined || compareSessions(seen, highest) > 0)
      highest = seen;
  }
  return highest;
}

/** Reads whether tasks may be started at local time `nowMs`. */
export function readAuthority(
  authority: Authority,
  nowMs: number,
): AuthorityState {
  if (authority.higher !== undefined)
    return { state: 'replaced', by: authority.higher };
  const { boot, clockMs, answeredMs } = authority;
  if (boot === undefined || clockMs === undefined || answeredMs === undefined)
    return { state: 'unopened' };
  const restMs = readTakeOverRest(authority);
  if (restMs > 0) return { state: 'take-over', restMs };
  const leaseUntilMs = clockMs + LEASE_TERM_MS;
  const elapsedMs = nowMs - answeredMs;
  switch (authority.kind) {
    case 'fencing':
      // The lease itself bounds the start, because a lease that is over can't begin.
      if (elapsedMs > LEASE_TERM_MS / 2) return { state: 'stale' };
      return { state: 'fresh', startByMs: leaseUntilMs, leaseUntilMs, boot };
    case 'plain':
      if (AUTHORITY_TERM_MS - elapsedMs < START_MIN_REST_MS)
        return { state: 'stale' };
      return {
        state: 'fresh',
        startByMs: clockMs + AUTHORITY_TERM_MS,
        leaseUntilMs,
        boot,
      };
  }
}

/** Reads whether the inventory of the last answer is complete: no older session can start anything more. */
export function isInventoryComplete(authority: Authority): boolean {
  return (
    authority.higher === undefined &&
    authority.clockMs !== undefined &&
    readTakeOverRest(authority) <= 0
  );
}

function readTakeOverRest(authority: Authority): number {
  const { openedClockMs, clockMs } = authority;
  if (openedClockMs === undefined || clockMs === undefined)
    return AUTHORITY_TERM_MS;
  switch (authority.kind) {
    case 'fencing':
      return 0;
    case 'plain':
      return openedClockMs + AUTHORITY_TERM_MS - clockMs;
  }
}

/**
 * Local time after which no lease that this session gave or renewed runs any more;
 * undefined before the first answer. Each lease ends at most a term after a worker
 * clock that was known when the answer arrived.
 */
export function readLeaseEnd(authority: Authority): number | undefined {
  if (authority.answeredMs === undefined) return undefined;
  return authority.answeredMs + LEASE_TERM_MS + LEASE_MARGIN_MS;
}
