/**
 * The log's streams of one process: a batching writer and a reader for each stream, and
 * the time since which the log hasn't answered any of them.
 */
import type * as core from '@flamingoward/core';
import * as readers from './reader.js';
import type * as types from './types.js';
import * as writers from './writer.js';

/** Options of the streams. */
export interface StreamsOptions {
  readonly log: types.LogClient;
  readonly timers: core.TimerService;
  /** Largest number of records per stream that wait for the log to confirm them. */
  readonly bufferRecords?: number;
  /** Called before each read; returns `log` or a peer. Without it, all reads go to the log. */
  readonly chooseSource?: (stream: string) => types.RecordSource;
  /** Longest time that a read waits at the log, in ms; it bounds the age of the head that readers report. */
  readonly readWaitMs?: (stream: string) => number;
  /** Returns numbers from 0 to 1, for jitter. */
  readonly random?: () => number;
}

/** Buffered records per stream, which bounds the memory used during an outage of the log. */
const DEFAULT_BUFFER_RECORDS = 1_000;

/** Longest time that a read waits at the log for a new record. */
const DEFAULT_READ_WAIT_MS = 2_000;

/** Creates the streams of one process. */
export function createStreams(options: StreamsOptions): types.Streams {
  const { log, timers } = options;
  const random = options.random ?? Math.random;
  const chooseSource = options.chooseSource ?? (() => log);
  const streamWriters = new Map<string, writers.Writer>();
  const streamReaders = new Map<string, readers.OwnedReader>();
  let lastAnsweredMs = 0;
  let unreachableSinceMs: number | undefined;

  function recordReply(answered: boolean, sentMs: number): void {
    if (answered) {
      lastAnsweredMs = Math.max(lastAnsweredMs, timers.getNow());
      unreachableSinceMs = undefined;
      return;
    }
    // A request sent before the last answer doesn't show, by failing, that the log is unreachable now.
    if (sentMs >= lastAnsweredMs) unreachableSinceMs ??= sentMs;
  }

  function ensureWriter(stream: string): writers.Writer {
    const known = streamWriters.get(stream);
    if (known !== undefined) return known;
    const writer = writers.createWriter({
      stream,
      log,
      timers,
      random,
      bufferRecords: options.bufferRecords ?? DEFAULT_BUFFER_RECORDS,
      hasReader: () => streamReaders.has(stream),
      recordReply,
    });
    streamWriters.set(stream, writer);
    return writer;
  }

  function ensureReader(stream: string): readers.OwnedReader {
    const known = streamReaders.get(stream);
    if (known !== undefined) return known;
    const reader = readers.createReader({
      stream,
      log,
      timers,
      random,
      chooseSource,
      waitMs: options.readWaitMs?.(stream) ?? DEFAULT_READ_WAIT_MS,
      onRecord: (id, offset) => {
        streamWriters.get(stream)?.confirmRecord(id, offset);
      },
      onProgress: (next) => {
        streamWriters.get(stream)?.confirmBelow(next);
      },
      recordReply,
    });
    streamReaders.set(stream, reader);
    return reader;
  }

  return {
    append: (stream, body, how) => ensureWriter(stream).append(body, how),
    open: <Body>(stream: string) =>
      // The log holds untyped JSON; the caller knows the type of its stream's records.
      ensureReader(stream) as unknown as types.StreamReader<Body>,
    getUnreachableSinceMs: () => unreachableSinceMs,
    close() {
      for (const writer of streamWriters.values()) writer.close();
      for (const reader of streamReaders.values()) reader.close();
      return log.close();
    },
  };
}
