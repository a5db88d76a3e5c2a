/**
 * Idempotency keys, recorded in the log so that a request with a key runs at most once
 * in the cluster: an attempt appends its intent, reads it back, and may send only
 * when the order of the records makes it the winner of the key.
 */
import * as core from '@flamingoward/core';
import type * as types from '../types.js';
import type * as requests from './types.js';

const STREAM = 'keys';
/** Timeout of the append of an intent. */
const APPEND_TIMEOUT_MS = 1_000;
/** Timeout for reading the own intent back. */
const READ_BACK_TIMEOUT_MS = 1_500;
/** How long an answer waits for its `not-run` record, so that an immediate retry finds the key free. */
const NOT_RUN_TIMEOUT_MS = 1_000;
const RETENTION_MS = 24 * 3_600_000;
const MAX_KEYS = 200_000;
const MAX_TOTAL_BODY_BYTES = 16 * 1024 * 1024;
const MAX_BODY_BYTES = 4 * 1024;
/** Interval between retries to append an outcome that the log didn't confirm. */
const OUTCOME_RETRY_INTERVAL_MS = 1_000;
/** Outcomes that may wait for a retry at the same time; further ones are lost. */
const MAX_RETRYING_OUTCOMES = 5_000;
const SWEEP_INTERVAL_MS = 10_000;

/** Verdict on an attempt after its intent was appended. */
export type ClaimVerdict =
  /** This attempt may send the request once. */
  | { readonly verdict: 'won' }
  /** Another attempt won the key and may have sent the request. */
  | { readonly verdict: 'lost' }
  /** The intent couldn't be recorded and read back; this attempt must not send, and earlier ones aren't known. */
  | { readonly verdict: 'unrecorded'; readonly reason: string };

/** The idempotency keys as this process has read them from the log. */
export interface IdempotencyKeyStore {
  get(key: string): core.KeyState;
  /** Reads up to the head of the log first; rejects when the log is unreachable. */
  readAtHead(key: string): Promise<core.KeyState>;
  /** Appends the intent of an attempt and reads it back. */
  claim(
    key: string,
    service: core.ids.ServiceName,
    attempt: string,
  ): Promise<ClaimVerdict>;
  isWinner(key: string, attempt: string): boolean;
  /** Records that an attempt didn't send the request and never will. */
  recordNotRun(key: string, attempt: string): Promise<void>;
  /** Records the outcome of the winning attempt without waiting for the append. */
  recordOutcome(
    key: string,
    attempt: string,
    outcome: core.records.KeyOutcome,
  ): void;
  /** Resolves when a record of the key is read, or after `timeoutMs`. */
  waitForChange(key: string, timeoutMs: number): Promise<void>;
  countKeys(): number;
  close(): void;
}

/** Creates the store and begins to read the stream `keys`. */
export function createIdempotencyKeyStore(
  context: types.PartContext,
  streams: types.Streams,
): IdempotencyKeyStore {
  const { timers, identity, log, metrics } = context;
  const table = core.createKeyTable({
    retentionMs: RETENTION_MS,
    maxKeys: MAX_KEYS,
    maxBodyBytes: MAX_TOTAL_BODY_BYTES,
  });
  let retryingOutcomes = 0;
  let isClosed = false;
  const watchers = new Map<string, Set<() => void>>();
  const reader = streams.open<core.records.KeyRecord>(STREAM);

  function receive(
    record: core.records.LogRecord<core.records.KeyRecord>,
  ): void {
    table.applyKeyRecord(record, timers.getNow());
    for (const notify of [...(watchers.get(record.body.key) ?? [])]) notify();
  }

  function waitForChange(key: string, timeoutMs: number): Promise<void> {
    return new Promise((resolve) => {
      const known = watchers.get(key) ?? new Set();
      watchers.set(key, known);
      const finish = () => {
        timer.end();
        known.delete(finish);
        if (known.size === 0 && watchers.get(key) === known)
          watchers.delete(key);
        resolve();
      };
      const timer = timers.subscribe(
        { name: 'keys.change', delayMs: timeoutMs, repeat: 'once' },
        finish,
      );
      known.add(finish);
    });
  }

  async function claim(
    key: string,
    service: core.ids.ServiceName,
    attempt: string,
  ): Promise<ClaimVerdict> {
    const logOutage = describeLogOutage();
    if (logOutage !== undefined)
      return { verdict: 'unrecorded', reason: logOutage };
    if (table.isFull())
      return { verdict: 'unrecorded', reason: 'too many keys are in use' };
    const intent: core.records.KeyRecord = {
      type: 'intent',
      key,
      service,
      attempt,
      instance: identity.instance,
    };
    const appended = await appendSafely(intent, APPEND_TIMEOUT_MS);
    metrics.count('key_intents_total', { outcome: appended.outcome });
    if (appended.outcome === 'not-appended')
      return {
        verdict: 'unrecorded',
        reason: `the log service refused the record (${appended.reason})`,
      };
    const isRead = await readBack(key, attempt, appended);
    if (isRead)
      return { verdict: table.isWinner(key, attempt) ? 'won' : 'lost' };
    // The intent may still reach the log; the `not-run` record makes it void there.
    void recordNotRun(key, attempt);
    return {
      verdict: 'unrecorded',
      reason: 'the log service did not confirm the record',
    };
  }

  async function readBack(
    key: string,
    attempt: string,
    appended: types.AppendOutcome,
  ): Promise<boolean> {
    try {
      const reading =
        appended.outcome === 'appended'
          ? reader.waitFor(appended.offset + 1)
          : reader.waitForHead();
      await Promise.race([
        reading,
        core.waitFor(timers, 'keys.read-back', READ_BACK_TIMEOUT_MS),
      ]);
    } catch (error) {
      log.write('warn', 'keys.read-back', {
        attempt,
        cause: core.describeError(error),
      });
    }
    return table.hasIntent(key, attempt);
  }

  function describeLogOutage(): string | undefined {
    const sinceMs = streams.getUnreachableSinceMs();
    if (sinceMs === undefined) return undefined;
    const forMs = timers.getNow() - sinceMs;
    return core.describeRequestReason({ reason: 'log-away', sinceMs: forMs });
  }

  async function recordNotRun(key: string, attempt: string): Promise<void> {
    await Promise.race([
      appendOutcome(key, attempt, { outcome: 'not-run' }),
      core.waitFor(timers, 'keys.withdraw', NOT_RUN_TIMEOUT_MS),
    ]);
  }

  /**
   * Repeats the append until the log confirms it. A lost `not-run` record would leave
   * the key taken by an attempt that never sends.
   */
  async function appendOutcome(
    key: string,
    attempt: string,
    outcome: core.records.KeyOutcome,
  ): Promise<void> {
    const record: core.records.KeyRecord = {
      type: 'outcome',
      key,
      attempt,
      outcome,
    };
    for (;;) {
      const appended = await appendSafely(record);
      if (appended.outcome === 'appended') return;
      if (isClosed || retryingOutcomes >= MAX_RETRYING_OUTCOMES) {
        log.write('warn', 'keys.outcome-lost', {
          attempt,
          outcome: outcome.outcome,
          cause: appended.outcome,
        });
        return;
      }
      retryingOutcomes += 1;
      await core.waitFor(timers, 'keys.retry', OUTCOME_RETRY_INTERVAL_MS);
      retryingOutcomes -= 1;
    }
  }

  /** Reports an append that throws as `unknown`, because the record may have reached the log. */
  async function appendSafely(
    record: core.records.KeyRecord,
    giveUpMs?: number,
  ): Promise<types.AppendOutcome> {
    const options = giveUpMs === undefined ? {} : { giveUpMs };
    try {
      return await streams.append(STREAM, record, { flush: 'now', ...options });
    } catch (error) {
      log.write('warn', 'keys.append', { cause: core.describeError(error) });
      return { outcome: 'unknown' };
    }
  }

  async function readAtHead(key: string): Promise<core.KeyState> {
    const known = table.getKeyState(key);
    if (known.state === 'ended') return known;
    await reader.waitForHead();
    return table.getKeyState(key);
  }

  const subscription = reader.records.subscribe({
    next: receive,
    error: handleEnd,
    complete: handleEnd,
  });
  const sweep = timers.subscribe(
    { name: 'keys.sweep', delayMs: SWEEP_INTERVAL_MS, repeat: 'periodic' },
    (nowMs) => {
      table.sweep(nowMs);
      metrics.set('keys', {}, table.getSize());
    },
  );

  return {
    get: (key) => table.getKeyState(key),
    readAtHead,
    claim,
    isWinner: (key, attempt) => table.isWinner(key, attempt),
    recordNotRun,
    recordOutcome(key, attempt, outcome) {
      void appendOutcome(key, attempt, outcome);
    },
    waitForChange,
    countKeys: () => table.getSize(),
    close() {
      isClosed = true;
      sweep.end();
      subscription.unsubscribe();
    },
  };
}

/** Builds the outcome record of a complete answer; a large, encoded or binary body is left out. */
export function createDoneOutcome(
  answer: Extract<requests.BackendResult, { result: 'answered' }>,
): core.records.KeyOutcome {
  const { status } = answer;
  const header = answer.headers['content-type'];
  const contentType = typeof header === 'string' ? header : '';
  const encoded = answer.headers['content-encoding'] !== undefined;
  const body = encoded ? undefined : decodeBody(answer.body);
  return body === undefined
    ? { outcome: 'done', status, contentType }
    : { outcome: 'done', status, contentType, body };
}

function decodeBody(body: Uint8Array): string | undefined {
  if (body.byteLength > MAX_BODY_BYTES) return undefined;
  try {
    // Keeping a byte order mark makes the replayed body equal to the original.
    return new TextDecoder('utf-8', { fatal: true, ignoreBOM: true }).decode(
      body,
    );
  } catch {
    return undefined;
  }
}

function handleEnd(): void {
  // The stream ends only with the process.
}
