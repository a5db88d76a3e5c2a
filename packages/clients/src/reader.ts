/**
 * Reading one stream: long polls to a source, repeated ids dropped, and a fresh
 * start at the oldest record when the next one is gone.
 */
import * as core from '@flamingoward/core';
import * as backoffs from './backoff.js';
import type * as types from './types.js';

/** What a reader needs. */
export interface ReaderOptions {
  readonly stream: string;
  readonly log: types.LogClient;
  readonly timers: core.TimerService;
  readonly random: () => number;
  /** Asked before each read. */
  readonly chooseSource: (stream: string) => types.RecordSource;
  /** Longest wait of a read at the log, in ms. */
  readonly waitMs: number;
  /** Called for each new record before observers get it. */
  readonly noteRecord: (id: core.ids.RecordId, offset: core.ids.Offset) => void;
  readonly noteProgress: (next: core.ids.Offset) => void;
  /** Called after each read from the log itself; the time is when the request was sent. */
  readonly noteReply: (answered: boolean, sentMs: number) => void;
}

/** A reader that can be closed. */
export interface OwnedReader extends types.StreamReader<unknown> {
  close(): void;
}

/** Records of one page. */
const PAGE_RECORDS = 500;
/** Longest wait of a read at a peer, and how long a peer may make no progress. */
const PEER_WAIT_MS = 1_000;
/** Time for a peer's answer beyond the wait. */
const PEER_MARGIN_MS = 500;
/** Time for which the log is read directly after a peer failed. */
const FALLBACK_MS = 5_000;
/** Shortest time between two reads that bring nothing new. */
const IDLE_PAUSE_MS = 20;
/** Delays between failed reads. */
const RETRY_FIRST_MS = 50;
const RETRY_MAX_MS = 1_000;
/**
 * How many ids are remembered to drop repeats. A repeat follows its first copy by
 * no more than what all writers append until a retry succeeds.
 */
const REMEMBERED_IDS = 32_768;

/** Creates the reader of one stream and begins to read in a later turn. */
export function createReader(options: ReaderOptions): OwnedReader {
  const { stream, log, timers } = options;
  const subject = core.createSubject<core.records.LogRecord<unknown>>();
  const seen = new Set<core.ids.RecordId>();
  const targets = new Set<{ offset: number; resolve: () => void }>();
  const backoff = backoffs.createBackoff(
    RETRY_FIRST_MS,
    RETRY_MAX_MS,
    options.random,
  );
  let next: core.ids.Offset = 0;
  let headMs: number | undefined;
  let skipped: core.ids.Offset | undefined;
  let logUntilMs = 0;
  let behindSinceMs: number | undefined;
  let closed = false;

  function isRepeat(id: core.ids.RecordId): boolean {
    if (seen.has(id)) return true;
    seen.add(id);
    if (seen.size > REMEMBERED_IDS) {
      const [oldest] = seen;
      if (oldest !== undefined) seen.delete(oldest);
    }
    return false;
  }

  /**
   * Delivers what is new in a page that was read from an offset at or below `next`.
   * `reach` is the offset up to which the page says everything.
   */
  function deliver(
    page: core.records.RecordPage<unknown>,
    reach: core.ids.Offset,
  ): void {
    if (page.oldest > next) {
      next = page.oldest;
      skipped = next;
    }
    for (const record of page.records) {
      if (closed) return;
      if (record.offset < next) continue;
      next = record.offset + 1;
      if (isRepeat(record.id)) continue;
      options.noteRecord(record.id, record.offset);
      subject.push(record);
    }
    if (reach > next) next = reach;
    options.noteProgress(next);
    for (const target of [...targets]) {
      if (target.offset > next) continue;
      targets.delete(target);
      target.resolve();
    }
  }

  function isBehind(): boolean {
    for (const target of targets) if (target.offset > next) return true;
    return false;
  }

  /** A peer that doesn't reach an offset known to exist is left for the log. */
  function checkProgress(before: core.ids.Offset): void {
    if (!isBehind() || next > before) {
      behindSinceMs = undefined;
      return;
    }
    const nowMs = timers.readNow();
    behindSinceMs ??= nowMs;
    if (nowMs - behindSinceMs >= PEER_WAIT_MS / 2)
      logUntilMs = nowMs + FALLBACK_MS;
  }

  async function readLog(
    from: core.ids.Offset,
    waitMs: number,
  ): Promise<core.records.RecordPage<unknown>> {
    const sentMs = timers.readNow();
    try {
      const page = await log.readPage(stream, from, PAGE_RECORDS, waitMs);
      options.noteReply(true, sentMs);
      deliver(page, 0);
      if (next >= page.next) headMs = Math.max(headMs ?? sentMs, sentMs);
      return page;
    } catch (error) {
      options.noteReply(false, sentMs);
      throw error;
    }
  }

  async function readPeer(source: types.RecordSource): Promise<void> {
    const before = next;
    try {
      const answer = source.readPage(
        stream,
        before,
        PAGE_RECORDS,
        PEER_WAIT_MS,
      );
      const page = await withTimeLimit(answer);
      // A relay leaves repeats out, so its records alone don't tell how far it reaches.
      deliver(page, page.next);
      checkProgress(before);
    } catch {
      // The reason doesn't matter: the log is read next.
      logUntilMs = timers.readNow() + FALLBACK_MS;
    }
  }

  function withTimeLimit<Value>(answer: Promise<Value>): Promise<Value> {
    const limitMs = PEER_WAIT_MS + PEER_MARGIN_MS;
    return new Promise((resolve, reject) => {
      const limit = timers.subscribe(
        { name: `relay ${stream}`, delayMs: limitMs, repeat: 'once' },
        () => {
          const origin = { step: `relay.read ${stream}`, peer: 'relay' };
          reject(core.createFault('timeout', origin, String(limitMs)));
        },
      );
      answer.then(resolve, reject).finally(() => {
        limit.end();
      });
    });
  }

  async function readOnce(): Promise<void> {
    const chosen =
      timers.readNow() < logUntilMs ? log : options.chooseSource(stream);
    const before = next;
    const sentMs = timers.readNow();
    // The first read doesn't wait: a process isn't ready before it knows the head.
    if (chosen === log)
      await readLog(next, headMs === undefined ? 0 : options.waitMs);
    else await readPeer(chosen);
    // A source that doesn't wait would otherwise be asked without pause.
    if (next === before && timers.readNow() - sentMs < IDLE_PAUSE_MS)
      await core.waitFor(timers, `pause ${stream}`, IDLE_PAUSE_MS);
  }

  async function run(): Promise<void> {
    // Observers subscribe in the turn in which the stream is opened.
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
    if (offset <= next) return Promise.resolve();
    return new Promise((resolve) => {
      targets.add({ offset, resolve });
    });
  }

  async function waitForHead(): Promise<void> {
    const head = (await readLog(next, 0)).next;
    while (next < head && !closed) {
      const before = next;
      await readLog(next, 0);
      if (next === before) break;
    }
    if (next < head)
      throw core.createFault(
        'log-away',
        { step: `log.head ${stream}`, peer: 'log' },
        `records ${next} to ${head} are missing`,
      );
  }

  void run();
  return {
    records: subject.stream,
    readNext: () => next,
    readHeadMs: () => headMs,
    readSkipped: () => skipped,
    waitFor,
    waitForHead,
    close() {
      closed = true;
      subject.end();
    },
  };
}
