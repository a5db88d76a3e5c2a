/**
 * Batching writer of one stream. It collects records for a few ms, has one append in
 * flight at a time, and retries a failed append with the same record ids until the outcome
 * is certain or the caller's time limit has passed.
 */
import * as crypto from 'node:crypto';
import * as core from '@flamingoward/core';
import * as backoffs from './backoff.js';
import type * as types from './types.js';

/** Options of a writer. */
export interface WriterOptions {
  readonly stream: string;
  readonly log: types.LogClient;
  readonly timers: core.TimerService;
  readonly random: () => number;
  /** Largest number of records that are queued, in flight or awaiting confirmation. */
  readonly bufferRecords: number;
  /** Returns whether this process reads the stream, so that reading a record confirms its append. */
  readonly hasReader: () => boolean;
  /** Called after each attempt, with the time when the request was sent. */
  readonly recordReply: (answered: boolean, sentMs: number) => void;
}

/** Batching writer of one stream. */
export interface Writer {
  append(
    body: unknown,
    options: types.AppendOptions,
  ): Promise<types.AppendOutcome>;
  /** Confirms the append of a record that was read from the log. */
  confirmRecord(id: core.ids.RecordId, offset: core.ids.Offset): void;
  /** Confirms all acknowledged appends below an offset up to which the stream has been read. */
  confirmBelow(next: core.ids.Offset): void;
  close(): void;
}

/** Longest time that a record waits for others to share its append. */
const BATCH_DELAY_MS = 5;
/** Largest size of the records of one append; a single larger record is sent alone. */
const BATCH_BYTES = 64 * 1024;
/** Backoff between attempts. */
const RETRY_INITIAL_MS = 50;
const RETRY_MAX_MS = 2_000;
/** Time after the caller's limit during which the reply of an in-flight request still counts. */
const IN_FLIGHT_GRACE_MS = 500;
/** Timeout of an append; it doubles after each lost reply, because the log may be slow. */
const REPLY_TIMEOUT_INITIAL_MS = 1_500;
const REPLY_TIMEOUT_MAX_MS = 12_000;

/** A record whose append has no outcome yet. */
interface PendingAppend {
  readonly record: types.NewRecord;
  readonly bytes: number;
  readonly flushNow: boolean;
  readonly queuedMs: number;
  /** True once a request with this record was sent and its reply was lost, so a copy may be in the log. */
  replyLost: boolean;
  /** Offset of the copy that a reply confirmed after an earlier reply was lost. */
  confirmedOffset?: core.ids.Offset;
  giveUpTimer?: core.TimerSubscription;
  /** True when the caller's limit passed while a request with this record was in flight. */
  expired: boolean;
  settled: boolean;
  readonly resolve: (outcome: types.AppendOutcome) => void;
}

/** Creates the writer of one stream. */
export function createWriter(options: WriterOptions): Writer {
  const { stream, log, timers } = options;
  const appendsById = new Map<core.ids.RecordId, PendingAppend>();
  const awaitingRead = new Set<PendingAppend>();
  const backoff = backoffs.createBackoff(
    RETRY_INITIAL_MS,
    RETRY_MAX_MS,
    options.random,
  );
  let queue: PendingAppend[] = [];
  let inFlight: readonly PendingAppend[] = [];
  let replyTimeoutMs = REPLY_TIMEOUT_INITIAL_MS;
  let batchTimer: core.TimerSubscription | undefined;
  let isRetryScheduled = false;
  let closed = false;

  function settleAppend(
    entry: PendingAppend,
    outcome: types.AppendOutcome,
  ): void {
    if (entry.settled) return;
    entry.settled = true;
    entry.giveUpTimer?.end();
    appendsById.delete(entry.record.id);
    awaitingRead.delete(entry);
    entry.resolve(outcome);
  }

  /** Ends an append whose time limit passed, after a grace period if a request with it is in flight. */
  function expireAppend(entry: PendingAppend): void {
    if (!inFlight.includes(entry)) {
      settleUnconfirmed(entry);
      return;
    }
    entry.expired = true;
    entry.giveUpTimer = timers.subscribe(
      { name: `expire ${stream}`, delayMs: IN_FLIGHT_GRACE_MS, repeat: 'once' },
      () => {
        settleUnconfirmed(entry);
      },
    );
  }

  /** Settles an append without waiting any longer: as `unknown` if a copy may be in the log that no reply confirmed. */
  function settleUnconfirmed(entry: PendingAppend): void {
    queue = queue.filter((other) => other !== entry);
    if (entry.confirmedOffset !== undefined)
      settleAppend(entry, {
        outcome: 'appended',
        offset: entry.confirmedOffset,
      });
    else if (entry.replyLost || inFlight.includes(entry))
      settleAppend(entry, { outcome: 'unknown' });
    else settleAppend(entry, { outcome: 'not-appended', reason: 'log-away' });
  }

  function append(
    body: unknown,
    appendOptions: types.AppendOptions,
  ): Promise<types.AppendOutcome> {
    if (closed)
      return Promise.resolve({ outcome: 'not-appended', reason: 'log-away' });
    if (appendsById.size >= options.bufferRecords)
      return Promise.resolve({
        outcome: 'not-appended',
        reason: 'buffer-full',
      });
    return new Promise((resolve) => {
      const record = { id: createRecordId(timers.getDate()), body };
      const entry: PendingAppend = {
        record,
        bytes: Buffer.byteLength(JSON.stringify(record)),
        flushNow: appendOptions.flush === 'now',
        queuedMs: timers.getNow(),
        replyLost: false,
        expired: false,
        settled: false,
        resolve,
      };
      if (appendOptions.giveUpMs !== undefined)
        entry.giveUpTimer = timers.subscribe(
          {
            name: `append ${stream}`,
            delayMs: appendOptions.giveUpMs,
            repeat: 'once',
          },
          () => {
            expireAppend(entry);
          },
        );
      appendsById.set(record.id, entry);
      queue.push(entry);
      scheduleBatch();
    });
  }

  /** Sends a batch if one is due, or else starts a timer until one is. */
  function scheduleBatch(): void {
    if (inFlight.length > 0 || isRetryScheduled || queue.length === 0) return;
    const waitMs = estimateWait();
    if (waitMs <= 0) {
      sendBatch();
      return;
    }
    batchTimer ??= timers.subscribe(
      { name: `batch ${stream}`, delayMs: waitMs, repeat: 'once' },
      () => {
        batchTimer = undefined;
        sendBatch();
      },
    );
  }

  function estimateWait(): number {
    const oldest = queue[0];
    if (oldest === undefined) return BATCH_DELAY_MS;
    let bytes = 0;
    for (const entry of queue) {
      if (entry.flushNow) return 0;
      bytes += entry.bytes;
      if (bytes >= BATCH_BYTES) return 0;
    }
    return oldest.queuedMs + BATCH_DELAY_MS - timers.getNow();
  }

  function takeBatch(): PendingAppend[] {
    let count = 0;
    let bytes = 0;
    for (const entry of queue) {
      if (count > 0 && bytes + entry.bytes > BATCH_BYTES) break;
      count += 1;
      bytes += entry.bytes;
    }
    return queue.splice(0, count);
  }

  function sendBatch(): void {
    if (closed || inFlight.length > 0 || isRetryScheduled || queue.length === 0)
      return;
    batchTimer?.end();
    batchTimer = undefined;
    const batch = takeBatch();
    inFlight = batch;
    const sentMs = timers.getNow();
    const records = batch.map((entry) => entry.record);
    log.append(stream, records, replyTimeoutMs).then(
      (reply) => {
        inFlight = [];
        receiveReply(batch, reply, sentMs);
      },
      (error: unknown) => {
        const cause = error instanceof Error ? error : new Error(String(error));
        inFlight = [];
        receiveReply(batch, { reply: 'lost', cause }, sentMs);
      },
    );
  }

  function receiveReply(
    batch: readonly PendingAppend[],
    reply: types.AppendReply,
    sentMs: number,
  ): void {
    options.recordReply(reply.reply === 'appended', sentMs);
    switch (reply.reply) {
      case 'appended':
        backoff.reset();
        replyTimeoutMs = REPLY_TIMEOUT_INITIAL_MS;
        batch.forEach((entry, at) => {
          handleAppended(entry, reply.first + at);
        });
        scheduleBatch();
        return;
      case 'lost':
        replyTimeoutMs = Math.min(REPLY_TIMEOUT_MAX_MS, replyTimeoutMs * 2);
        for (const entry of batch) entry.replyLost = true;
        scheduleRetry(batch);
        return;
      case 'not-appended':
        scheduleRetry(batch);
        return;
    }
  }

  /** After a lost reply the log may hold an earlier copy, whose offset is known only from reading the stream. */
  function handleAppended(entry: PendingAppend, offset: core.ids.Offset): void {
    if (entry.settled) return;
    if (entry.replyLost && options.hasReader()) {
      entry.confirmedOffset = offset;
      awaitingRead.add(entry);
      return;
    }
    settleAppend(entry, { outcome: 'appended', offset });
  }

  function scheduleRetry(batch: readonly PendingAppend[]): void {
    for (const entry of batch) if (entry.expired) settleUnconfirmed(entry);
    queue = [...batch.filter((entry) => !entry.settled), ...queue];
    isRetryScheduled = true;
    timers.subscribe(
      { name: `retry ${stream}`, delayMs: backoff.next(), repeat: 'once' },
      () => {
        isRetryScheduled = false;
        sendBatch();
      },
    );
  }

  return {
    append,
    confirmRecord(id, offset) {
      const entry = appendsById.get(id);
      if (entry === undefined) return;
      settleAppend(entry, { outcome: 'appended', offset });
      queue = queue.filter((other) => other !== entry);
    },
    confirmBelow(next) {
      for (const entry of [...awaitingRead]) {
        const offset = entry.confirmedOffset;
        if (offset !== undefined && offset < next)
          settleAppend(entry, { outcome: 'appended', offset });
      }
    },
    close() {
      closed = true;
      batchTimer?.end();
      for (const entry of [...appendsById.values()]) settleUnconfirmed(entry);
    },
  };
}

/** Creates a record id: the time, so that ids sort by it, followed by random bytes. */
function createRecordId(dateMs: number): core.ids.RecordId {
  const time = Math.floor(dateMs).toString(36).padStart(9, '0');
  return `${time}${crypto.randomBytes(10).toString('hex')}`;
}
