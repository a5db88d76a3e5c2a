/**
 * The session with one worker: a long poll that renews all leases of the worker,
 * and short calls when a decision needs a newer answer. At rest it costs one call
 * per `SYNC_WAIT_MS`.
 */
import * as core from '@flamingoward/core';
import type * as gates from './gate.js';
import * as gate from './gate.js';
import type * as types from './types.js';

/** Longest time that a worker holds a sync call. */
export const SYNC_WAIT_MS = 5_000;

/** Wait while leases may not be renewed. */
const HELD_WAIT_MS = 500;

/** Time for an answer beyond the wait that was asked for. */
const ANSWER_MS = 1_500;

/** Time in which the sessions of a take-over begin. */
const OPEN_SPREAD_MS = 200;

/** Shortest period of long polls, which a busy worker answers at once. */
const MIN_PERIOD_MS = 50;

const BACKOFF_MIN_MS = 200;
const BACKOFF_MAX_MS = 2_000;

/** Slack after which the worker clock has surely passed a bound. */
const CLOCK_SLACK_MS = 20;

/** What the session tells its owner. */
export interface SessionEvents {
  /** An answer, the newest so far; `complete` as in `isInventoryComplete`. */
  handleReport(report: core.workers.SyncReport, complete: boolean): void;
  /** The worker restarted; comes before the report. */
  handleReboot(): void;
  handleHigher(seen: core.workers.SeenSession): void;
  handleFailure(error: unknown): void;
}

/** What a session needs. */
export interface SessionParts {
  readonly timers: core.TimerService;
  readonly client: types.WorkerClient;
  readonly gate: gates.Gate;
  readonly random: () => number;
  /** Whether this process may renew leases now. */
  readonly isRenewing: () => boolean;
}

/** A running session. */
export interface Session {
  readState(): core.AuthorityState;
  readAuthority(): core.Authority;
  /** Calls that failed since the last answer. */
  readFailures(): number;
  /** Asks without waiting; resolves when the answer is handled or the call failed. */
  sync(): Promise<void>;
  /** Tells the worker with the next call that it may forget an ended attempt. */
  forget(attempt: core.ids.AttemptId): void;
  /** Takes back `forget`, because an attempt of that id is about to start. */
  keep(attempt: core.ids.AttemptId): void;
  close(): void;
}

/** Creates a session and begins to call the address that `readVm` returns. */
export function createSession(
  parts: SessionParts,
  readVm: () => core.workers.VmRecord,
  kind: core.WorkerKind,
  own: core.workers.WorkerSession,
  events: SessionEvents,
): Session {
  const { timers, client, random } = parts;
  const toForget = new Set<core.ids.AttemptId>();
  let authority = core.createAuthority(kind, own);
  let version: number | undefined;
  let failures = 0;
  let closed = false;
  let quick: Promise<void> | undefined;

  function buildRequest(
    waitMs: number,
    forget: readonly string[],
  ): core.workers.SyncRequest {
    const { clockMs } = authority;
    return {
      session: own,
      waitMs,
      forget,
      ...(clockMs === undefined || !parts.isRenewing()
        ? {}
        : { renewUntilMs: clockMs + core.LEASE_TERM_MS }),
      ...(version === undefined ? {} : { sinceVersion: version }),
    };
  }

  async function pollWorker(waitMs: number): Promise<boolean> {
    const sentMs = timers.readNow();
    const forget = [...toForget];
    const timeoutMs = waitMs + ANSWER_MS;
    const report = await askSync(buildRequest(waitMs, forget), timeoutMs);
    if (closed || report === undefined) return false;
    for (const attempt of forget) toForget.delete(attempt);
    receive(report, sentMs);
    return true;
  }

  async function askSync(
    request: core.workers.SyncRequest,
    timeoutMs: number,
  ): Promise<core.workers.SyncReport | undefined> {
    const { address, id } = readVm();
    const origin = { step: 'workers.sync', peer: id };
    try {
      const answer = client.sync(address, request, timeoutMs);
      return await gate.withTimeout(timers, origin, timeoutMs, answer);
    } catch (error) {
      if (closed) return undefined;
      failures += 1;
      events.handleFailure(error);
      return undefined;
    }
  }

  function receive(report: core.workers.SyncReport, sentMs: number): void {
    failures = 0;
    const result = core.applySessionReport(authority, {
      sentMs,
      receivedMs: timers.readNow(),
      boot: report.boot,
      clockMs: report.clockMs,
      sessions: report.sessions,
    });
    authority = result.authority;
    if (authority.higher !== undefined) {
      events.handleHigher(authority.higher);
      return;
    }
    if (result.outdated) return;
    version = report.version;
    if (result.rebooted) events.handleReboot();
    events.handleReport(report, core.isInventoryComplete(authority));
  }

  async function runLoop(): Promise<void> {
    await wait(random() * OPEN_SPREAD_MS);
    let polled = false;
    while (!closed) {
      const beginMs = timers.readNow();
      const complete = core.isInventoryComplete(authority);
      const answered = complete
        ? await pollWorker(chooseWait(polled))
        : await parts.gate.run(() => pollWorker(0));
      polled ||= complete;
      await wait(choosePause(answered, beginMs));
    }
  }

  function chooseWait(polled: boolean): number {
    // The leases are renewed as soon as that is allowed again.
    if (!parts.isRenewing()) return HELD_WAIT_MS;
    // The first long polls differ in length, so that later ones don't end together.
    return polled ? SYNC_WAIT_MS : SYNC_WAIT_MS * (0.5 + random() / 2);
  }

  function choosePause(answered: boolean, beginMs: number): number {
    if (!answered) {
      const limitMs = Math.min(BACKOFF_MAX_MS, BACKOFF_MIN_MS * 2 ** failures);
      return limitMs * (0.5 + random() / 2);
    }
    const state = core.readAuthority(authority, timers.readNow());
    if (state.state === 'take-over') return state.restMs + CLOCK_SLACK_MS;
    return Math.max(0, MIN_PERIOD_MS - (timers.readNow() - beginMs));
  }

  function wait(delayMs: number): Promise<void> {
    if (closed || delayMs <= 0) return Promise.resolve();
    return core.waitFor(timers, 'workers.session', delayMs);
  }

  async function askNow(): Promise<void> {
    if (closed) return;
    quick ??= parts.gate
      .run(() => pollWorker(0))
      .then(() => {
        quick = undefined;
      });
    await quick;
  }

  void runLoop();

  return {
    readState: () => core.readAuthority(authority, timers.readNow()),
    readAuthority: () => authority,
    readFailures: () => failures,
    sync: askNow,
    forget: (attempt) => {
      toForget.add(attempt);
    },
    keep: (attempt) => {
      toForget.delete(attempt);
    },
    close: () => {
      closed = true;
    },
  };
}
