/**
 * The daemon's links: a hub of framed connections with one handler for each kind
 * of question, and the notices of all peers as one stream.
 */
import * as core from '@flamingoward/core';
import * as link from '@flamingoward/link';
import type * as most from 'most';
import type * as types from '../types.js';

/** What the links need. */
export interface LinksOptions {
  readonly context: types.PartContext;
  readonly listen: core.ids.Address;
  readonly key: string;
  readonly maxFrameBytes: number;
  /** Random number from 0 to 1. */
  readonly readRandom: () => number;
}

/** The links and what only the process composition uses of them. */
export interface LinksPart extends types.Links, types.Dumpable {
  open(): Promise<void>;
  setPeers(addresses: readonly core.ids.Address[]): void;
  readTraffic(): link.LinkTraffic;
  /** Pushes when a dialled connection is ready. */
  readonly opened: most.Stream<core.messages.Hello>;
  /** Pushes a peer from which bytes arrived on any connection. */
  readonly heard: most.Stream<core.ids.InstanceId>;
  /** Pushes a peer whose address refuses connections: no process listens there any more. */
  readonly refused: most.Stream<core.messages.Hello>;
}

type Handler = (
  question: core.messages.Question,
  from: core.ids.InstanceId,
) => Promise<core.messages.Answer>;

/** Creates the links of this process. */
export function createLinks(options: LinksOptions): LinksPart {
  const { context } = options;
  const handlers = new Map<core.messages.Question['kind'], Handler>();
  const notices =
    core.createSubject<
      types.Links['notices'] extends most.Stream<infer N> ? N : never
    >();
  const opened = core.createSubject<core.messages.Hello>();
  const refused = core.createSubject<core.messages.Hello>();
  const heard = core.createSubject<core.ids.InstanceId>();
  const hub = link.createHub({
    identity: context.identity,
    listen: options.listen,
    key: options.key,
    maxFrameBytes: options.maxFrameBytes,
    timers: context.timers,
    readRandom: options.readRandom,
    onQuestion: respond,
    onNotice: (notice, from) => {
      notices.push({ from: from.instance, notice });
    },
    onHeard: (from) => {
      heard.push(from.instance);
    },
    onOpen: (peer) => {
      context.log.write('info', 'link.open', {
        peer: peer.name,
        instance: peer.instance,
      });
      opened.push(peer);
    },
    onClose: receiveClose,
  });

  async function respond(
    question: core.messages.Question,
    from: core.messages.Hello,
  ): Promise<core.messages.Answer> {
    const handler = handlers.get(question.kind);
    if (handler === undefined)
      return {
        kind: 'refused',
        code: 'bad-request',
        message: `no handler for ${question.kind}`,
      };
    return handler(question, from.instance);
  }

  function receiveClose(event: link.LinkClosed): void {
    logClose(event);
    const { cause, lastPeer } = event;
    if (lastPeer !== undefined && isRefusal(cause)) refused.push(lastPeer);
  }

  function logClose(event: link.LinkClosed): void {
    // Dialling goes on until the peer is back, so its failures are expected.
    const level = event.peer === undefined ? 'debug' : 'warn';
    context.log.write(level, 'link.close', {
      peer: event.peer?.name ?? event.address,
      direction: event.direction,
      cause: core.describeError(event.cause ?? 'closed'),
    });
    context.metrics.count('link_closed_total', { direction: event.direction });
  }

  return {
    open: hub.open,
    setPeers: hub.setPeers,
    readTraffic: hub.readTraffic,
    opened: opened.stream,
    refused: refused.stream,
    heard: heard.stream,
    ask: hub.ask,
    notify: hub.notify,
    handle(kind, handler) {
      handlers.set(kind, handler as Handler);
    },
    notices: notices.stream,
    close: hub.close,
    dump: () => ({
      connected: hub.listConnected().map((peer) => peer.name),
      traffic: hub.readTraffic(),
    }),
  };
}

function isRefusal(cause: Error | undefined): boolean {
  return (cause as NodeJS.ErrnoException | undefined)?.code === 'ECONNREFUSED';
}
