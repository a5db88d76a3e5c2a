/**
 * Bounds what the connections of an HTTP server take in memory, descriptors and processor
 * time. `intake` decides what to close or refuse; this module reports to it what happens on
 * the connections, and carries out its decisions. What Node.js would answer by itself is
 * answered here, so that it counts like other requests.
 */
import type * as http from 'node:http';
import * as core from '@flamingoward/core';
import * as intakes from './intake.js';
import type * as limitTypes from './limits.js';
import * as piecewise from './piecewise.js';
import * as readTurns from './readTurns.js';
import * as refusals from './refusals.js';
import * as requestBody from './requestBody.js';

const SWEEP_INTERVAL_MS = 500;
const CONTINUE_PATTERN = /^100-continue$/i;

/** Events and limits of a guarded server. */
export interface GuardOptions {
  readonly timers: core.TimerService;
  readonly limits: limitTypes.IntakeLimits;
  /** Whether requests of HTTP/1.1 without a Host header are refused (RFC 9112, section 3.2). */
  readonly requiresHost: boolean;
  /**
   * Returns whether a request asks for the state of the process and is answered at once; a
   * load balancer that gets no answer would take a busy process out.
   */
  isProbe?(request: http.IncomingMessage): boolean;
  getTimeouts(): intakes.IdleTimeouts;
  recordShed(reason: string): void;
  /**
   * Handles a request. The body is read, if at all, before anything else is done: until it
   * is complete, the request may be shed. Its memory is held until the promise settles.
   */
  handle(request: GuardedRequest): Promise<void> | void;
  encodeRefusal(refusal: refusals.Refusal): refusals.EncodedRefusal;
}

/** A request that has been admitted. */
export interface GuardedRequest {
  readonly request: http.IncomingMessage;
  readonly response: http.ServerResponse;
  /**
   * Reads the body; called at most once. After any outcome but `complete`, the answer must
   * be the last one on its connection.
   */
  readonly readBody: (
    maxBytes: number,
    timeoutMs?: number,
  ) => Promise<requestBody.ReceivedBody>;
}

/** A guarded server. */
export interface ConnectionGuard {
  /** Answers a request that hasn't run and never will, and closes its connection. */
  refuse(response: http.ServerResponse, refusal: refusals.Refusal): void;
  close(): void;
}

type Stream = piecewise.PiecewiseStream;

/**
 * Creates the guard of a server that hasn't accepted a connection yet, and that has no
 * listener for requests and no limits of time or for the Host header of its own.
 */
export function createConnectionGuard(
  server: http.Server,
  options: GuardOptions,
): ConnectionGuard {
  const { timers, limits } = options;
  const intake = intakes.createIntake<Stream>(limits, (stream) =>
    stream.getReadBytes(),
  );
  /** The request whose body is being read. */
  const readers = new WeakMap<Stream, requestBody.BodyReader>();
  const pool = core.createBufferPool(limits.maxBodiesBytes);
  const turns = readTurns.createReadTurns(timers);
  /** Size of answers that are handed over and not written completely, in bytes. */
  const unreadBytes = new WeakMap<http.ServerResponse, number>();
  /** Requests that wait for the answer to the one before them, by connections with a request. */
  const queues = new WeakMap<Stream, (() => void)[]>();
  /** Connections with bytes that aren't valid HTTP, which close after the answers to earlier requests. */
  const malformed = new WeakSet<Stream>();

  // The listener of the server itself parses the connection.
  const parsers = server.listeners('connection');
  server.removeAllListeners('connection');
  server.on('connection', (socket) => {
    const stream = piecewise.createPiecewiseStream(socket, timers);
    const decision = intake.openConnection(stream, timers.getNow());
    for (const closing of decision.closing) closeConnection(closing);
    if (!decision.accepted) {
      options.recordShed('connection');
      socket.write(formatRefusal(refusals.tooManyConnections));
      socket.destroySoon();
      return;
    }
    stream.once('close', () => {
      intake.closeConnection(stream);
      turns.remove(stream);
    });
    for (const parse of parsers) parse.call(server, stream);
  });
  server.on('request', receive);
  // Without listeners, Node.js answers these by itself, and nothing counts the answers.
  server.on('checkContinue', receive);
  server.on('checkExpectation', receive);
  server.on('clientError', (error: NodeJS.ErrnoException, duplex: unknown) => {
    refuseMalformed(duplex as Stream, error.code);
  });

  const sweepTimer = timers.subscribe(
    { name: 'intake.sweep', delayMs: SWEEP_INTERVAL_MS, repeat: 'periodic' },
    () => {
      const nowMs = timers.getNow();
      for (const closing of intake.listExpired(nowMs, options.getTimeouts()))
        closeConnection(closing);
    },
  );

  function formatRefusal(refusal: refusals.Refusal): string {
    return refusals.formatRefusal(refusal, options.encodeRefusal(refusal));
  }

  function closeConnection({
    connection: stream,
    reason,
  }: intakes.Closing<Stream>): void {
    options.recordShed(reason);
    switch (reason) {
      case 'body':
      case 'body-timeout':
        refuseReading(stream, refusals.slowBody);
        break;
      case 'header-timeout':
        if (stream.writable && !intake.hasUnanswered(stream))
          stream.write(formatRefusal(refusals.slowHeader));
        break;
      case 'idle':
      case 'idle-timeout':
      case 'unread':
        break;
    }
    stream.destroy();
  }

  /** Refuses the request whose body is being read. */
  function refuseReading(stream: Stream, refusal: refusals.Refusal): void {
    const reader = readers.get(stream);
    if (reader === undefined) return;
    if (!reader.response.headersSent) sendRefusal(reader.response, refusal);
    reader.finish({ outcome: 'ended' });
  }

  function sendRefusal(
    response: http.ServerResponse,
    refusal: refusals.Refusal,
  ): void {
    refusals.sendRefusal(response, refusal, options.encodeRefusal(refusal));
  }

  /**
   * Refuses bytes that aren't valid HTTP. While earlier requests of the connection are
   * unanswered, the caller would take the refusal for one of their answers; then the
   * connection is closed after those answers instead.
   */
  function refuseMalformed(stream: Stream, code: string | undefined): void {
    if (code === 'ECONNRESET' || !stream.writable) {
      stream.destroy();
      return;
    }
    options.recordShed('malformed');
    turns.remove(stream);
    if (!intake.hasUnanswered(stream)) {
      stream.dropInput();
      stream.end(formatRefusal(refusals.describeParseError(code)));
      stream.destroySoon();
      return;
    }
    malformed.add(stream);
    const reader = readers.get(stream);
    stream.dropInput();
    // A complete body is still delivered.
    if (reader?.response.req.complete === false)
      reader.finish({ outcome: 'malformed' });
  }

  function receive(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): void {
    const entry = acceptRequest(request, response);
    if (entry === undefined) return;
    const stream = entry.connection;
    const queue = queues.get(stream);
    if (queue === undefined) {
      queues.set(stream, []);
      handleRequest(entry, response);
      return;
    }
    // One at a time: clients that pipeline must not take more than others.
    intake.queueRequest(entry);
    queue.push(() => {
      intake.resumeRequest(entry, timers.getNow());
      handleRequest(entry, response);
    });
  }

  function handleRequest(
    entry: intakes.IntakeRequest<Stream>,
    response: http.ServerResponse,
  ): void {
    const body = { isRead: false };
    const handled = options.handle({
      request: response.req,
      response,
      readBody(maxBytes, timeoutMs) {
        body.isRead = true;
        return readBody(entry, response, maxBytes, timeoutMs);
      },
    });
    // From now on the request may have an effect, so it is no longer shed.
    if (!body.isRead) intake.completeBody(entry);
    void Promise.resolve(handled).finally(() => {
      intake.endRequest(entry, timers.getNow());
      countUnread(response);
    });
  }

  /** Counts an answer that has been handed over and not been written completely. */
  function countUnread(response: http.ServerResponse): void {
    const bytes = response.writableLength;
    if (!response.writableEnded || response.closed || bytes === 0) return;
    const stream = getStream(response.req);
    unreadBytes.set(response, bytes);
    for (const closing of intake.addUnread(stream, bytes))
      closeConnection(closing);
  }

  function acceptRequest(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): intakes.IntakeRequest<Stream> | undefined {
    const stream = getStream(request);
    // What follows on a connection that is being closed is dropped with it.
    if (stream.destroyed || stream.isInputDropped()) return undefined;
    const begun = intake.beginRequest(
      stream,
      timers.getNow(),
      options.isProbe?.(request),
    );
    if (begun === 'pipelined') {
      options.recordShed('pipelined');
      stream.destroy();
      return undefined;
    }
    response.once('close', () => {
      endResponse(stream, response);
    });
    if (begun === 'overloaded') {
      options.recordShed('request');
      refuse(response, refusals.tooManyRequests);
      return undefined;
    }
    const refusal = checkHeaders(request, options.requiresHost);
    if (refusal !== undefined) {
      intake.endRequest(begun, timers.getNow());
      refuse(response, refusal);
      return undefined;
    }
    return begun;
  }

  function endResponse(stream: Stream, response: http.ServerResponse): void {
    intake.recordWritten(stream, unreadBytes.get(response) ?? 0);
    handleNext(stream);
    const isLast = malformed.has(stream) && !intake.hasUnanswered(stream);
    // A connection with an unread body can't carry another request.
    if (!response.req.complete || isLast) stream.destroySoon();
  }

  /** Handles the next request of a connection, if one waits. */
  function handleNext(stream: Stream): void {
    const next = queues.get(stream)?.shift();
    if (next === undefined) queues.delete(stream);
    else if (!stream.destroyed) next();
  }

  /** Refuses a request, and closes its connection once earlier answers are written, too. */
  function refuse(
    response: http.ServerResponse,
    refusal: refusals.Refusal,
  ): void {
    const stream = getStream(response.req);
    stream.dropInput();
    response.once('finish', () => {
      stream.destroySoon();
    });
    sendRefusal(response, refusal);
  }

  function readBody(
    entry: intakes.IntakeRequest<Stream>,
    response: http.ServerResponse,
    maxBytes: number,
    timeoutMs: number | undefined,
  ): Promise<requestBody.ReceivedBody> {
    const request = response.req;
    const stream = getStream(request);
    const declaredBytes = Number(request.headers['content-length'] ?? 0);
    if (declaredBytes > maxBytes) {
      markLast(response);
      intake.completeBody(entry);
      return Promise.resolve({ outcome: 'too-large' });
    }
    if (malformed.has(stream) && !request.complete) {
      markLast(response);
      intake.completeBody(entry);
      return Promise.resolve({ outcome: 'malformed' });
    }
    return new Promise((resolve) => {
      const reader = requestBody.readRequestBody(request, response, {
        timers,
        pool,
        turns,
        stream,
        maxBytes,
        timeoutMs,
        reserve: (bytes) => reserveBody(entry, response, bytes),
        onFinish(received) {
          if (readers.get(stream) === reader) readers.delete(stream);
          if (received.outcome !== 'complete') markLast(response);
          intake.completeBody(entry);
          resolve(received);
        },
      });
      readers.set(stream, reader);
    });
  }

  /** Makes an answer the last one on its connection, since the body of its request stays unread. */
  function markLast(response: http.ServerResponse): void {
    if (!response.headersSent) response.setHeader('connection', 'close');
    getStream(response.req).dropInput();
  }

  function reserveBody(
    entry: intakes.IntakeRequest<Stream>,
    response: http.ServerResponse,
    bytes: number,
  ): ReturnType<typeof intake.reserveBody> {
    const decision = intake.reserveBody(entry, bytes);
    for (const closing of decision.closing) closeConnection(closing);
    if (!decision.granted) {
      options.recordShed('body-memory');
      intake.endRequest(entry, timers.getNow());
      if (!response.headersSent) refuse(response, refusals.tooManyBodies);
    }
    return decision;
  }

  return {
    refuse,
    close() {
      sweepTimer.end();
      turns.close();
    },
  };
}

/** Returns the stream that the server parses in place of the socket. */
function getStream(request: http.IncomingMessage): Stream {
  return request.socket as unknown as Stream;
}

/** Returns why the header of a request is refused, if it is. */
function checkHeaders(
  { httpVersion, headers }: http.IncomingMessage,
  requiresHost: boolean,
): refusals.Refusal | undefined {
  if (requiresHost && httpVersion === '1.1' && headers.host === undefined)
    return refusals.missingHost;
  if (headers.expect !== undefined && !CONTINUE_PATTERN.test(headers.expect))
    return refusals.unknownExpectation;
  return undefined;
}
