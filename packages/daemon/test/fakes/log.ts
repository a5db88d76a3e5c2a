/** In-memory log shared by several fake processes, with outages, lost append replies and unreachable processes. */
import * as core from '@flamingoward/core';
import type * as types from '../../src/types.js';

interface StoredStream {
  readonly oldest: number;
  readonly records: core.records.LogRecord<unknown>[];
}

/** Log service with all streams in memory; `isDown` makes it fail for every process. */
export class FakeLog {
  readonly streams = new Map<string, StoredStream>();
  isDown = false;
  private nextRecord = 0;

  getStream(name: string): StoredStream {
    let stored = this.streams.get(name);
    if (stored === undefined) {
      stored = { oldest: 0, records: [] };
      this.streams.set(name, stored);
    }
    return stored;
  }

  append(name: string, body: unknown): number {
    const stored = this.getStream(name);
    const offset = stored.records.length;
    this.nextRecord += 1;
    stored.records.push({ offset, id: `r${String(this.nextRecord)}`, body });
    return offset;
  }
}

/** Log client of one process. */
export interface FakeStreams extends types.Streams {
  /** Whether this process can't reach the log. */
  isCutOff: boolean;
  /** Whether the process is paused; then no records are delivered. */
  isPaused: boolean;
  /** Number of next appends that take effect but whose replies are lost. */
  repliesToLose: number;
  /** Delivers the records that are due; to be called after each step of time. */
  deliverDue(): void;
}

/** Creates the log client of one process. */
export function createFakeStreams(
  log: FakeLog,
  timers: core.TimerService,
  waitMs = 1_000,
): FakeStreams {
  interface OpenReader {
    readonly name: string;
    readonly subject: core.Subject<core.records.LogRecord<unknown>>;
    next: number;
    /** Time at which the current long poll was sent. */
    sentMs: number;
    headMs: number | undefined;
    waiting: { readonly offset: number; readonly resolve: () => void }[];
  }
  const readers = new Map<string, OpenReader>();
  let awaySince: number | undefined;

  const isUnreachable = () => log.isDown || streams.isCutOff;

  function deliverToReader(reader: OpenReader): void {
    const records = log.getStream(reader.name).records;
    const nowMs = timers.getNow();
    // A long poll returns on new records or after its wait; only then the head is known.
    if (reader.next < records.length || nowMs - reader.sentMs >= waitMs) {
      reader.headMs = reader.sentMs;
      reader.sentMs = nowMs;
    }
    while (reader.next < records.length) {
      const record = records[reader.next]!;
      reader.next += 1;
      reader.subject.push(record);
    }
    const due = reader.waiting.filter((waiter) => waiter.offset <= reader.next);
    reader.waiting = reader.waiting.filter(
      (waiter) => waiter.offset > reader.next,
    );
    for (const waiter of due) waiter.resolve();
  }

  const streams: FakeStreams = {
    isCutOff: false,
    isPaused: false,
    repliesToLose: 0,
    append(stream, body) {
      if (isUnreachable())
        return Promise.resolve({ outcome: 'not-appended', reason: 'log-away' });
      const offset = log.append(stream, body);
      if (streams.repliesToLose > 0) {
        streams.repliesToLose -= 1;
        return Promise.resolve({ outcome: 'unknown' });
      }
      return Promise.resolve({ outcome: 'appended', offset });
    },
    open<Body>(stream: string): types.StreamReader<Body> {
      let open = readers.get(stream);
      if (open === undefined) {
        open = {
          name: stream,
          subject: core.createSubject(),
          next: 0,
          sentMs: timers.getNow() - waitMs,
          headMs: undefined,
          waiting: [],
        };
        readers.set(stream, open);
      }
      const reader = open;
      return {
        records: reader.subject.stream as types.StreamReader<Body>['records'],
        getNextOffset: () => reader.next,
        getHeadReadMs: () => reader.headMs,
        waitFor: (offset) =>
          offset <= reader.next
            ? Promise.resolve()
            : new Promise((resolve) => {
                reader.waiting.push({ offset, resolve });
              }),
        waitForHead: () => {
          if (isUnreachable())
            return Promise.reject(
              core.createFault(
                'log-away',
                { step: 'test', peer: 'log' },
                'down',
              ),
            );
          const offset = log.getStream(stream).records.length;
          return offset <= reader.next
            ? Promise.resolve()
            : new Promise((resolve) => {
                reader.waiting.push({ offset, resolve });
              });
        },
      };
    },
    getUnreachableSinceMs: () => awaySince,
    close: () => Promise.resolve(),
    deliverDue() {
      if (streams.isPaused) return;
      if (isUnreachable()) {
        awaySince ??= timers.getNow();
        return;
      }
      awaySince = undefined;
      for (const open of readers.values()) deliverToReader(open);
    },
  };
  return streams;
}
