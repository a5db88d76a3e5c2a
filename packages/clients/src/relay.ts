/**
 * Relay of log records to peers: it serves the records that this process has read, so
 * that only one process of a region reads a stream over the link between regions and the
 * others read from that process.
 */
import * as core from '@flamingoward/core';
import type * as types from './types.js';

/** Options of a relay. */
export interface RelayOptions {
  readonly streams: types.Streams;
  readonly timers: core.TimerService;
  /** Streams to relay. They are opened at once, so the relay must be created before they are read. */
  readonly names: readonly string[];
  /** Number of most recent records kept of each stream. */
  readonly keepRecords?: number;
}

/** A relayed stream with its most recent records. */
interface RelayedStream {
  readonly reader: types.StreamReader<unknown>;
  /** `records` holds every record from this offset on, except duplicates. */
  fromOffset: core.ids.Offset;
  records: core.records.LogRecord<unknown>[];
  readonly waiters: Set<() => void>;
}

/** Number of records kept of each stream when the options don't set it. */
const DEFAULT_KEEP_RECORDS = 2_000;

/**
 * Creates the source from which peers read. A read below the oldest kept record is
 * rejected, and the peer then reads from the log. A page leaves out duplicates; its `next`
 * is the offset below which it leaves out nothing else.
 */
export function createRelay(options: RelayOptions): types.RecordSource {
  const keepRecords = options.keepRecords ?? DEFAULT_KEEP_RECORDS;
  const byName = new Map(
    options.names.map((name) => [name, openRelayed(options.streams, name)]),
  );

  function openRelayed(streams: types.Streams, name: string): RelayedStream {
    const reader = streams.open<unknown>(name);
    const relayed: RelayedStream = {
      reader,
      fromOffset: reader.getNextOffset(),
      records: [],
      waiters: new Set(),
    };
    void reader.records.observe((record) => {
      // Records below the first one that this process read may have been removed from the log.
      if (relayed.records.length === 0) relayed.fromOffset = record.offset;
      relayed.records.push(record);
      if (relayed.records.length > 2 * keepRecords) dropOldest(relayed);
      for (const wake of [...relayed.waiters]) wake();
    });
    return relayed;
  }

  function dropOldest(relayed: RelayedStream): void {
    relayed.records = relayed.records.slice(-keepRecords);
    relayed.fromOffset = relayed.records[0]?.offset ?? relayed.fromOffset;
  }

  function waitForRecord(
    relayed: RelayedStream,
    waitMs: number,
  ): Promise<void> {
    return new Promise((resolve) => {
      const wake = () => {
        timer.end();
        relayed.waiters.delete(wake);
        resolve();
      };
      const timer = options.timers.subscribe(
        { name: 'relay wait', delayMs: waitMs, repeat: 'once' },
        wake,
      );
      relayed.waiters.add(wake);
    });
  }

  async function readPage(
    stream: string,
    from: core.ids.Offset,
    max: number,
    waitMs: number,
  ): Promise<core.records.RecordPage<unknown>> {
    const origin = { step: `relay.read ${stream}`, peer: 'self' };
    const relayed = byName.get(stream);
    if (relayed === undefined)
      throw core.createFault(
        'bad-request',
        origin,
        'this process does not relay the stream',
      );
    if (from >= relayed.reader.getNextOffset() && waitMs > 0)
      await waitForRecord(relayed, waitMs);
    if (from < relayed.fromOffset)
      throw core.createFault(
        'log-below-oldest',
        origin,
        String(relayed.fromOffset),
      );
    const firstIndex = relayed.records.findIndex(
      (record) => record.offset >= from,
    );
    const records =
      firstIndex < 0 ? [] : relayed.records.slice(firstIndex, firstIndex + max);
    const reachesEnd =
      firstIndex < 0 || firstIndex + max >= relayed.records.length;
    const lastOffset = records.at(-1)?.offset ?? from;
    return {
      oldest: relayed.fromOffset,
      next: reachesEnd ? relayed.reader.getNextOffset() : lastOffset + 1,
      records,
    };
  }

  return { readPage };
}
