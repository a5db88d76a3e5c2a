/**
 * Serves the records that this process reads to its peers, so that one process of a
 * region reads a stream over the link between regions and the others read from it.
 */
import * as core from '@flamingoward/core';
import type * as types from './types.js';

/** What a relay needs. */
export interface RelayOptions {
  readonly streams: types.Streams;
  readonly timers: core.TimerService;
  /** Streams to relay; they are opened now, so create the relay before they are read. */
  readonly names: readonly string[];
  /** Records kept of each stream. */
  readonly keepRecords?: number;
}

interface Kept {
  readonly reader: types.StreamReader<unknown>;
  /** Everything from this offset on is in `records`, except repeats. */
  from: core.ids.Offset;
  records: core.records.LogRecord<unknown>[];
  readonly waiting: Set<() => void>;
}

/** Records kept of each stream. */
const KEEP_RECORDS = 2_000;

/**
 * Creates the source that answers peers. A read below what is kept is refused, and the
 * peer then reads from the log. `next` of a page says how far the page reaches.
 */
export function createRelay(options: RelayOptions): types.RecordSource {
  const keepRecords = options.keepRecords ?? KEEP_RECORDS;
  const byName = new Map(
    options.names.map((name) => [name, openKept(options.streams, name)]),
  );

  function openKept(streams: types.Streams, name: string): Kept {
    const reader = streams.open<unknown>(name);
    const kept: Kept = {
      reader,
      from: reader.readNext(),
      records: [],
      waiting: new Set(),
    };
    void reader.records.observe((record) => {
      // Records that the log dropped before this process read them are not kept.
      if (kept.records.length === 0) kept.from = record.offset;
      kept.records.push(record);
      if (kept.records.length > 2 * keepRecords) dropOldest(kept);
      for (const wake of [...kept.waiting]) wake();
    });
    return kept;
  }

  function dropOldest(kept: Kept): void {
    kept.records = kept.records.slice(-keepRecords);
    kept.from = kept.records[0]?.offset ?? kept.from;
  }

  function waitForRecord(kept: Kept, waitMs: number): Promise<void> {
    return new Promise((resolve) => {
      const wake = () => {
        limit.end();
        kept.waiting.delete(wake);
        resolve();
      };
      const limit = options.timers.subscribe(
        { name: 'relay wait', delayMs: waitMs, repeat: 'once' },
        wake,
      );
      kept.waiting.add(wake);
    });
  }

  async function readPage(
    stream: string,
    from: core.ids.Offset,
    max: number,
    waitMs: number,
  ): Promise<core.records.RecordPage<unknown>> {
    const origin = { step: `relay.read ${stream}`, peer: 'self' };
    const kept = byName.get(stream);
    if (kept === undefined)
      throw core.createFault('bad-request', origin, 'stream is not relayed');
    if (from >= kept.reader.readNext() && waitMs > 0)
      await waitForRecord(kept, waitMs);
    if (from < kept.from)
      throw core.createFault('log-below-oldest', origin, String(kept.from));
    const first = kept.records.findIndex((record) => record.offset >= from);
    const records = first < 0 ? [] : kept.records.slice(first, first + max);
    const isWhole = first < 0 || first + max >= kept.records.length;
    const last = records.at(-1)?.offset ?? from;
    return {
      oldest: kept.from,
      next: isWhole ? kept.reader.readNext() : last + 1,
      records,
    };
  }

  return { readPage };
}
