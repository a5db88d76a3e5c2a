/**
 * The session with one worker: long polls that renew all leases of the worker and
 * return its reports, and immediate calls when a decision needs a newer report. An
 * idle worker costs one call per `SYNC_WAIT_MS`.
 */
import * as core from '@flamingoward/core';
import type * as callLimiters from './callLimiter.js';
import * as callLimiter from './callLimiter.js';
import type * as types from './types.js';

/** Longest time for which a worker delays the answer to a sync call. */
export const SYNC_WAIT_MS = 5_000;

/** Duration of a long poll while leases may not be renewed. */
const WAIT_WITHOUT_RENEWAL_MS = 500;

/** Time beyond the requested wait after which a sync call fails. */
const ANSWER_TIMEOUT_MARGIN_MS = 1_500;

/** Period over which the first calls of all sessions of a take-over are spread. */
const START_SPREAD_MS = 200;

/** Shortest interval between long polls; a worker whose tasks change often answers them at once. */
const MIN_POLL_INTERVAL_MS = 50;

const MIN_BACKOFF_MS = 200;
const MAX_BACKOFF_MS = 2_000;

/** Margin after which the worker's clock has certainly passed a bound. */
const CLOCK_MARGIN_MS = 20;

/** Callbacks of a session. */
export interface SessionEvents {
  /** Handles the newest report so far; `complete` is the result of `core.isInventoryComplete`. */
  handleReport(report: core.workers.SyncReport, complete: boolean): void;
  /** Handles a restart of the worker; called before `handleReport`. */
  handleRestart(): void;
  /** Handles a session of an owner with a higher epoch that the worker has seen. */
  handleHigherSession(seen: core.workers.SeenSession): void;
  handleFailure(error: unknown): void;
}

/** Dependencies of a session. */
export interface SessionDependencies {
  readonly timers: core.TimerService;
  readonly client: types.WorkerClient;
  readonly syncLimiter: callLimiters.CallLimiter;
  readonly random: () => number;
  /** Returns whether this process may renew leases now. */
  readonly isRenewing: () => boolean;
}

/** A running session. */
export interface Session {
  getState(): core.AuthorityState;
  getAuthority(): core.Authority;
  /** Returns the number of calls that failed since the last answer. */
  countFailures(): number;
  /** Requests a report at once; resolves when it was handled or the call failed. */
  sync(): Promise<void>;
  /** Allows the worker, with the next call, to forget an ended attempt. */
  forget(attempt: core.ids.AttemptId): void;
  /** Revokes a `forget` that wasn't sent yet, because an attempt with that id is about to start. */
  cancelForget(attempt: core.ids.AttemptId): void;
  close(): void;
}

/** Creates a session and begins to call the worker at the address that `getVm` returns. */
export function createSession(
  dependencies: SessionDependencies,
  getVm: () => core.workers.VmRecord,
  kind: core.WorkerKind,
  own: core.workers.WorkerSession,
  events: SessionEvents,
): Session {
  const { timers, client, random } = dependencies;
  const attemptsToForget = new Set<core.ids.AttemptId>();
  let authority = core.createAuthority(kind, own);
  let version: number | undefined;
  let failures = 0;
  let isClosed = false;
  let pendingSync: Promise<void> | undefined;

  function buildRequest(
    waitMs: number,
    forget: readonly string[],
  ): core.workers.SyncRequest {
    const { clockMs } = authority;
    return {
      session: own,
      waitMs,
      forget,
      ...(clockMs === undefined || !dependencies.isRenewing()
        ? {}
        : { renewUntilMs: clockMs + core.LEASE_TERM_MS }),
      ...(version === undefined ? {} : { sinceVersion: version }),
    };
  }

  async function pollWorker(waitMs: number): Promise<boolean> {
    const sentMs = timers.getNow();
    const forget = [...attemptsToForget];
    const timeoutMs = waitMs + ANSWER_TIMEOUT_MARGIN_MS;
    const report = await askSync(buildRequest(waitMs, forget), timeoutMs);
    if (isClosed || report === undefined) return false;
    for (const attempt of forget) attemptsToForget.delete(attempt);
    receive(report, sentMs);
    return true;
  }

  async function askSync(
    request: core.workers.SyncRequest,
    timeoutMs: number,
  ): Promise<core.workers.SyncReport | undefined> {
    const { address, id } = getVm();
    const origin = { step: 'workers.sync', peer: id };
    try {
      const answer = client.sync(address, request, timeoutMs);
      return await callLimiter.withTimeout(timers, origin, timeoutMs, answer);
    } catch (error) {
      if (isClosed) return undefined;
      failures += 1;
      events.handleFailure(error);
      return undefined;
    }
  }

  function receive(report: core.workers.SyncReport, sentMs: number): void {
    failures = 0;
    const result = core.applySessionReport(authority, {
      sentMs,
      receivedMs: timers.getNow(),
      boot: report.boot,
      clockMs: report.clockMs,
      sessions: report.sessions,
    });
    authority = result.authority;
    if (authority.newerSession !== undefined) {
      events.handleHigherSession(authority.newerSession);
      return;
    }
    if (result.outdated) return;
    version = report.version;
    if (result.restarted) events.handleRestart();
    events.handleReport(report, core.isInventoryComplete(authority));
  }

  async function runLoop(): Promise<void> {
    await wait(random() * START_SPREAD_MS);
    let hasPolled = false;
    while (!isClosed) {
      const beginMs = timers.getNow();
      const complete = core.isInventoryComplete(authority);
      const answered = complete
        ? await pollWorker(chooseWait(hasPolled))
        : await dependencies.syncLimiter.run(() => pollWorker(0));
      hasPolled ||= complete;
      await wait(choosePause(answered, beginMs));
    }
  }

  function chooseWait(hasPolled: boolean): number {
    // A short poll, so that the leases are renewed soon after that is allowed again.
    if (!dependencies.isRenewing()) return WAIT_WITHOUT_RENEWAL_MS;
    // The first long polls differ in length, so that those of many workers don't end at the same time.
    return hasPolled ? SYNC_WAIT_MS : SYNC_WAIT_MS * (0.5 + random() / 2);
  }

  function choosePause(answered: boolean, beginMs: number): number {
    if (!answered) {
      const limitMs = Math.min(MAX_BACKOFF_MS, MIN_BACKOFF_MS * 2 ** failures);
      return limitMs * (0.5 + random() / 2);
    }
    const state = core.computeAuthorityState(authority, timers.getNow());
    if (state.state === 'take-over') return state.restMs + CLOCK_MARGIN_MS;
    return Math.max(0, MIN_POLL_INTERVAL_MS - (timers.getNow() - beginMs));
  }

  function wait(delayMs: number): Promise<void> {
    if (isClosed || delayMs <= 0) return Promise.resolve();
    return core.waitFor(timers, 'workers.session', delayMs);
  }

  async function askNow(): Promise<void> {
    if (isClosed) return;
    pendingSync ??= dependencies.syncLimiter
      .run(() => pollWorker(0))
      .then(() => {
        pendingSync = undefined;
      });
    await pendingSync;
  }

  void runLoop();

  return {
    getState: () => core.computeAuthorityState(authority, timers.getNow()),
    getAuthority: () => authority,
    countFailures: () => failures,
    sync: askNow,
    forget: (attempt) => {
      attemptsToForget.add(attempt);
    },
    cancelForget: (attempt) => {
      attemptsToForget.delete(attempt);
    },
    close: () => {
      isClosed = true;
    },
  };
}
