/** The newest records of one stream, kept in memory for peers that read through this process. */
import type * as core from '@flamingoward/core';

/** Records kept per relayed stream. */
export const RELAY_RECORDS = 2_000;

/** A window on the end of a stream. */
export interface RelayBuffer {
  add(record: core.records.LogRecord<unknown>): void;
  /** A page, or undefined when `from` lies before the window. `next` is the position of the reader. */
  readPage(
    from: core.ids.Offset,
    max: number,
    next: core.ids.Offset,
  ): core.records.RecordPage<unknown> | undefined;
}

/** Creates an empty window. */
export function createRelayBuffer(limit = RELAY_RECORDS): RelayBuffer {
  const records: core.records.LogRecord<unknown>[] = [];

  function add(record: core.records.LogRecord<unknown>): void {
    records.push(record);
    // Dropping in blocks keeps the cost of each record constant.
    if (records.length >= 2 * limit) records.splice(0, limit);
  }

  function readPage(
    from: core.ids.Offset,
    max: number,
    next: core.ids.Offset,
  ): core.records.RecordPage<unknown> | undefined {
    const first = records[0];
    const oldest = first?.offset ?? next;
    if (from < oldest) return undefined;
    const start = findStart(from);
    const page = records.slice(start, start + max);
    return { oldest, next, records: page };
  }

  /** Binary search: offsets rise, with gaps where repeated records were dropped. */
  function findStart(from: core.ids.Offset): number {
    let low = 0;
    let high = records.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      const offset = records[middle]?.offset ?? Infinity;
      if (offset < from) low = middle + 1;
      else high = middle;
    }
    return low;
  }

  return { add, readPage };
}
