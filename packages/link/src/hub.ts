/**
 * All connections of one process to its peers. The hub listens for peers, dials each
 * configured peer address, and reconnects with jittered exponential backoff. Questions
 * and notices use the dialled connection or, until it is open, the one that the peer
 * dialled, so two processes can communicate once either has reached the other.
 */
import * as net from 'node:net';
import * as core from '@flamingoward/core';
import * as connections from './connection.js';
import type * as handshake from './handshake.js';
import * as pendingHandshakes from './pendingHandshakes.js';

const RECONNECT_INITIAL_MS = 100;
const RECONNECT_MAX_MS = 2_000;
const CONNECT_TIMEOUT_MS = 1_000;

/** Options of a hub. */
export interface HubOptions {
  readonly identity: handshake.LinkIdentity;
  readonly listen: core.ids.Address;
  readonly key: string;
  readonly maxFrameBytes: number;
  readonly timers: core.TimerService;
  /** Returns a random number from 0 to 1, for the jitter of reconnects. */
  readonly getRandom: () => number;
  /** Most accepted connections whose peer isn't authenticated yet. */
  readonly maxHandshakes?: number;
  readonly onQuestion: connections.QuestionHandler;
  readonly onNotice: (
    notice: core.messages.Notice,
    from: core.messages.Hello,
  ) => void;
  /** Called whenever bytes arrive from a peer on any connection, as evidence that the peer is alive. */
  readonly onBytesReceived?: (from: core.messages.Hello) => void;
  /** Called when a connection has completed its handshake and can carry questions both ways. */
  readonly onOpen: (peer: core.messages.Hello) => void;
  /** Called when a connection ended or couldn't be opened. */
  readonly onClose: (event: LinkClosed) => void;
  /** Called when a connection is closed to bound those whose peer isn't authenticated. */
  readonly onShed?: (reason: pendingHandshakes.HandshakeShedReason) => void;
}

/** Which connection ended or couldn't be opened, and why. */
export interface LinkClosed {
  readonly address: core.ids.Address;
  /** The peer; undefined when the handshake wasn't complete. */
  readonly peer: core.messages.Hello | undefined;
  /** For a dialled address: the peer of the last completed handshake there. */
  readonly lastPeer: core.messages.Hello | undefined;
  readonly direction: 'dialled' | 'accepted';
  readonly cause: Error | undefined;
}

/** Traffic of all connections since the hub was created. */
export interface LinkTraffic {
  readonly sentBytes: number;
  readonly receivedBytes: number;
}

/** The connections of one process to its peers. */
export interface Hub {
  /** Starts listening; rejects with `port-in-use`. */
  readonly open: () => Promise<void>;
  /** Sets the peer addresses to dial; closes dialled connections to other addresses. */
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
  readonly getTraffic: () => LinkTraffic;
  readonly close: () => Promise<void>;
}

/** An address to dial and the state of the connection to it. */
interface DialledPeer {
  readonly address: core.ids.Address;
  socket: net.Socket | undefined;
  connection: connections.Connection | undefined;
  reconnectTimer: core.TimerSubscription | undefined;
  /** Failed attempts and ended connections since the last completed handshake. */
  failures: number;
  lastPeer: core.messages.Hello | undefined;
}

/** Creates the hub; it doesn't listen before `open`. */
export function createHub(options: HubOptions): Hub {
  const dialledByAddress = new Map<core.ids.Address, DialledPeer>();
  const acceptedConnections = new Set<connections.Connection>();
  const unauthenticated = pendingHandshakes.createPendingHandshakes(
    options.timers,
    options.maxHandshakes ?? pendingHandshakes.DEFAULT_MAX_HANDSHAKES,
    recordShed,
  );
  const sockets = new Set<net.Socket>();
  const dialledByInstance = new Map<
    core.ids.InstanceId,
    connections.Connection
  >();
  const acceptedByInstance = new Map<
    core.ids.InstanceId,
    connections.Connection
  >();
  let closing = false;
  let closedSentBytes = 0;
  let closedReceivedBytes = 0;
  const server = net.createServer(receiveSocket);
  // One shared timer: a timer for each connection would wake the process up to 80 times a second.
  const probeTimer = options.timers.subscribe(
    {
      name: 'links.probe',
      delayMs: connections.PROBE_AFTER_MS / 2,
      repeat: 'periodic',
    },
    checkProgress,
  );

  function recordShed(reason: pendingHandshakes.HandshakeShedReason): void {
    options.onShed?.(reason);
  }

  function checkProgress(nowMs: number): void {
    unauthenticated.closeExpired(nowMs);
    for (const entry of [...dialledByAddress.values()])
      entry.connection?.checkProgress(nowMs);
    for (const connection of [...acceptedConnections])
      connection.checkProgress(nowMs);
  }

  function trackTraffic(socket: net.Socket): void {
    sockets.add(socket);
    socket.once('close', () => {
      sockets.delete(socket);
      closedSentBytes += socket.bytesWritten;
      closedReceivedBytes += socket.bytesRead;
    });
  }

  function createConnectionOn(
    socket: net.Socket,
    peerAddress: string,
    onOpen: connections.ConnectionOptions['onOpen'],
    onClose: connections.ConnectionOptions['onClose'],
  ): connections.Connection {
    return connections.createConnection({
      socket,
      identity: options.identity,
      key: options.key,
      maxFrameBytes: options.maxFrameBytes,
      timers: options.timers,
      peer: peerAddress,
      onQuestion: options.onQuestion,
      onNotice: options.onNotice,
      onBytesReceived: options.onBytesReceived,
      onOpen,
      onClose,
    });
  }

  function receiveSocket(socket: net.Socket): void {
    trackTraffic(socket);
    const address = `${socket.remoteAddress ?? '?'}:${String(socket.remotePort ?? 0)}`;
    const connection = createConnectionOn(
      socket,
      address,
      (opened, peerHello) => {
        unauthenticated.remove(opened);
        acceptedByInstance.set(peerHello.instance, opened);
        if (!dialledByInstance.has(peerHello.instance))
          options.onOpen(peerHello);
      },
      (ended, cause) => {
        acceptedConnections.delete(ended);
        unauthenticated.remove(ended);
        const peer = ended.getPeerHello();
        dropConnection(acceptedByInstance, ended);
        if (peer === undefined && isTooLarge(cause))
          recordShed('handshake-frame');
        options.onClose({
          address,
          peer,
          lastPeer: peer,
          direction: 'accepted',
          cause,
        });
      },
    );
    acceptedConnections.add(connection);
    unauthenticated.add(connection);
  }

  function connectPeer(entry: DialledPeer): void {
    const endpoint = core.splitAddress(entry.address);
    if (endpoint === undefined) {
      scheduleUnusable(entry);
      return;
    }
    const socket = net.connect(endpoint);
    entry.socket = socket;
    trackTraffic(socket);
    const connectTimer = options.timers.subscribe(
      {
        name: 'links.connect',
        delayMs: CONNECT_TIMEOUT_MS,
        repeat: 'once',
      },
      () => socket.destroy(new Error('the TCP connection attempt timed out')),
    );
    const handleConnectError = (cause: Error) => {
      connectTimer.end();
      handleDialledEnd(entry, undefined, cause);
    };
    socket.once('error', handleConnectError);
    socket.once('connect', () => {
      connectTimer.end();
      socket.off('error', handleConnectError);
      entry.connection = createConnectionOn(
        socket,
        entry.address,
        (connection, peerHello) => {
          handleDialledOpen(entry, connection, peerHello);
        },
        (connection, cause) => {
          handleDialledEnd(entry, connection, cause);
        },
      );
    });
  }

  /** Fails like a connection that couldn't be opened, and not while the caller sets the peers. */
  function scheduleUnusable(entry: DialledPeer): void {
    entry.reconnectTimer = options.timers.subscribe(
      { name: 'links.unusable', delayMs: 0, repeat: 'once' },
      () => {
        const cause = core.createAddressFault(entry.address, 'links.connect');
        handleDialledEnd(entry, undefined, cause);
      },
    );
  }

  function handleDialledOpen(
    entry: DialledPeer,
    connection: connections.Connection,
    peerHello: core.messages.Hello,
  ): void {
    entry.failures = 0;
    entry.lastPeer = peerHello;
    if (peerHello.instance === options.identity.instance) {
      // The address leads to this process itself: close without reconnecting.
      dialledByAddress.delete(entry.address);
      connection.close();
      return;
    }
    dialledByInstance.set(peerHello.instance, connection);
    options.onOpen(peerHello);
  }

  function handleDialledEnd(
    entry: DialledPeer,
    connection: connections.Connection | undefined,
    cause: Error | undefined,
  ): void {
    entry.connection = undefined;
    entry.socket = undefined;
    const peer = connection?.getPeerHello();
    if (connection !== undefined) dropConnection(dialledByInstance, connection);
    if (dialledByAddress.get(entry.address) !== entry || closing) return;
    options.onClose({
      address: entry.address,
      peer,
      lastPeer: entry.lastPeer,
      direction: 'dialled',
      cause,
    });
    scheduleReconnect(entry);
  }

  function scheduleReconnect(entry: DialledPeer): void {
    const ceilingMs = Math.min(
      RECONNECT_MAX_MS,
      RECONNECT_INITIAL_MS * 2 ** entry.failures,
    );
    entry.failures += 1;
    // Full jitter, so that the processes of a restarted fleet don't reconnect at the same time.
    const delayMs = 1 + options.getRandom() * ceilingMs;
    entry.reconnectTimer = options.timers.subscribe(
      { name: 'links.reconnect', delayMs, repeat: 'once' },
      () => {
        if (dialledByAddress.get(entry.address) === entry && !closing)
          connectPeer(entry);
      },
    );
  }

  function setPeers(addresses: readonly core.ids.Address[]): void {
    const addressesToDial = new Set(addresses);
    addressesToDial.delete(options.listen);
    for (const entry of [...dialledByAddress.values()])
      if (!addressesToDial.has(entry.address)) dropDialled(entry);
    for (const address of addressesToDial) {
      if (dialledByAddress.has(address)) continue;
      const entry: DialledPeer = {
        address,
        socket: undefined,
        connection: undefined,
        reconnectTimer: undefined,
        failures: 0,
        lastPeer: undefined,
      };
      dialledByAddress.set(address, entry);
      connectPeer(entry);
    }
  }

  function dropDialled(entry: DialledPeer): void {
    dialledByAddress.delete(entry.address);
    entry.reconnectTimer?.end();
    entry.connection?.close();
    entry.socket?.destroy();
  }

  function findConnection(
    peer: core.ids.InstanceId,
  ): connections.Connection | undefined {
    return dialledByInstance.get(peer) ?? acceptedByInstance.get(peer);
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

  async function open(): Promise<void> {
    const endpoint = core.parseAddress(options.listen, 'links.listen');
    await new Promise<void>((resolve, reject) => {
      server.once('error', (cause) => {
        reject(toListenFault(cause, options.listen));
      });
      server.listen(endpoint, resolve);
    });
  }

  function close(): Promise<void> {
    closing = true;
    probeTimer.end();
    for (const entry of [...dialledByAddress.values()]) dropDialled(entry);
    for (const connection of [...acceptedConnections]) connection.close();
    for (const socket of sockets) socket.destroy();
    return new Promise((resolve) => {
      server.close(() => {
        resolve();
      });
    });
  }

  function getTraffic(): LinkTraffic {
    let totalSentBytes = closedSentBytes;
    let totalReceivedBytes = closedReceivedBytes;
    for (const socket of sockets) {
      totalSentBytes += socket.bytesWritten;
      totalReceivedBytes += socket.bytesRead;
    }
    return { sentBytes: totalSentBytes, receivedBytes: totalReceivedBytes };
  }

  return {
    open,
    setPeers,
    notify,
    ask,
    listConnected: () =>
      [
        ...new Map([...acceptedByInstance, ...dialledByInstance]).values(),
      ].flatMap((connection) => connection.getPeerHello() ?? []),
    getTraffic,
    close,
  };
}

function dropConnection(
  table: Map<core.ids.InstanceId, connections.Connection>,
  connection: connections.Connection,
): void {
  const peer = connection.getPeerHello();
  if (peer !== undefined && table.get(peer.instance) === connection)
    table.delete(peer.instance);
}

function isTooLarge(cause: Error | undefined): boolean {
  return core.getFaultInfo(cause)?.code === 'too-large';
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
