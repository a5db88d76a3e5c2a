/**
 * The table of idempotency keys, folded from stream `keys`. For each key it holds which
 * attempt may send the request (the winner) and the outcome. The winner is the first
 * intent in the log that was not withdrawn by a `not-run` outcome, so all processes
 * that have read the same records agree on it and a request is sent at most once.
 */
import type * as ids from '../types/ids.js';
import type * as records from '../types/records.js';

/** State of one key according to the records read so far. */
export type KeyState =
  | { readonly state: 'free' }
  | {
      /** The winner has recorded no outcome yet; it may or may not have sent the request. */
      readonly state: 'open';
      readonly service: ids.ServiceName;
      readonly attempt: string;
      readonly instance: ids.InstanceId;
    }
  | {
      readonly state: 'ended';
      readonly service: ids.ServiceName;
      readonly attempt: string;
      readonly instance: ids.InstanceId;
      readonly outcome: Exclude<records.KeyOutcome, { outcome: 'not-run' }>;
    };

/** Limits of the table. */
export interface KeyTableOptions {
  /** Time for which a key is kept after its last record was applied, in ms. */
  readonly retentionMs: number;
  /** Number of keys from which `isFull` returns true; no key is dropped before its retention ends. */
  readonly maxKeys: number;
  /** Most bytes of response bodies that are kept; the oldest bodies are dropped first. */
  readonly maxBodyBytes: number;
}

/** The idempotency keys and the outcomes of their requests. */
export interface KeyTable {
  /** Applies the next record of the stream; `nowMs` is the monotonic time. */
  applyKeyRecord(
    record: records.LogRecord<records.KeyRecord>,
    nowMs: number,
  ): void;
  getKeyState(key: string): KeyState;
  /** Returns whether the attempt is the key's winner, which may send the request. */
  isWinner(key: string, attempt: string): boolean;
  /** Returns whether the attempt's intent was read, not withdrawn and not displaced by an outcome of the winner. */
  hasIntent(key: string, attempt: string): boolean;
  /** Returns whether the limit is reached; no new key should be accepted then. */
  isFull(): boolean;
  /** Drops keys whose retention has ended. */
  sweep(nowMs: number): void;
  /** Number of keys in the table. */
  getSize(): number;
}

type Intent = Extract<records.KeyRecord, { type: 'intent' }>;

interface KeyRow {
  /** Intents that were not withdrawn, in log order; the first is the winner. */
  intents: Intent[];
  /** Attempts that recorded `not-run`; an intent that arrives later is ignored. */
  readonly withdrawn: Set<string>;
  outcome: Exclude<records.KeyOutcome, { outcome: 'not-run' }> | undefined;
  /** Monotonic time of the last record. */
  changedMs: number;
}

/** Creates an empty table. */
export function createKeyTable(options: KeyTableOptions): KeyTable {
  // In order of the last change, so that a sweep can stop at the first key it keeps.
  const rows = new Map<string, KeyRow>();
  // Size of the response body of each key that has one, oldest first.
  const bodies = new Map<string, number>();
  let bodyBytes = 0;

  function ensureRow(key: string, nowMs: number): KeyRow {
    const known = rows.get(key);
    const row: KeyRow = known ?? {
      intents: [],
      withdrawn: new Set(),
      outcome: undefined,
      changedMs: nowMs,
    };
    row.changedMs = nowMs;
    rows.delete(key);
    rows.set(key, row);
    return row;
  }

  function applyKeyRecord(
    { body }: records.LogRecord<records.KeyRecord>,
    nowMs: number,
  ): void {
    const row = ensureRow(body.key, nowMs);
    if (body.type === 'intent') addIntent(row, body);
    else addOutcome(row, body.key, body.attempt, body.outcome);
  }

  function addIntent(row: KeyRow, intent: Intent): void {
    if (row.withdrawn.has(intent.attempt)) return;
    if (row.intents.some((known) => known.attempt === intent.attempt)) return;
    // An outcome of the winner means that it sent the request; no other attempt may win.
    if (row.outcome !== undefined) return;
    row.intents.push(intent);
  }

  function addOutcome(
    row: KeyRow,
    key: string,
    attempt: string,
    outcome: records.KeyOutcome,
  ): void {
    const isFirst = row.intents[0]?.attempt === attempt;
    // `done` is final. An attempt that recorded any outcome has sent and can't withdraw.
    if (isFirst && row.outcome?.outcome === 'done') return;
    if (outcome.outcome === 'not-run') {
      if (isFirst && row.outcome !== undefined) return;
      row.withdrawn.add(attempt);
      row.intents = row.intents.filter((known) => known.attempt !== attempt);
      return;
    }
    if (!isFirst) return;
    row.outcome = outcome;
    row.intents.length = 1;
    addBody(key, outcome);
  }

  function addBody(
    key: string,
    outcome: Exclude<records.KeyOutcome, { outcome: 'not-run' }>,
  ): void {
    if (outcome.outcome !== 'done' || outcome.body === undefined) return;
    const bytes = Buffer.byteLength(outcome.body);
    bodies.set(key, bytes);
    bodyBytes += bytes;
    for (const oldest of bodies.keys()) {
      if (bodyBytes <= options.maxBodyBytes) return;
      dropBody(oldest);
    }
  }

  function dropBody(key: string): void {
    bodyBytes -= bodies.get(key) ?? 0;
    bodies.delete(key);
    const row = rows.get(key);
    if (row?.outcome?.outcome !== 'done') return;
    const { outcome, status, contentType } = row.outcome;
    row.outcome = { outcome, status, contentType };
  }

  function getKeyState(key: string): KeyState {
    const row = rows.get(key);
    const winner = row?.intents[0];
    if (row === undefined || winner === undefined) return { state: 'free' };
    const { service, attempt, instance } = winner;
    return row.outcome === undefined
      ? { state: 'open', service, attempt, instance }
      : { state: 'ended', service, attempt, instance, outcome: row.outcome };
  }

  function sweep(nowMs: number): void {
    for (const [key, row] of rows) {
      if (nowMs - row.changedMs < options.retentionMs) return;
      dropBody(key);
      rows.delete(key);
    }
  }

  return {
    applyKeyRecord,
    getKeyState,
    isWinner: (key, attempt) => rows.get(key)?.intents[0]?.attempt === attempt,
    hasIntent: (key, attempt) =>
      rows.get(key)?.intents.some((known) => known.attempt === attempt) ??
      false,
    isFull: () => rows.size >= options.maxKeys,
    sweep,
    getSize: () => rows.size,
  };
}
