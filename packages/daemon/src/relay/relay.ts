/**
 * Relays streams of the log within a region: the first-ranked process of a region reads
 * a stream from the log, and its peers read the stream from that process, so that each
 * record crosses the link between regions once. Claims aren't relayed, because each
 * process must know how old its own read of the claims is.
 */
import * as core from '@flamingoward/core';
import * as clients from '@flamingoward/clients';
import type * as types from '../types.js';

/** Streams that are relayed. */
export const RELAYED_STREAMS: readonly string[] = ['releases', 'jobs', 'keys'];

/** Time beyond the requested wait after which a read from the relay fails, in ms. */
const ASK_TIMEOUT_MARGIN_MS = 500;

/**
 * Age of the last read of the log's head from which on a relay refuses reads of its
 * peers, in ms. In normal operation the age reaches two waits of a read, 4 s.
 */
const MAX_HEAD_AGE_MS = 6_000;

/** Dependencies of the relay. */
export interface RelayOptions {
  readonly context: types.PartContext;
  readonly links: types.Links;
  readonly membership: types.Membership;
  readonly log: clients.RecordSource;
}

/** The relay of one process. */
export interface Relay extends types.Dumpable {
  /** Chooses where to read a stream: the log, or the region's relay of that stream. */
  chooseSource(stream: string): clients.RecordSource;
  /** Begins to serve the relayed streams to the peers. */
  serve(streams: types.Streams): void;
}

/** Creates the relay. */
export function createRelay(options: RelayOptions): Relay {
  const { context, links, membership, log: logSource } = options;
  const { identity, timers } = context;

  function chooseRelay(stream: string): core.ids.InstanceId | undefined {
    const candidates = membership.listCandidates(identity.region);
    return core.rankCandidates(`relay/${stream}`, candidates)[0];
  }

  function chooseSource(stream: string): clients.RecordSource {
    if (!RELAYED_STREAMS.includes(stream)) return logSource;
    const relay = chooseRelay(stream);
    if (relay === undefined || relay === identity.instance) return logSource;
    return createPeerSource(relay);
  }

  function createPeerSource(peer: core.ids.InstanceId): clients.RecordSource {
    return {
      async readPage(stream, from, max, waitMs) {
        const answer = await links.ask(
          peer,
          { kind: 'stream.read', stream, from, max, waitMs },
          waitMs + ASK_TIMEOUT_MARGIN_MS,
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

  function serve(streams: types.Streams): void {
    const source = clients.createRelay({
      streams,
      timers,
      names: RELAYED_STREAMS,
    });
    links.handle('stream.read', async (question) => {
      const { stream, from, max, waitMs } = question;
      assertServable(streams, stream);
      const page = await source.readPage(stream, from, max, waitMs);
      return { kind: 'stream.page', page };
    });
  }

  /** Refuses a read when this process isn't the relay, or is cut off from the log and would hide new records from its peers. */
  function assertServable(streams: types.Streams, stream: string): void {
    const isRelay = chooseRelay(stream) === identity.instance;
    const headMs = isRelay ? streams.open(stream).getHeadReadMs() : undefined;
    if (headMs !== undefined && timers.getNow() - headMs < MAX_HEAD_AGE_MS)
      return;
    throw core.createFault(
      'bad-request',
      { step: `relay.read ${stream}`, peer: identity.name },
      isRelay
        ? 'this process has not read up to the head of the log within the last 6 s'
        : 'this process is not the relay of the stream',
    );
  }

  return {
    chooseSource,
    serve,
    dump: () =>
      RELAYED_STREAMS.map((stream) => ({ stream, relay: chooseRelay(stream) })),
  };
}
