/**
 * One reader per region and stream: the first-ranked process of a region reads a
 * stream from the log and its peers read it from that process, so each record
 * crosses the link between regions once. Claims aren't relayed, because a process
 * must know itself how fresh its claims are.
 */
import * as core from '@flamingoward/core';
import type * as platform from '@flamingoward/platform';
import type * as types from '../types.js';
import * as buffers from './buffer.js';

/** Streams that are relayed. */
export const RELAYED_STREAMS: readonly string[] = ['releases', 'jobs', 'keys'];

/** Time beyond the wait after which a question to the relay fails, in ms. */
const ASK_MARGIN_MS = 500;

/** Age of the last read of the log's head from which on a relay answers no peer, in ms. */
const RELAY_FRESH_MS = 3_500;

/** What the relay needs. */
export interface RelayOptions {
  readonly context: types.PartContext;
  readonly links: types.Links;
  readonly membership: types.Membership;
  readonly log: platform.RecordSource;
}

/** The relay of one process. */
export interface Relay extends types.Dumpable {
  /** Chooses where to read a stream: the log, or the region's relay of that stream. */
  chooseSource(stream: string): platform.RecordSource;
  /** Collects the records of a stream for peers; call in the turn that opens the reader. */
  attach(stream: string, reader: types.StreamReader<unknown>): void;
}

interface Attached {
  readonly reader: types.StreamReader<unknown>;
  readonly buffer: buffers.RelayBuffer;
  readonly waiting: Set<() => void>;
}

/** Creates the relay. */
export function createRelay(options: RelayOptions): Relay {
  const { context, links, membership, log } = options;
  const { identity, timers } = context;
  const attached = new Map<string, Attached>();

  function chooseRelay(stream: string): core.ids.InstanceId | undefined {
    const candidates = membership.listCandidates(identity.region);
    return core.rankCandidates(`relay/${stream}`, candidates)[0];
  }

  function chooseSource(stream: string): platform.RecordSource {
    if (!RELAYED_STREAMS.includes(stream)) return log;
    const relay = chooseRelay(stream);
    if (relay === undefined || relay === identity.instance) return log;
    return createPeerSource(relay);
  }

  function createPeerSource(peer: core.ids.InstanceId): platform.RecordSource {
    return {
      async readPage(stream, from, max, waitMs) {
        const answer = await links.ask(
          peer,
          { kind: 'stream.read', stream, from, max, waitMs },
          waitMs + ASK_MARGIN_MS,
        );
        if (answer.kind === 'stream.page') return answer.page;
        throw core.createFault(
          'bad-request',
          { step: `relay.read ${stream}`, peer },
          answer.kind === 'refused' ? answer.message : answer.kind,
        );
      },
    };
  }

  function attach(stream: string, reader: types.StreamReader<unknown>): void {
    const entry: Attached = {
      reader,
      buffer: buffers.createRelayBuffer(),
      waiting: new Set(),
    };
    attached.set(stream, entry);
    void reader.records.observe((record) => {
      entry.buffer.add(record);
      for (const wake of [...entry.waiting]) wake();
    });
  }

  async function respond(
    question: Extract<core.messages.Question, { kind: 'stream.read' }>,
  ): Promise<core.messages.Answer> {
    const entry = attached.get(question.stream);
    if (entry === undefined) return refuse('the stream is not relayed');
    // A relay that is cut off from the log would hide new records from its peers.
    if (!isFresh(entry.reader))
      return refuse('this process has not reached the log lately');
    if (chooseRelay(question.stream) !== identity.instance)
      return refuse('this process is not the relay of the stream');
    if (entry.reader.readNext() <= question.from)
      await waitForRecord(entry, question.waitMs);
    const next = entry.reader.readNext();
    const page = entry.buffer.readPage(question.from, question.max, next);
    if (page === undefined) return refuse('the offset is below the window');
    return { kind: 'stream.page', page };
  }

  function isFresh(reader: types.StreamReader<unknown>): boolean {
    const headMs = reader.readHeadMs();
    return headMs !== undefined && timers.readNow() - headMs < RELAY_FRESH_MS;
  }

  function waitForRecord(entry: Attached, waitMs: number): Promise<void> {
    return new Promise((resolve) => {
      const wake = () => {
        timer.end();
        entry.waiting.delete(wake);
        // The reader moves its position after it has delivered the record.
        queueMicrotask(resolve);
      };
      const timer = timers.subscribe(
        { name: 'relay.wait', delayMs: waitMs, repeat: 'once' },
        wake,
      );
      entry.waiting.add(wake);
    });
  }

  links.handle('stream.read', respond);

  return {
    chooseSource,
    attach,
    dump: () =>
      [...attached].map(([stream, entry]) => ({
        stream,
        relay: chooseRelay(stream),
        next: entry.reader.readNext(),
      })),
  };
}

function refuse(message: string): core.messages.Answer {
  return { kind: 'refused', code: 'bad-request', message };
}
