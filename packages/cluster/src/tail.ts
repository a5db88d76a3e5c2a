/**
 * Follows a stream: reads the records after the last read or, once those have been
 * trimmed, the newest record of every key. Records are applied in order, at least once.
 */
import * as core from '@flamingoward/core';
import type * as ports from './ports.js';

/** Timeout of a read beyond its wait, in ms; far above the round-trip time between regions. */
const READ_TIMEOUT_MS = 1_000;

/** A stream that is being followed. */
export interface Tail {
  /** Reads to the end of the stream; resolves with false when the store didn't answer. */
  refresh(): Promise<boolean>;
  /** Reads once, waiting up to `waitMs` for a record; resolves with false when the store didn't answer. */
  follow(waitMs: number): Promise<boolean>;
  /** Offset of the next record. */
  getNextOffset(): core.ids.Offset;
}

/** Source and callbacks of a tail. */
export interface TailOptions {
  readonly source: ports.StreamSource;
  readonly apply: (record: ports.KeyedRecord) => void;
  /** Called after all keys were read again; keys not in the set no longer exist. */
  readonly reset?: (keys: ReadonlySet<string>) => void;
  readonly onFailed: (why: string) => void;
}

/** Creates a tail, which first reads the newest record of every key. */
export function createTail(options: TailOptions): Tail {
  let nextOffset: core.ids.Offset | undefined;
  let currentRead: Promise<boolean> | undefined;
  let queuedRead: Promise<boolean> | undefined;

  function getNextOffset(): core.ids.Offset {
    return nextOffset ?? 0;
  }

  async function readNewest(): Promise<boolean> {
    const result = await options.source.readNewest(READ_TIMEOUT_MS);
    if (result.outcome === 'failed') {
      options.onFailed(result.why);
      return false;
    }
    for (const record of result.records) options.apply(record);
    options.reset?.(new Set(result.records.map(({ key }) => key)));
    nextOffset = result.next;
    return true;
  }

  /** Resolves with whether there is more to read; undefined when the read failed. */
  async function readOnce(waitMs: number): Promise<boolean | undefined> {
    try {
      return await readRecords(waitMs);
    } catch (cause) {
      // A rejected read would be the one that all later reads wait for.
      options.onFailed(core.describeError(cause));
      return undefined;
    }
  }

  async function readRecords(waitMs: number): Promise<boolean | undefined> {
    if (nextOffset === undefined)
      return (await readNewest()) ? true : undefined;
    const from = nextOffset;
    const result = await options.source.read(from, {
      waitMs,
      timeoutMs: READ_TIMEOUT_MS,
    });
    switch (result.outcome) {
      case 'records':
        for (const record of result.records) options.apply(record);
        nextOffset = Math.max(getNextOffset(), result.next);
        // A store that tells an end and sends no records up to it isn't asked again at once.
        return result.next > from && nextOffset < result.end;
      case 'trimmed':
        nextOffset = undefined;
        return true;
      case 'failed':
        options.onFailed(result.why);
        return undefined;
    }
  }

  async function readAll(): Promise<boolean> {
    for (;;) {
      const hasMore = await readOnce(0);
      if (hasMore === undefined) return false;
      if (!hasMore) return true;
    }
  }

  function refresh(): Promise<boolean> {
    // A read already in progress may miss records appended before this call, so all
    // callers during it share the read that follows.
    if (queuedRead !== undefined) return queuedRead;
    const current = (currentRead ?? Promise.resolve(true)).then(() => {
      currentRead = current;
      queuedRead = undefined;
      return readAll();
    });
    queuedRead = current;
    void current.then(() => {
      if (currentRead === current) currentRead = undefined;
    });
    return current;
  }

  return {
    refresh,
    async follow(waitMs) {
      if (nextOffset === undefined) return refresh();
      return (await readOnce(waitMs)) !== undefined;
    },
    getNextOffset,
  };
}
