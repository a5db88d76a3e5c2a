/**
 * Decides which connections and requests of clients a server keeps when its memory or its
 * descriptors run short. It has no input or output: the server reports what happens on its
 * connections, and closes those that are returned. Load is shed in this order: connections
 * without an unanswered request, beginning with the longest idle one; then the incomplete
 * bodies that have waited longest; then new connections and requests.
 */

import type * as limitTypes from './limits.js';

/** Bytes of an empty line, which some clients send after a body and servers ignore (RFC 9112, section 2.2). */
const EMPTY_LINE_BYTES = 2;

/** Reason for which a connection is closed. */
export type ClosingReason =
  | 'idle'
  | 'header-timeout'
  | 'idle-timeout'
  | 'body'
  | 'body-timeout'
  | 'unread';

/** A connection to close. */
export interface Closing<Connection> {
  readonly connection: Connection;
  readonly reason: ClosingReason;
}

/** A request, from the end of its header until its handling has ended. */
export interface IntakeRequest<Connection> {
  readonly connection: Connection;
}

/** Times after which connections without a request are closed, in ms. */
export interface IdleTimeouts {
  readonly headerMs: number;
  readonly idleMs: number;
}

/** The connections and requests of one server. */
export interface Intake<Connection> {
  /** Adds a connection; it must be closed at once when it isn't accepted. */
  openConnection(
    connection: Connection,
    nowMs: number,
  ): {
    readonly accepted: boolean;
    readonly closing: readonly Closing<Connection>[];
  };
  closeConnection(connection: Connection): void;
  /**
   * Begins to read a request; `pipelined` means that its connection must be closed. A probe
   * is accepted beyond the limit of requests.
   */
  beginRequest(
    connection: Connection,
    nowMs: number,
    isProbe?: boolean,
  ): IntakeRequest<Connection> | 'overloaded' | 'pipelined';
  /** Sets the memory of a body, in bytes; the request must be refused when it isn't granted. */
  reserveBody(
    request: IntakeRequest<Connection>,
    bytes: number,
  ): {
    readonly granted: boolean;
    readonly closing: readonly Closing<Connection>[];
  };
  /** Applies that a request waits for the answer to the one before it; it isn't shed meanwhile. */
  queueRequest(request: IntakeRequest<Connection>): void;
  /** Begins to read a request that has waited. */
  resumeRequest(request: IntakeRequest<Connection>, nowMs: number): void;
  /** Applies that the whole body of a request has arrived. */
  completeBody(request: IntakeRequest<Connection>): void;
  /** Applies that a request has got its answer or has ended without one. */
  endRequest(request: IntakeRequest<Connection>, nowMs: number): void;
  /** Returns whether a request of the connection has no completely written answer. */
  hasUnanswered(connection: Connection): boolean;
  /**
   * Adds an answer that its client hasn't read, in bytes. While all of them exceed their
   * limit, other connections must be closed, the one with the oldest unread answer first.
   */
  addUnread(
    connection: Connection,
    bytes: number,
  ): readonly Closing<Connection>[];
  /** Applies that an answer has been written completely, of which `unreadBytes` were added. */
  recordWritten(connection: Connection, unreadBytes: number): void;
  /** Lists the connections whose time is over. */
  listExpired(
    nowMs: number,
    timeouts: IdleTimeouts,
  ): readonly Closing<Connection>[];
  count(): {
    readonly connections: number;
    readonly requests: number;
    readonly bodiesBytes: number;
  };
}

interface RequestEntry<Connection> extends IntakeRequest<Connection> {
  phase: 'reading' | 'queued' | 'handling' | 'ended';
  beganMs: number;
  bytes: number;
}

interface ConnectionEntry<Connection> {
  /** Requests that are being read or handled. */
  active: number;
  /** Requests without a completely written answer. */
  unwritten: number;
  /** Memory of answers that the client hasn't read, in bytes. */
  unreadBytes: number;
  /** Requests that aren't completely received; several when they arrive in one read. */
  readonly reading: Set<RequestEntry<Connection>>;
  /** Requests that wait for the answer to the one before them. */
  readonly queued: Set<RequestEntry<Connection>>;
}

interface IdleEntry {
  readonly sinceMs: number;
  /** What had been read from the connection by then, in bytes. */
  readonly readBytes: number;
  /** When a header was first seen to arrive. */
  headerMs: number | undefined;
}

/** Creates an intake without connections; `getReadBytes` returns how much has been read from one. */
export function createIntake<Connection>(
  limits: limitTypes.IntakeLimits,
  getReadBytes: (connection: Connection) => number,
): Intake<Connection> {
  const connections = new Map<Connection, ConnectionEntry<Connection>>();
  /** Connections without a request that is read or handled, the longest idle one first. */
  const idle = new Map<Connection, IdleEntry>();
  /** Requests whose body is incomplete, the oldest first. */
  const reading = new Set<RequestEntry<Connection>>();
  /** Connections with unread answers, the one with the oldest first. */
  const unread = new Set<Connection>();
  let requests = 0;
  let bodiesBytes = 0;
  let unreadBytes = 0;

  function addIdle(connection: Connection, nowMs: number): void {
    idle.set(connection, {
      sinceMs: nowMs,
      readBytes: getReadBytes(connection),
      headerMs: undefined,
    });
  }

  function removeRequest(request: RequestEntry<Connection>): void {
    if (request.phase === 'ended') return;
    request.phase = 'ended';
    endReading(request);
    requests -= 1;
    bodiesBytes -= request.bytes;
  }

  function endReading(request: RequestEntry<Connection>): void {
    reading.delete(request);
    const entry = connections.get(request.connection);
    entry?.reading.delete(request);
    entry?.queued.delete(request);
  }

  function closeConnection(connection: Connection): void {
    const entry = connections.get(connection);
    // Requests that are being handled hold their memory until the handler has ended.
    for (const request of [...(entry?.reading ?? []), ...(entry?.queued ?? [])])
      removeRequest(request);
    removeUnread(connection, entry?.unreadBytes ?? 0);
    connections.delete(connection);
    idle.delete(connection);
  }

  function removeUnread(connection: Connection, bytes: number): void {
    const entry = connections.get(connection);
    if (entry === undefined) return;
    entry.unreadBytes -= bytes;
    unreadBytes -= bytes;
    if (entry.unreadBytes === 0) unread.delete(connection);
  }

  function pickIdle(): Closing<Connection> | undefined {
    for (const connection of idle.keys()) return { connection, reason: 'idle' };
    return undefined;
  }

  function pickReading(spared?: Connection): Closing<Connection> | undefined {
    for (const { connection } of reading)
      if (connection !== spared) return { connection, reason: 'body' };
    return undefined;
  }

  return {
    openConnection(connection, nowMs) {
      const closing: Closing<Connection>[] = [];
      if (connections.size >= limits.maxConnections) {
        const next = pickIdle() ?? pickReading();
        if (next === undefined) return { accepted: false, closing };
        closeConnection(next.connection);
        closing.push(next);
      }
      connections.set(connection, {
        active: 0,
        unwritten: 0,
        unreadBytes: 0,
        reading: new Set(),
        queued: new Set(),
      });
      addIdle(connection, nowMs);
      return { accepted: true, closing };
    },
    closeConnection,
    beginRequest(connection, nowMs, isProbe = false) {
      const entry = connections.get(connection);
      // Further requests of a connection that is being closed are dropped with it.
      if (entry === undefined || entry.unwritten >= limits.maxPipelined)
        return 'pipelined';
      entry.unwritten += 1;
      if (requests >= limits.maxRequests && !isProbe) return 'overloaded';
      entry.active += 1;
      idle.delete(connection);
      const request: RequestEntry<Connection> = {
        connection,
        phase: 'reading',
        beganMs: nowMs,
        bytes: 0,
      };
      requests += 1;
      reading.add(request);
      entry.reading.add(request);
      return request;
    },
    reserveBody(handle, bytes) {
      const request = handle as RequestEntry<Connection>;
      const closing: Closing<Connection>[] = [];
      if (request.phase === 'ended') return { granted: false, closing };
      while (bodiesBytes - request.bytes + bytes > limits.maxBodiesBytes) {
        const next = pickReading(request.connection);
        if (next === undefined) return { granted: false, closing };
        closeConnection(next.connection);
        closing.push(next);
      }
      bodiesBytes += bytes - request.bytes;
      request.bytes = bytes;
      return { granted: true, closing };
    },
    queueRequest(handle) {
      const request = handle as RequestEntry<Connection>;
      if (request.phase !== 'reading') return;
      endReading(request);
      request.phase = 'queued';
      connections.get(request.connection)?.queued.add(request);
    },
    resumeRequest(handle, nowMs) {
      const request = handle as RequestEntry<Connection>;
      if (request.phase !== 'queued') return;
      endReading(request);
      request.phase = 'reading';
      request.beganMs = nowMs;
      reading.add(request);
      connections.get(request.connection)?.reading.add(request);
    },
    completeBody(handle) {
      const request = handle as RequestEntry<Connection>;
      if (request.phase !== 'reading') return;
      endReading(request);
      request.phase = 'handling';
    },
    endRequest(handle, nowMs) {
      const request = handle as RequestEntry<Connection>;
      if (request.phase === 'ended') return;
      removeRequest(request);
      const entry = connections.get(request.connection);
      if (entry === undefined) return;
      entry.active -= 1;
      if (entry.active === 0) addIdle(request.connection, nowMs);
    },
    hasUnanswered: (connection) =>
      (connections.get(connection)?.unwritten ?? 0) > 0,
    addUnread(connection, bytes) {
      const closing: Closing<Connection>[] = [];
      const entry = connections.get(connection);
      if (entry === undefined) return closing;
      entry.unreadBytes += bytes;
      unreadBytes += bytes;
      unread.add(connection);
      for (const other of unread) {
        if (unreadBytes <= limits.maxUnreadBytes) break;
        if (other === connection) continue;
        closeConnection(other);
        closing.push({ connection: other, reason: 'unread' });
      }
      return closing;
    },
    recordWritten(connection, writtenBytes) {
      const entry = connections.get(connection);
      if (entry === undefined) return;
      entry.unwritten -= 1;
      removeUnread(connection, writtenBytes);
    },
    listExpired(nowMs, timeouts) {
      const closing: Closing<Connection>[] = [];
      for (const { connection, beganMs } of reading) {
        if (nowMs - beganMs < limits.bodyTimeoutMs) break;
        closing.push({ connection, reason: 'body-timeout' });
      }
      for (const [connection, entry] of idle) {
        if (getReadBytes(connection) - entry.readBytes > EMPTY_LINE_BYTES)
          entry.headerMs ??= nowMs;
        const headerAgeMs = nowMs - (entry.headerMs ?? nowMs);
        if (headerAgeMs >= timeouts.headerMs)
          closing.push({ connection, reason: 'header-timeout' });
        else if (nowMs - entry.sinceMs >= timeouts.idleMs)
          closing.push({ connection, reason: 'idle-timeout' });
      }
      return closing;
    },
    count: () => ({ connections: connections.size, requests, bodiesBytes }),
  };
}
