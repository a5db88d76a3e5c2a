/** An in-memory log shared by several fake processes, with outages, lost replies and cuts. */
import * as core from '@flamingoward/core';
import type * as types from '../../src/types.js';

interface Stored {
  readonly oldest: number;
  readonly records: core.records.LogRecord<unknown>[];
}

/** The log service. */
export class FakeLog {
  readonly streams = new Map<string, Stored>();
  isDown = false;
  private nextRecord = 0;

  read(name: string): Stored {
    let stored = this.streams.get(name);
    if (stored === undefined) {
      stored = { oldest: 0, records: [] };
      this.streams.set(name, stored);
    }
    return stored;
  }

  append(name: string, body: unknown): number {
    const stored = this.read(name);
    const offset = stored.records.length;
    this.nextRecord += 1;
    stored.records.push({ offset, id: `r${String(this.nextRecord)}`, body });
    return offset;
  }
}

/** One process's access to the log. */
export interface FakeStreams extends types.Streams {
  /** True: this process can't reach the log. */
  isCut: boolean;
  /** True: the process is paused; nothing is delivered. */
  isPaused: boolean;
  /** Replies of appends that are lost after the append took effect. */
  loseReplies: number;
  /** Delivers what is due; call after each step of time. */
  pump(): void;
}

/** Creates the access of one process. */
export function createFakeStreams(
  log: FakeLog,
  timers: core.TimerService,
  waitMs = 1_000,
): FakeStreams {
  interface Open {
    readonly name: string;
    readonly subject: core.Subject<core.records.LogRecord<unknown>>;
    next: number;
    /** When the long poll under way was sent. */
    sentMs: number;
    headMs: number | undefined;
    waiting: { readonly offset: number; readonly resolve: () => void }[];
  }
  const readers = new Map<string, Open>();
  let awaySince: number | undefined;

  const isAway = () => log.isDown || streams.isCut;

  function pumpReader(open: Open): void {
    const records = log.read(open.name).records;
    const nowMs = timers.readNow();
    // A long poll answers with records or after its wait; only then the head is known.
    if (open.next < records.length || nowMs - open.sentMs >= waitMs) {
      open.headMs = open.sentMs;
      open.sentMs = nowMs;
    }
    while (open.next < records.length) {
      const record = records[open.next]!;
      open.next += 1;
      open.subject.push(record);
    }
    const ready = open.waiting.filter((wait) => wait.offset <= open.next);
    open.waiting = open.waiting.filter((wait) => wait.offset > open.next);
    for (const wait of ready) wait.resolve();
  }

  const streams: FakeStreams = {
    isCut: false,
    isPaused: false,
    loseReplies: 0,
    append(stream, body) {
      if (isAway())
        return Promise.resolve({ outcome: 'not-appended', reason: 'log-away' });
      const offset = log.append(stream, body);
      if (streams.loseReplies > 0) {
        streams.loseReplies -= 1;
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
          sentMs: timers.readNow() - waitMs,
          headMs: undefined,
          waiting: [],
        };
        readers.set(stream, open);
      }
      const reader = open;
      return {
        records: reader.subject.stream as types.StreamReader<Body>['records'],
        readNext: () => reader.next,
        readHeadMs: () => reader.headMs,
        waitFor: (offset) =>
          offset <= reader.next
            ? Promise.resolve()
            : new Promise((resolve) => {
                reader.waiting.push({ offset, resolve });
              }),
        waitForHead: () => {
          if (isAway())
            return Promise.reject(
              core.createFault(
                'log-away',
                { step: 'test', peer: 'log' },
                'down',
              ),
            );
          const offset = log.read(stream).records.length;
          return offset <= reader.next
            ? Promise.resolve()
            : new Promise((resolve) => {
                reader.waiting.push({ offset, resolve });
              });
        },
      };
    },
    readAwaySince: () => awaySince,
    close: () => Promise.resolve(),
    pump() {
      if (streams.isPaused) return;
      if (isAway()) {
        awaySince ??= timers.readNow();
        return;
      }
      awaySince = undefined;
      for (const open of readers.values()) pumpReader(open);
    },
  };
  return streams;
}
