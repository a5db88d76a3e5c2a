/**
 * All links of one process: it listens for peers, dials each peer address it knows
 * and dials again with jittered back-off when a connection ends. Questions and
 * notices go over the dialled connection or, until that is open, over the one that the
 * peer dialled, so two processes hear each other as soon as either reached the other.
 */
import * as net from 'node:net';
import * as core from '@flamingoward/core';
import * as connections from './connection.js';
import type * as handshake from './handshake.js';

const RECONNECT_FIRST_MS = 100;
const RECONNECT_MAX_MS = 2_000;
const CONNECT_TIMEOUT_MS = 1_000;

/** What a hub needs. */
export interface HubOptions {
  readonly identity: handshake.LinkIdentity;
  readonly listen: core.ids.Address;
  readonly key: string;
  readonly maxFrameBytes: number;
  readonly timers: core.TimerService;
  /** Random number from 0 to 1, for jitter. */
  readonly readRandom: () => number;
  readonly onQuestion: connections.QuestionHandler;
  readonly onNotice: (
    notice: core.messages.Notice,
    from: core.messages.Hello,
  ) => void;
  /** Bytes arrived from a peer on any connection, which shows that it is alive. */
  readonly onHeard?: (from: core.messages.Hello) => void;
  /** A connection is ready for questions, in either direction. */
  readonly onOpen: (peer: core.messages.Hello) => void;
  /** A connection ended or couldn't be opened. */
  readonly onClose: (event: LinkClosed) => void;
}

/** Why a connection ended. */
export interface LinkClosed {
  readonly address: core.ids.Address;
  /** The other side, when the handshake was over. */
  readonly peer: core.messages.Hello | undefined;
  /** For a dialled address: who answered there last. */
  readonly lastPeer: core.messages.Hello | undefined;
  readonly direction: 'dialled' | 'accepted';
  readonly cause: Error | undefined;
}

/** Traffic of all links since the start, in bytes. */
export interface LinkTraffic {
  readonly sentBytes: number;
  readonly receivedBytes: number;
}

/** The links of one process. */
export interface Hub {
  /** Starts listening; rejects with `port-in-use`. */
  readonly open: () => Promise<void>;
  /** Sets the peer addresses to dial; connections to others are closed. */
  readonly setPeers: (addresses: readonly core.ids.Address[]) => void;
  readonly notify: (
    peer: core.ids.InstanceId,
    notice: core.messages.Notice,
  ) => void;
  readonly ask: (
    peer: core.ids.InstanceId,
    question: core.messages.Question,
    timeoutMs: number,
  ) => Promise<core.messages.Answer>;
  readonly listConnected: () => readonly core.messages.Hello[];
  readonly readTraffic: () => LinkTraffic;
  readonly close: () => Promise<void>;
}

interface Dialled {
  readonly address: core.ids.Address;
  socket: net.Socket | undefined;
  connection: connections.Connection | undefined;
  retry: core.TimerSubscription | undefined;
  failures: number;
  lastPeer: core.messages.Hello | undefined;
}

/** Creates the hub; nothing is opened before `open`. */
export function createHub(options: HubOptions): Hub {
  const dialled = new Map<core.ids.Address, Dialled>();
  const accepted = new Set<connections.Connection>();
  const sockets = new Set<net.Socket>();
  const byInstance = new Map<core.ids.InstanceId, connections.Connection>();
  const acceptedByInstance = new Map<
    core.ids.InstanceId,
    connections.Connection
  >();
  let closing = false;
  let sentBytes = 0;
  let receivedBytes = 0;
  const server = net.createServer(receiveSocket);
  // One timer for all connections: a timer each wakes the process up to 80 times a second.
  const probe = options.timers.subscribe(
    {
      name: 'links.probe',
      delayMs: connections.PROBE_AFTER_MS / 2,
      repeat: 'periodic',
    },
    checkProgress,
  );

  function checkProgress(nowMs: number): void {
    for (const entry of [...dialled.values()])
      entry.connection?.checkProgress(nowMs);
    for (const connection of [...accepted]) connection.checkProgress(nowMs);
  }

  function track(socket: net.Socket): void {
    sockets.add(socket);
    socket.once('close', () => {
      sockets.delete(socket);
      sentBytes += socket.bytesWritten;
      receivedBytes += socket.bytesRead;
    });
  }

  function createOn(
    socket: net.Socket,
    peer: string,
    onOpen: connections.ConnectionOptions['onOpen'],
    onClose: connections.ConnectionOptions['onClose'],
  ): connections.Connection {
    return connections.createConnection({
      socket,
      identity: options.identity,
      key: options.key,
      maxFrameBytes: options.maxFrameBytes,
      timers: options.timers,
      peer,
      onQuestion: options.onQuestion,
      onNotice: options.onNotice,
      onHeard: options.onHeard,
      onOpen,
      onClose,
    });
  }

  function receiveSocket(socket: net.Socket): void {
    track(socket);
    const address = `${socket.remoteAddress ?? '?'}:${String(socket.remotePort ?? 0)}`;
    const connection = createOn(
      socket,
      address,
      (opened, theirs) => {
        acceptedByInstance.set(theirs.instance, opened);
        if (!byInstance.has(theirs.instance)) options.onOpen(theirs);
      },
      (ended, cause) => {
        accepted.delete(ended);
        const peer = ended.readTheirs();
        dropConnection(acceptedByInstance, ended);
        options.onClose({
          address,
          peer,
          lastPeer: peer,
          direction: 'accepted',
          cause,
        });
      },
    );
    accepted.add(connection);
  }

  function connectPeer(entry: Dialled): void {
    const socket = net.connect(toEndpoint(entry.address));
    entry.socket = socket;
    track(socket);
    const slow = options.timers.subscribe(
      {
        name: 'links.connect',
        delayMs: CONNECT_TIMEOUT_MS,
        repeat: 'once',
      },
      () => socket.destroy(new Error('connect timed out')),
    );
    const fail = (cause: Error) => {
      slow.end();
      endDialled(entry, undefined, cause);
    };
    socket.once('error', fail);
    socket.once('connect', () => {
      slow.end();
      socket.off('error', fail);
      entry.connection = createOn(
        socket,
        entry.address,
        (connection, theirs) => {
          openDialled(entry, connection, theirs);
        },
        (connection, cause) => {
          endDialled(entry, connection, cause);
        },
      );
    });
  }

  function openDialled(
    entry: Dialled,
    connection: connections.Connection,
    theirs: core.messages.Hello,
  ): void {
    entry.failures = 0;
    entry.lastPeer = theirs;
    if (theirs.instance === options.identity.instance) {
      // The address is this process itself; forget it without dialling again.
      dialled.delete(entry.address);
      connection.close();
      return;
    }
    byInstance.set(theirs.instance, connection);
    options.onOpen(theirs);
  }

  function endDialled(
    entry: Dialled,
    connection: connections.Connection | undefined,
    cause: Error | undefined,
  ): void {
    entry.connection = undefined;
    entry.socket = undefined;
    const peer = connection?.readTheirs();
    if (connection !== undefined) dropConnection(byInstance, connection);
    if (dialled.get(entry.address) !== entry || closing) return;
    options.onClose({
      address: entry.address,
      peer,
      lastPeer: entry.lastPeer,
      direction: 'dialled',
      cause,
    });
    scheduleRetry(entry);
  }

  function scheduleRetry(entry: Dialled): void {
    const ceilingMs = Math.min(
      RECONNECT_MAX_MS,
      RECONNECT_FIRST_MS * 2 ** entry.failures,
    );
    entry.failures += 1;
    // Full jitter keeps the processes of a restarted fleet from dialling at once.
    const delayMs = 1 + options.readRandom() * ceilingMs;
    entry.retry = options.timers.subscribe(
      { name: 'links.reconnect', delayMs, repeat: 'once' },
      () => {
        if (dialled.get(entry.address) === entry && !closing)
          connectPeer(entry);
      },
    );
  }

  function setPeers(addresses: readonly core.ids.Address[]): void {
    const wanted = new Set(addresses);
    wanted.delete(options.listen);
    for (const entry of [...dialled.values()])
      if (!wanted.has(entry.address)) dropDialled(entry);
    for (const address of wanted) {
      if (dialled.has(address)) continue;
      const entry: Dialled = {
        address,
        socket: undefined,
        connection: undefined,
        retry: undefined,
        failures: 0,
        lastPeer: undefined,
      };
      dialled.set(address, entry);
      connectPeer(entry);
    }
  }

  function dropDialled(entry: Dialled): void {
    dialled.delete(entry.address);
    entry.retry?.end();
    entry.connection?.close();
    entry.socket?.destroy();
  }

  function findConnection(
    peer: core.ids.InstanceId,
  ): connections.Connection | undefined {
    return byInstance.get(peer) ?? acceptedByInstance.get(peer);
  }

  function notify(
    peer: core.ids.InstanceId,
    notice: core.messages.Notice,
  ): void {
    findConnection(peer)?.notify(notice);
  }

  function ask(
    peer: core.ids.InstanceId,
    question: core.messages.Question,
    timeoutMs: number,
  ): Promise<core.messages.Answer> {
    const connection = findConnection(peer);
    if (connection === undefined)
      return Promise.reject(
        core.createFault('link-closed', {
          step: `links.ask.${question.kind}`,
          peer,
        }),
      );
    return connection.ask(question, timeoutMs);
  }

  function open(): Promise<void> {
    return new Promise((resolve, reject) => {
      server.once('error', (cause) => {
        reject(toListenFault(cause, options.listen));
      });
      server.listen(toEndpoint(options.listen), resolve);
    });
  }

  function close(): Promise<void> {
    closing = true;
    probe.end();
    for (const entry of [...dialled.values()]) dropDialled(entry);
    for (const connection of [...accepted]) connection.close();
    for (const socket of sockets) socket.destroy();
    return new Promise((resolve) => {
      server.close(() => {
        resolve();
      });
    });
  }

  function readTraffic(): LinkTraffic {
    let sent = sentBytes;
    let received = receivedBytes;
    for (const socket of sockets) {
      sent += socket.bytesWritten;
      received += socket.bytesRead;
    }
    return { sentBytes: sent, receivedBytes: received };
  }

  return {
    open,
    setPeers,
    notify,
    ask,
    listConnected: () =>
      [...new Map([...acceptedByInstance, ...byInstance]).values()].flatMap(
        (open) => open.readTheirs() ?? [],
      ),
    readTraffic,
    close,
  };
}

function dropConnection(
  table: Map<core.ids.InstanceId, connections.Connection>,
  connection: connections.Connection,
): void {
  const peer = connection.readTheirs();
  if (peer !== undefined && table.get(peer.instance) === connection)
    table.delete(peer.instance);
}

function toEndpoint(address: core.ids.Address): {
  host: string;
  port: number;
} {
  const at = address.lastIndexOf(':');
  return { host: address.slice(0, at), port: Number(address.slice(at + 1)) };
}

function toListenFault(cause: Error, address: string): Error {
  const code = (cause as NodeJS.ErrnoException).code;
  if (code !== 'EADDRINUSE') return cause;
  return core.createFault(
    'port-in-use',
    { step: 'links.listen', peer: 'self', cause },
    address,
  );
}
