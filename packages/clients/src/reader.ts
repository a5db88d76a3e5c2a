/**
 * Reader of one stream: long-polls the log or a relaying peer, drops records with a
 * duplicate id, and continues at the oldest retained record when the next one has been
 * removed by the log's retention. When a peer fails or stalls, it reads from the log.
 */
import * as core from '@flamingoward/core';
import * as backoffs from './backoff.js';
import type * as types from './types.js';

/** Options of a reader. */
export interface ReaderOptions {
  readonly stream: string;
  readonly log: types.LogClient;
  readonly timers: core.TimerService;
  readonly random: () => number;
  /** Called before each read; returns `log` or a peer. */
  readonly chooseSource: (stream: string) => types.RecordSource;
  /** Longest time that a read waits at the log for a new record. */
  readonly waitMs: number;
  /** Called for each new record before it is delivered to observers. */
  readonly onRecord: (id: core.ids.RecordId, offset: core.ids.Offset) => void;
  /** Called after each page with the offset below which everything has been read. */
  readonly onProgress: (next: core.ids.Offset) => void;
  /** Called after each read from the log itself, with the time when the request was sent. */
  readonly recordReply: (answered: boolean, sentMs: number) => void;
}

/** A reader that can be closed. */
export interface OwnedReader extends types.StreamReader<unknown> {
  close(): void;
}

/** Largest number of records in one page. */
const PAGE_RECORDS = 500;
/**
 * Longest time that a read waits at a peer for a new record. A peer that doesn't deliver
 * a known record for half of this time is considered stalled.
 */
const PEER_WAIT_MS = 1_000;
/** Time allowed for a peer's response, in addition to its wait. */
const PEER_RESPONSE_MARGIN_MS = 500;
/** Time during which the log is read directly after a peer failed or stalled. */
const LOG_FALLBACK_MS = 5_000;
/** Pause after a read that returned early without a new record. */
const EMPTY_READ_PAUSE_MS = 20;
/** Backoff between failed reads. */
const RETRY_INITIAL_MS = 50;
const RETRY_MAX_MS = 1_000;
/**
 * Number of recent ids kept to detect duplicates. A retried append writes its duplicate
 * no later than the retry succeeds, so at most the records that all writers append until
 * then lie between the two copies.
 */
const MAX_SEEN_IDS = 32_768;

/** Creates the reader of one stream; it starts reading after the current turn of the event loop. */
export function createReader(options: ReaderOptions): OwnedReader {
  const { stream, log, timers } = options;
  const subject = core.createSubject<core.records.LogRecord<unknown>>();
  const seenIds = new Set<core.ids.RecordId>();
  const waitTargets = new Set<{ offset: number; resolve: () => void }>();
  const backoff = backoffs.createBackoff(
    RETRY_INITIAL_MS,
    RETRY_MAX_MS,
    options.random,
  );
  let nextOffset: core.ids.Offset = 0;
  let headReadMs: number | undefined;
  let skippedBelow: core.ids.Offset | undefined;
  let readLogUntilMs = 0;
  let stalledSinceMs: number | undefined;
  let closed = false;

  function isDuplicate(id: core.ids.RecordId): boolean {
    if (seenIds.has(id)) return true;
    seenIds.add(id);
    if (seenIds.size > MAX_SEEN_IDS) {
      const [oldest] = seenIds;
      if (oldest !== undefined) seenIds.delete(oldest);
    }
    return false;
  }

  /**
   * Delivers the new records of a page that was read from an offset at or below `nextOffset`.
   * `coveredTo` is the offset below which the page leaves out nothing but duplicates.
   */
  function deliver(
    page: core.records.RecordPage<unknown>,
    coveredTo: core.ids.Offset,
  ): void {
    if (page.oldest > nextOffset) {
      nextOffset = page.oldest;
      skippedBelow = nextOffset;
    }
    for (const record of page.records) {
      if (closed) return;
      if (record.offset < nextOffset) continue;
      nextOffset = record.offset + 1;
      if (isDuplicate(record.id)) continue;
      options.onRecord(record.id, record.offset);
      subject.push(record);
    }
    if (coveredTo > nextOffset) nextOffset = coveredTo;
    options.onProgress(nextOffset);
    for (const target of [...waitTargets]) {
      if (target.offset > nextOffset) continue;
      waitTargets.delete(target);
      target.resolve();
    }
  }

  function isBehind(): boolean {
    for (const target of waitTargets)
      if (target.offset > nextOffset) return true;
    return false;
  }

  /** Switches to the log when a peer doesn't reach an offset that is known to exist. */
  function checkPeerProgress(offsetBefore: core.ids.Offset): void {
    if (!isBehind() || nextOffset > offsetBefore) {
      stalledSinceMs = undefined;
      return;
    }
    const nowMs = timers.getNow();
    stalledSinceMs ??= nowMs;
    if (nowMs - stalledSinceMs >= PEER_WAIT_MS / 2)
      readLogUntilMs = nowMs + LOG_FALLBACK_MS;
  }

  async function readLog(
    from: core.ids.Offset,
    waitMs: number,
  ): Promise<core.records.RecordPage<unknown>> {
    const sentMs = timers.getNow();
    try {
      const page = await log.readPage(stream, from, PAGE_RECORDS, waitMs);
      options.recordReply(true, sentMs);
      deliver(page, 0);
      if (nextOffset >= page.next)
        headReadMs = Math.max(headReadMs ?? sentMs, sentMs);
      return page;
    } catch (error) {
      options.recordReply(false, sentMs);
      throw error;
    }
  }

  async function readPeer(source: types.RecordSource): Promise<void> {
    const offsetBefore = nextOffset;
    try {
      const response = source.readPage(
        stream,
        offsetBefore,
        PAGE_RECORDS,
        PEER_WAIT_MS,
      );
      const page = await withTimeLimit(response);
      // A relay leaves out duplicates, so the end of the page isn't its last record but `next`.
      deliver(page, page.next);
      checkPeerProgress(offsetBefore);
    } catch {
      // Whatever the error, the log is read directly for a while.
      readLogUntilMs = timers.getNow() + LOG_FALLBACK_MS;
    }
  }

  function withTimeLimit<Value>(result: Promise<Value>): Promise<Value> {
    const limitMs = PEER_WAIT_MS + PEER_RESPONSE_MARGIN_MS;
    return new Promise((resolve, reject) => {
      const timer = timers.subscribe(
        { name: `relay ${stream}`, delayMs: limitMs, repeat: 'once' },
        () => {
          const origin = { step: `relay.read ${stream}`, peer: 'relay' };
          reject(core.createFault('timeout', origin, String(limitMs)));
        },
      );
      result.then(resolve, reject).finally(() => {
        timer.end();
      });
    });
  }

  async function readOnce(): Promise<void> {
    const source =
      timers.getNow() < readLogUntilMs ? log : options.chooseSource(stream);
    const offsetBefore = nextOffset;
    const sentMs = timers.getNow();
    // The first read returns at once, because a process becomes ready only when it knows the head.
    if (source === log)
      await readLog(nextOffset, headReadMs === undefined ? 0 : options.waitMs);
    else await readPeer(source);
    // Without this pause, a source that returns empty pages at once would be polled in a busy loop.
    if (
      nextOffset === offsetBefore &&
      timers.getNow() - sentMs < EMPTY_READ_PAUSE_MS
    )
      await core.waitFor(timers, `pause ${stream}`, EMPTY_READ_PAUSE_MS);
  }

  async function run(): Promise<void> {
    // Observers subscribe in the turn in which the stream is opened, so reading starts after it.
    await Promise.resolve();
    while (!closed) {
      try {
        await readOnce();
        backoff.reset();
      } catch {
        await core.waitFor(timers, `read ${stream}`, backoff.next());
      }
    }
  }

  function waitFor(offset: core.ids.Offset): Promise<void> {
    if (offset <= nextOffset) return Promise.resolve();
    return new Promise((resolve) => {
      waitTargets.add({ offset, resolve });
    });
  }

  async function waitForHead(): Promise<void> {
    const head = (await readLog(nextOffset, 0)).next;
    while (nextOffset < head && !closed) {
      const offsetBefore = nextOffset;
      await readLog(nextOffset, 0);
      if (nextOffset === offsetBefore) break;
    }
    if (nextOffset < head)
      throw core.createFault(
        'log-away',
        { step: `log.head ${stream}`, peer: 'log' },
        `records from offset ${nextOffset} to ${head} (exclusive) could not be read`,
      );
  }

  void run();
  return {
    records: subject.stream,
    getNextOffset: () => nextOffset,
    getHeadReadMs: () => headReadMs,
    getSkippedBelow: () => skippedBelow,
    waitFor,
    waitForHead,
    close() {
      closed = true;
      subject.end();
    },
  };
}
