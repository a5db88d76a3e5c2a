/**
 * Connections to the other processes. Dispatches requests of peers ("questions") to one
 * handler for each kind, and merges one-way messages ("notices") of all peers into one
 * stream.
 */
import * as core from '@flamingoward/core';
import * as link from '@flamingoward/link';
import type * as most from 'most';
import type * as types from '../types.js';

/** Dependencies and limits of the links. */
export interface LinksOptions {
  readonly context: types.PartContext;
  readonly listen: core.ids.Address;
  readonly key: string;
  readonly maxFrameBytes: number;
  /** Most accepted connections whose peer isn't authenticated yet. */
  readonly maxHandshakes: number;
  /** Random number from 0 to 1. */
  readonly getRandom: () => number;
}

/** Links with the operations that only `process.ts` and the membership use. */
export interface LinksPart extends types.Links, types.Dumpable {
  open(): Promise<void>;
  setPeers(addresses: readonly core.ids.Address[]): void;
  getTraffic(): link.LinkTraffic;
  /** Emits the peer when a connection that this process dialled is ready. */
  readonly opened: most.Stream<core.messages.Hello>;
  /** Emits a peer when bytes from it arrive on any connection. */
  readonly activity: most.Stream<core.ids.InstanceId>;
  /** Emits a peer when its address refuses connections, because no process listens there any more. */
  readonly refused: most.Stream<core.messages.Hello>;
}

type Handler = (
  question: core.messages.Question,
  from: core.ids.InstanceId,
) => Promise<core.messages.Answer>;

/** Creates the links of this process; they listen after `open`. */
export function createLinks(options: LinksOptions): LinksPart {
  const { context } = options;
  const handlers = new Map<core.messages.Question['kind'], Handler>();
  const notices =
    core.createSubject<
      types.Links['notices'] extends most.Stream<infer N> ? N : never
    >();
  const opened = core.createSubject<core.messages.Hello>();
  const refused = core.createSubject<core.messages.Hello>();
  const activity = core.createSubject<core.ids.InstanceId>();
  const hub = link.createHub({
    identity: context.identity,
    listen: options.listen,
    key: options.key,
    maxFrameBytes: options.maxFrameBytes,
    maxHandshakes: options.maxHandshakes,
    timers: context.timers,
    getRandom: options.getRandom,
    onQuestion: answerQuestion,
    onNotice: (notice, from) => {
      notices.push({ from: from.instance, notice });
    },
    onBytesReceived: (from) => {
      activity.push(from.instance);
    },
    onOpen: (peer) => {
      context.log.write('info', 'link.open', {
        peer: peer.name,
        instance: peer.instance,
      });
      opened.push(peer);
    },
    onClose: handleClose,
    onShed: (reason) => {
      context.metrics.count('links_shed_total', { reason });
    },
  });

  async function answerQuestion(
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

  function handleClose(event: link.LinkClosed): void {
    logClose(event);
    const { cause, lastPeer } = event;
    if (lastPeer !== undefined && isConnectionRefused(cause))
      refused.push(lastPeer);
  }

  function logClose(event: link.LinkClosed): void {
    // Dialling is repeated until the peer answers; its failures are expected and logged for debugging only.
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
    getTraffic: hub.getTraffic,
    opened: opened.stream,
    refused: refused.stream,
    activity: activity.stream,
    ask: hub.ask,
    notify: hub.notify,
    handle(kind, handler) {
      handlers.set(kind, handler as Handler);
    },
    notices: notices.stream,
    close: hub.close,
    dump: () => ({
      connected: hub.listConnected().map((peer) => peer.name),
      traffic: hub.getTraffic(),
    }),
  };
}

function isConnectionRefused(cause: Error | undefined): boolean {
  return (cause as NodeJS.ErrnoException | undefined)?.code === 'ECONNREFUSED';
}
