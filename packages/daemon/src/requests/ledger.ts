/**
 * Idempotency keys through the log: an attempt records its intent, reads it back,
 * and may send only when the fold names it the winner.
 */
import * as core from '@flamingoward/core';
import type * as types from '../types.js';
import type * as requests from './types.js';

const STREAM = 'keys';
/** Time after which the append of an intent is given up. */
const APPEND_MS = 1_000;
/** Time for the own record to come back. */
const READ_BACK_MS = 1_500;
/** Time that an answer waits for its `not-run` record, so that a quick retry finds the key free. */
const WITHDRAW_WAIT_MS = 1_000;
const RETENTION_MS = 24 * 3_600_000;
const MAX_KEYS = 200_000;
const MAX_BODIES_BYTES = 16 * 1024 * 1024;
const MAX_BODY_BYTES = 4 * 1024;
/** Time between tries to append an outcome that the log refused. */
const RETRY_MS = 1_000;
/** Outcomes that may wait for a further try. */
const MAX_RETRYING = 5_000;
const SWEEP_EVERY_MS = 10_000;

/** Verdict on the intent of an attempt. */
export type ClaimVerdict =
  /** This attempt may send, once. */
  | { readonly verdict: 'won' }
  /** Another attempt may have sent. */
  | { readonly verdict: 'lost' }
  /** Nothing is known about the key's earlier attempts; this one must not send. */
  | { readonly verdict: 'unrecorded'; readonly reason: string };

/** The keys as this process reads them. */
export interface KeyLedger {
  read(key: string): core.KeyState;
  /** Reads to the head of the log first; rejects when the log is away. */
  readFresh(key: string): Promise<core.KeyState>;
  /** Records the intent of an attempt and reads it back. */
  claim(
    key: string,
    service: core.ids.ServiceName,
    attempt: string,
  ): Promise<ClaimVerdict>;
  isWinner(key: string, attempt: string): boolean;
  /** Records that an attempt has not sent and never will. */
  recordNotRun(key: string, attempt: string): Promise<void>;
  /** Records what became of the winner; doesn't wait. */
  noteOutcome(
    key: string,
    attempt: string,
    outcome: core.records.KeyOutcome,
  ): void;
  /** Resolves when a record of the key was read, or after `timeoutMs`. */
  waitForChange(key: string, timeoutMs: number): Promise<void>;
  readSize(): number;
  close(): void;
}

/** Creates the ledger and begins to read stream `keys`. */
export function createKeyLedger(
  context: types.PartContext,
  streams: types.Streams,
): KeyLedger {
  const { timers, identity, log, metrics } = context;
  const table = core.createKeyTable({
    retentionMs: RETENTION_MS,
    maxKeys: MAX_KEYS,
    maxBodyBytes: MAX_BODIES_BYTES,
  });
  let retrying = 0;
  let closed = false;
  const watchers = new Map<string, Set<() => void>>();
  const reader = streams.open<core.records.KeyRecord>(STREAM);

  function receive(
    record: core.records.LogRecord<core.records.KeyRecord>,
  ): void {
    table.applyKeyRecord(record, timers.readNow());
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
    const away = describeAway();
    if (away !== undefined) return { verdict: 'unrecorded', reason: away };
    if (table.isFull())
      return { verdict: 'unrecorded', reason: 'too many keys are in use' };
    const intent: core.records.KeyRecord = {
      type: 'intent',
      key,
      service,
      attempt,
      instance: identity.instance,
    };
    const appended = await appendSafely(intent, APPEND_MS);
    metrics.count('key_intents_total', { outcome: appended.outcome });
    if (appended.outcome === 'not-appended')
      return {
        verdict: 'unrecorded',
        reason: `the log service refused the record (${appended.reason})`,
      };
    const isRead = await readBack(key, attempt, appended);
    if (isRead)
      return { verdict: table.isWinner(key, attempt) ? 'won' : 'lost' };
    // The intent may still reach the log; the withdrawal makes it void there.
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
        core.waitFor(timers, 'keys.read-back', READ_BACK_MS),
      ]);
    } catch (error) {
      log.write('warn', 'keys.read-back', {
        attempt,
        cause: core.describeError(error),
      });
    }
    return table.hasIntent(key, attempt);
  }

  function describeAway(): string | undefined {
    const sinceMs = streams.readAwaySince();
    if (sinceMs === undefined) return undefined;
    const forMs = timers.readNow() - sinceMs;
    return core.describeRequestReason({ reason: 'log-away', sinceMs: forMs });
  }

  async function recordNotRun(key: string, attempt: string): Promise<void> {
    await Promise.race([
      append(key, attempt, { outcome: 'not-run' }),
      core.waitFor(timers, 'keys.withdraw', WITHDRAW_WAIT_MS),
    ]);
  }

  /**
   * Repeats until the log has the record. A lost `not-run` would leave the key taken
   * by an attempt that never sends.
   */
  async function append(
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
      if (closed || retrying >= MAX_RETRYING) {
        log.write('warn', 'keys.outcome-lost', {
          attempt,
          outcome: outcome.outcome,
          cause: appended.outcome,
        });
        return;
      }
      retrying += 1;
      await core.waitFor(timers, 'keys.retry', RETRY_MS);
      retrying -= 1;
    }
  }

  /** An append that fails in an unexpected way may have reached the log. */
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

  async function readFresh(key: string): Promise<core.KeyState> {
    const known = table.readKey(key);
    if (known.state === 'ended') return known;
    await reader.waitForHead();
    return table.readKey(key);
  }

  const subscription = reader.records.subscribe({
    next: receive,
    error: noteEnd,
    complete: noteEnd,
  });
  const sweep = timers.subscribe(
    { name: 'keys.sweep', delayMs: SWEEP_EVERY_MS, repeat: 'periodic' },
    (nowMs) => {
      table.sweep(nowMs);
      metrics.set('keys', {}, table.readSize());
    },
  );

  return {
    read: (key) => table.readKey(key),
    readFresh,
    claim,
    isWinner: (key, attempt) => table.isWinner(key, attempt),
    recordNotRun,
    noteOutcome(key, attempt, outcome) {
      void append(key, attempt, outcome);
    },
    waitForChange,
    readSize: () => table.readSize(),
    close() {
      closed = true;
      sweep.end();
      subscription.unsubscribe();
    },
  };
}

/** Builds the outcome record of a complete answer; a large or binary body is left out. */
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

function noteEnd(): void {
  // The stream ends only with the process.
}
