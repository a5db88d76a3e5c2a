/** Fakes of the dependencies of the releases part and the operators' address. */
import * as core from '@flamingoward/core';
import type * as types from '../src/types.js';

/** A log stream whose records tests deliver explicitly; appends can be made to fail. */
export interface FakeLog extends types.Streams {
  /** How the log answers from now on. */
  mode: 'answers' | 'relayed' | 'loses-replies' | 'away';
  readonly records: core.records.LogRecord<unknown>[];
  /** Offset of the oldest record kept. */
  oldest: number;
  /** Delivers all records to all readers. */
  deliver(): void;
}

interface FakeReader {
  next: number;
  headMs: number | undefined;
  skipped: number | undefined;
  readonly subject: core.Subject<core.records.LogRecord<unknown>>;
}

export function createFakeLog(timers: core.TimerService): FakeLog {
  const readers: FakeReader[] = [];
  const log: FakeLog = {
    mode: 'answers',
    records: [],
    oldest: 0,
    deliver() {
      if (log.mode === 'away') return;
      for (const reader of readers) deliverTo(reader);
    },
    append(_, body) {
      if (log.mode === 'away')
        return Promise.resolve({ outcome: 'not-appended', reason: 'log-away' });
      const offset = log.records.length;
      log.records.push({ offset, id: `r${offset}`, body });
      if (log.mode === 'loses-replies')
        return Promise.resolve({ outcome: 'unknown' });
      return Promise.resolve({ outcome: 'appended', offset });
    },
    open: <Body>() => {
      const reader: FakeReader = {
        next: 0,
        headMs: undefined,
        skipped: undefined,
        subject: core.createSubject(),
      };
      readers.push(reader);
      return {
        records: reader.subject.stream,
        getNextOffset: () => reader.next,
        getHeadReadMs: () => reader.headMs,
        getSkippedBelow: () => reader.skipped,
        waitFor: () => Promise.resolve(),
        waitForHead: () => readHead(reader),
      } as unknown as types.StreamReader<Body>;
    },
    getUnreachableSinceMs: () => (log.mode === 'away' ? 0 : undefined),
    close: () => Promise.resolve(),
  };

  function deliverTo(reader: FakeReader): void {
    if (reader.next < log.oldest) reader.skipped = log.oldest;
    reader.next = Math.max(reader.next, log.oldest);
    for (const record of log.records.slice(reader.next)) {
      reader.next = record.offset + 1;
      reader.subject.push(record);
    }
    // Records that come through a relay don't show where the head of the log is.
    if (log.mode !== 'relayed') reader.headMs = timers.getNow();
  }

  function readHead(reader: FakeReader): Promise<void> {
    if (log.mode === 'away')
      return Promise.reject(new Error('log unreachable'));
    deliverTo(reader);
    reader.headMs = timers.getNow();
    return Promise.resolve();
  }

  return log;
}

/** Builds the context of a part, with a logger and metrics that discard what they get. */
export function buildContext(
  timers: core.TimerService,
  name: string,
): types.PartContext {
  return {
    identity: {
      name,
      instance: `${name}#1`,
      region: 'muscat',
      availabilityZone: 'muscat-a',
      linksAddress: '127.0.0.1:7002',
    },
    timers,
    log: { write: () => undefined },
    metrics: {
      count: () => undefined,
      record: () => undefined,
      set: () => undefined,
      render: () => 'releases 1\n',
    },
  };
}

/** Builds a live, ready peer. */
export function buildPeer(
  name: string,
  heardMs: number,
  releaseOffset: number,
): types.PeerView {
  return {
    name,
    instance: `${name}#1`,
    region: 'muscat',
    availabilityZone: 'muscat-a',
    heardMs,
    health: 'live',
    ended: false,
    heartbeat: {
      kind: 'heartbeat',
      instance: `${name}#1`,
      state: 'ready',
      releaseOffset,
      claimsOffset: 0,
      shards: [],
      leaving: [],
      logAway: false,
      teamUse: [],
    },
  };
}

/** A membership whose lists are set by the tests. */
export function createFakeMembership(): types.Membership & {
  peers: types.PeerView[];
  vms: core.workers.VmRecord[];
} {
  const membership = {
    peers: [] as types.PeerView[],
    vms: [] as core.workers.VmRecord[],
    listVms: () => membership.vms,
    listPeers: () => membership.peers,
    listCandidates: () => [],
    changes: core.createSubject<'vms' | 'peers'>().stream,
  };
  return membership;
}

/** Links that deliver questions to the handlers registered by the other fakes. */
export class FakeNetwork {
  readonly handlers = new Map<
    string,
    (question: never, from: string) => Promise<core.messages.Answer>
  >();

  buildLinks(instance: string): types.Links {
    return {
      ask: (peer, question) => {
        const handler = this.handlers.get(`${peer} ${question.kind}`);
        if (handler === undefined)
          return Promise.reject(new Error('the connection was closed'));
        return handler(question as never, instance);
      },
      notify: () => undefined,
      handle: (kind, handler) => {
        this.handlers.set(`${instance} ${kind}`, handler);
      },
      notices: core.createSubject<never>().stream,
      close: () => Promise.resolve(),
    };
  }
}
