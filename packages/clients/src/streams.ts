/** The log's streams as one process uses them: group append and readers. */
import type * as core from '@flamingoward/core';
import * as readers from './reader.js';
import type * as types from './types.js';
import * as writers from './writer.js';

/** What the streams need. */
export interface StreamsOptions {
  readonly log: types.LogClient;
  readonly timers: core.TimerService;
  /** Largest number of records per stream that wait for the log. */
  readonly bufferRecords?: number;
  /** Asked before each read; returns `log` or a peer. Without it the log is read. */
  readonly chooseSource?: (stream: string) => types.RecordSource;
  /** Longest wait of a read at the log, in ms; bounds the age of what readHeadMs says. */
  readonly readWaitMs?: (stream: string) => number;
  /** Returns numbers from 0 to 1, for jitter. */
  readonly random?: () => number;
}

/** Records per stream that wait for the log during an outage. */
const BUFFER_RECORDS = 1_000;

/** Longest wait of a read at the log, in ms. */
const READ_WAIT_MS = 2_000;

/** Creates the streams of one process. */
export function createStreams(options: StreamsOptions): types.Streams {
  const { log, timers } = options;
  const random = options.random ?? Math.random;
  const chooseSource = options.chooseSource ?? (() => log);
  const streamWriters = new Map<string, writers.Writer>();
  const streamReaders = new Map<string, readers.OwnedReader>();
  let answeredMs = 0;
  let awaySinceMs: number | undefined;

  function noteReply(answered: boolean, sentMs: number): void {
    if (answered) {
      answeredMs = Math.max(answeredMs, timers.readNow());
      awaySinceMs = undefined;
      return;
    }
    // A failed request that was sent before the last answer says nothing new.
    if (sentMs >= answeredMs) awaySinceMs ??= sentMs;
  }

  function ensureWriter(stream: string): writers.Writer {
    const known = streamWriters.get(stream);
    if (known !== undefined) return known;
    const writer = writers.createWriter({
      stream,
      log,
      timers,
      random,
      bufferRecords: options.bufferRecords ?? BUFFER_RECORDS,
      isOpen: () => streamReaders.has(stream),
      noteReply,
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
      waitMs: options.readWaitMs?.(stream) ?? READ_WAIT_MS,
      noteRecord: (id, offset) => {
        streamWriters.get(stream)?.noteRecord(id, offset);
      },
      noteProgress: (next) => {
        streamWriters.get(stream)?.noteProgress(next);
      },
      noteReply,
    });
    streamReaders.set(stream, reader);
    return reader;
  }

  return {
    append: (stream, body, how) => ensureWriter(stream).append(body, how),
    open: <Body>(stream: string) =>
      // The log holds JSON; the caller knows what its stream holds.
      ensureReader(stream) as unknown as types.StreamReader<Body>,
    readAwaySince: () => awaySinceMs,
    close() {
      for (const writer of streamWriters.values()) writer.close();
      for (const reader of streamReaders.values()) reader.close();
      return log.close();
    },
  };
}
