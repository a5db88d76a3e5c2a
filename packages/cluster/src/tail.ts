/**
 * Follows a stream: reads what is new since the last read, and the newest record of
 * every key where that is gone. Records are applied in order, each once or more.
 */
import type * as core from '@flamingoward/core';
import type * as ports from './ports.js';

/** Time that a read may take beyond its wait, in ms: far above the round trip between regions. */
const READ_TIMEOUT_MS = 1_000;

/** A stream that is being followed. */
export interface Tail {
  /** Reads until the end of the stream; false when the store didn't answer. */
  refresh(): Promise<boolean>;
  /** Reads once and waits up to `waitMs` for a record. */
  follow(waitMs: number): Promise<boolean>;
  /** Offset of the next record. */
  readNext(): core.ids.Offset;
}

/** What a tail tells. */
export interface TailOptions {
  readonly source: ports.StreamSource;
  readonly apply: (record: ports.KeyedRecord) => void;
  /** All keys were read anew; those not in the set are gone. */
  readonly reset?: (keys: ReadonlySet<string>) => void;
  readonly onFailed: (why: string) => void;
}

/** Creates a tail that begins with the newest record of every key. */
export function createTail(options: TailOptions): Tail {
  let next: core.ids.Offset | undefined;
  let running: Promise<boolean> | undefined;
  let queued: Promise<boolean> | undefined;

  function readNext(): core.ids.Offset {
    return next ?? 0;
  }

  async function readNewest(): Promise<boolean> {
    const result = await options.source.readNewest(READ_TIMEOUT_MS);
    if (result.outcome === 'failed') {
      options.onFailed(result.why);
      return false;
    }
    for (const record of result.records) options.apply(record);
    options.reset?.(new Set(result.records.map(({ key }) => key)));
    next = result.next;
    return true;
  }

  /** Returns whether there is more to read, undefined when the read failed. */
  async function readOnce(waitMs: number): Promise<boolean | undefined> {
    if (next === undefined) return (await readNewest()) ? true : undefined;
    const result = await options.source.read(next, {
      waitMs,
      timeoutMs: READ_TIMEOUT_MS,
    });
    switch (result.outcome) {
      case 'records':
        for (const record of result.records) options.apply(record);
        next = Math.max(readNext(), result.next);
        return next < result.end;
      case 'trimmed':
        next = undefined;
        return true;
      case 'failed':
        options.onFailed(result.why);
        return undefined;
    }
  }

  async function readAll(): Promise<boolean> {
    for (;;) {
      const more = await readOnce(0);
      if (more === undefined) return false;
      if (!more) return true;
    }
  }

  function refresh(): Promise<boolean> {
    // A read that began before this call may miss what was appended meanwhile,
    // so callers share the read that begins next.
    if (queued !== undefined) return queued;
    const current = (running ?? Promise.resolve(true)).then(() => {
      running = current;
      queued = undefined;
      return readAll();
    });
    queued = current;
    void current.then(() => {
      if (running === current) running = undefined;
    });
    return current;
  }

  return {
    refresh,
    async follow(waitMs) {
      if (next === undefined) return refresh();
      return (await readOnce(waitMs)) !== undefined;
    },
    readNext,
  };
}
