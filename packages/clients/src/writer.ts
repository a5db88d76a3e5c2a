/**
 * Group append to one stream: batches of a few ms, one append under way at a time,
 * and retries under the same ids until the outcome is certain or the caller gives up.
 */
import * as crypto from 'node:crypto';
import * as core from '@flamingoward/core';
import * as backoffs from './backoff.js';
import type * as types from './types.js';

/** What a writer needs. */
export interface WriterOptions {
  readonly stream: string;
  readonly log: types.LogClient;
  readonly timers: core.TimerService;
  readonly random: () => number;
  /** Largest number of records that wait or are under way. */
  readonly bufferRecords: number;
  /** Tells whether the stream is read in this process, so that reading confirms appends. */
  readonly isOpen: () => boolean;
  /** Called after each try; the time is when the request was sent. */
  readonly noteReply: (answered: boolean, sentMs: number) => void;
}

/** Group append to one stream. */
export interface Writer {
  append(
    body: unknown,
    options: types.AppendOptions,
  ): Promise<types.AppendOutcome>;
  /** Confirms an append whose record was read from the log. */
  noteRecord(id: core.ids.RecordId, offset: core.ids.Offset): void;
  /** Says that everything below an offset was read. */
  noteProgress(next: core.ids.Offset): void;
  close(): void;
}

/** Longest time that a record waits for others. */
const BATCH_MS = 5;
/** Size of the records of one append. */
const BATCH_BYTES = 64 * 1024;
/** Delays between tries. */
const RETRY_FIRST_MS = 50;
const RETRY_MAX_MS = 2_000;
/** How long a request under way may still decide after its caller gave up. */
const GRACE_MS = 500;
/** Time for an answer; it grows after each lost reply, because the log may be slow. */
const REPLY_FIRST_MS = 1_500;
const REPLY_MAX_MS = 12_000;

interface Entry {
  readonly record: types.NewRecord;
  readonly bytes: number;
  readonly urgent: boolean;
  readonly queuedMs: number;
  /** True once a request with this record was sent and its reply lost. */
  doubtful: boolean;
  /** Offset of the copy that a reply confirmed after a lost one. */
  confirmedAt?: core.ids.Offset;
  giveUp?: core.TimerSubscription;
  /** The caller gave up while a request with this record was under way. */
  expired: boolean;
  settled: boolean;
  readonly resolve: (outcome: types.AppendOutcome) => void;
}

/** Creates the writer of one stream. */
export function createWriter(options: WriterOptions): Writer {
  const { stream, log, timers } = options;
  const byId = new Map<core.ids.RecordId, Entry>();
  const confirming = new Set<Entry>();
  const backoff = backoffs.createBackoff(
    RETRY_FIRST_MS,
    RETRY_MAX_MS,
    options.random,
  );
  let queue: Entry[] = [];
  let underWay: readonly Entry[] = [];
  let replyMs = REPLY_FIRST_MS;
  let wake: core.TimerSubscription | undefined;
  let retrying = false;
  let closed = false;

  function resolveEntry(entry: Entry, outcome: types.AppendOutcome): void {
    if (entry.settled) return;
    entry.settled = true;
    entry.giveUp?.end();
    byId.delete(entry.record.id);
    confirming.delete(entry);
    entry.resolve(outcome);
  }

  /** Ends an append whose caller gave up; a request under way may still tell. */
  function expireEntry(entry: Entry): void {
    if (!underWay.includes(entry)) {
      endExpired(entry);
      return;
    }
    entry.expired = true;
    entry.giveUp = timers.subscribe(
      { name: `expire ${stream}`, delayMs: GRACE_MS, repeat: 'once' },
      () => {
        endExpired(entry);
      },
    );
  }

  function endExpired(entry: Entry): void {
    queue = queue.filter((other) => other !== entry);
    if (entry.confirmedAt !== undefined)
      resolveEntry(entry, { outcome: 'appended', offset: entry.confirmedAt });
    else if (entry.doubtful || underWay.includes(entry))
      resolveEntry(entry, { outcome: 'unknown' });
    else resolveEntry(entry, { outcome: 'not-appended', reason: 'log-away' });
  }

  function append(
    body: unknown,
    how: types.AppendOptions,
  ): Promise<types.AppendOutcome> {
    if (closed)
      return Promise.resolve({ outcome: 'not-appended', reason: 'log-away' });
    if (byId.size >= options.bufferRecords)
      return Promise.resolve({
        outcome: 'not-appended',
        reason: 'buffer-full',
      });
    return new Promise((resolve) => {
      const record = { id: createRecordId(timers.readDate()), body };
      const entry: Entry = {
        record,
        bytes: Buffer.byteLength(JSON.stringify(record)),
        urgent: how.flush === 'now',
        queuedMs: timers.readNow(),
        doubtful: false,
        expired: false,
        settled: false,
        resolve,
      };
      if (how.giveUpMs !== undefined)
        entry.giveUp = timers.subscribe(
          { name: `append ${stream}`, delayMs: how.giveUpMs, repeat: 'once' },
          () => {
            expireEntry(entry);
          },
        );
      byId.set(record.id, entry);
      queue.push(entry);
      schedule();
    });
  }

  /** Sends now when a batch is due, or sets a timer for when it will be. */
  function schedule(): void {
    if (underWay.length > 0 || retrying || queue.length === 0) return;
    const waitMs = estimateWait();
    if (waitMs <= 0) {
      sendBatch();
      return;
    }
    wake ??= timers.subscribe(
      { name: `batch ${stream}`, delayMs: waitMs, repeat: 'once' },
      () => {
        wake = undefined;
        sendBatch();
      },
    );
  }

  function estimateWait(): number {
    const oldest = queue[0];
    if (oldest === undefined) return BATCH_MS;
    let bytes = 0;
    for (const entry of queue) {
      if (entry.urgent) return 0;
      bytes += entry.bytes;
      if (bytes >= BATCH_BYTES) return 0;
    }
    return oldest.queuedMs + BATCH_MS - timers.readNow();
  }

  function takeBatch(): Entry[] {
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
    if (closed || underWay.length > 0 || retrying || queue.length === 0) return;
    wake?.end();
    wake = undefined;
    const batch = takeBatch();
    underWay = batch;
    const sentMs = timers.readNow();
    const records = batch.map((entry) => entry.record);
    log.append(stream, records, replyMs).then(
      (reply) => {
        underWay = [];
        receiveReply(batch, reply, sentMs);
      },
      (error: unknown) => {
        const cause = error instanceof Error ? error : new Error(String(error));
        underWay = [];
        receiveReply(batch, { reply: 'lost', cause }, sentMs);
      },
    );
  }

  function receiveReply(
    batch: readonly Entry[],
    reply: types.AppendReply,
    sentMs: number,
  ): void {
    options.noteReply(reply.reply === 'appended', sentMs);
    switch (reply.reply) {
      case 'appended':
        backoff.reset();
        replyMs = REPLY_FIRST_MS;
        batch.forEach((entry, at) => {
          handleConfirmed(entry, reply.first + at);
        });
        schedule();
        return;
      case 'lost':
        replyMs = Math.min(REPLY_MAX_MS, replyMs * 2);
        for (const entry of batch) entry.doubtful = true;
        retryLater(batch);
        return;
      case 'not-appended':
        retryLater(batch);
        return;
    }
  }

  /** After a lost reply there may be an earlier copy, whose offset only reading tells. */
  function handleConfirmed(entry: Entry, offset: core.ids.Offset): void {
    if (entry.settled) return;
    if (entry.doubtful && options.isOpen()) {
      entry.confirmedAt = offset;
      confirming.add(entry);
      return;
    }
    resolveEntry(entry, { outcome: 'appended', offset });
  }

  function retryLater(batch: readonly Entry[]): void {
    for (const entry of batch) if (entry.expired) endExpired(entry);
    queue = [...batch.filter((entry) => !entry.settled), ...queue];
    retrying = true;
    timers.subscribe(
      { name: `retry ${stream}`, delayMs: backoff.next(), repeat: 'once' },
      () => {
        retrying = false;
        sendBatch();
      },
    );
  }

  return {
    append,
    noteRecord(id, offset) {
      const entry = byId.get(id);
      if (entry === undefined) return;
      resolveEntry(entry, { outcome: 'appended', offset });
      queue = queue.filter((other) => other !== entry);
    },
    noteProgress(next) {
      for (const entry of [...confirming]) {
        const offset = entry.confirmedAt;
        if (offset !== undefined && offset < next)
          resolveEntry(entry, { outcome: 'appended', offset });
      }
    },
    close() {
      closed = true;
      wake?.end();
      for (const entry of [...byId.values()]) endExpired(entry);
    },
  };
}

/** Creates an id whose first part orders by time and whose second part is random. */
function createRecordId(dateMs: number): core.ids.RecordId {
  const time = Math.floor(dateMs).toString(36).padStart(9, '0');
  return `${time}${crypto.randomBytes(10).toString('hex')}`;
}
