/**
 * The fold of stream `keys`: for each idempotency key, which attempt may send the
 * request and what became of it. The first intent that no `not-run` has freed wins,
 * so all processes that read the same records name the same winner.
 */
import type * as ids from '../types/ids.js';
import type * as records from '../types/records.js';

/** What the records say about one key. */
export type KeyState =
  | { readonly state: 'free' }
  | {
      /** The winner has not recorded an outcome; it may have sent the request. */
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
  /** Time for which a key is kept after its last record, in ms. */
  readonly retentionMs: number;
  /** Keys beyond which `isFull` holds; no key is dropped before its retention ends. */
  readonly maxKeys: number;
  /** Bytes of answer bodies kept; the oldest bodies are dropped first. */
  readonly maxBodyBytes: number;
}

/** Keys and what became of their requests. */
export interface KeyTable {
  /** Folds one record; `nowMs` is the monotonic time of the fold. */
  applyKeyRecord(
    record: records.LogRecord<records.KeyRecord>,
    nowMs: number,
  ): void;
  readKey(key: string): KeyState;
  /** True when the attempt has recorded its intent and owns the key. */
  isWinner(key: string, attempt: string): boolean;
  /** True when an intent of the attempt was read and not withdrawn. */
  hasIntent(key: string, attempt: string): boolean;
  /** True when no further key should be used. */
  isFull(): boolean;
  /** Drops keys whose retention ended. */
  sweep(nowMs: number): void;
  readSize(): number;
}

type Intent = Extract<records.KeyRecord, { type: 'intent' }>;

interface KeyRow {
  /** Intents that no `not-run` has freed, in log order; the first is the winner. */
  intents: Intent[];
  /** Attempts that recorded `not-run`; a later intent of theirs is ignored. */
  readonly withdrawn: Set<string>;
  outcome: Exclude<records.KeyOutcome, { outcome: 'not-run' }> | undefined;
  changedMs: number;
}

/** Creates an empty table. */
export function createKeyTable(options: KeyTableOptions): KeyTable {
  // In order of the last change, so a sweep looks only at what it drops.
  const rows = new Map<string, KeyRow>();
  // Keys whose row holds a body, oldest first, with the size of the body.
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
    // Once the winner has sent, nobody else can win any more.
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
    // An attempt that recorded an outcome has sent and can't withdraw.
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
    noteBody(key, outcome);
  }

  function noteBody(
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

  function readKey(key: string): KeyState {
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
    readKey,
    isWinner: (key, attempt) => rows.get(key)?.intents[0]?.attempt === attempt,
    hasIntent: (key, attempt) =>
      rows.get(key)?.intents.some((known) => known.attempt === attempt) ??
      false,
    isFull: () => rows.size >= options.maxKeys,
    sweep,
    readSize: () => rows.size,
  };
}
