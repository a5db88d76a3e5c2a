/**
 * Bounds what the connections of an HTTP server take in memory, descriptors and processor
 * time. `intake` decides what to close or refuse; this module reports to it what
 * happens on the connections, collects the bodies and closes connections.
 */
import * as http from 'node:http';
import * as core from '@flamingoward/core';
import * as intakes from './intake.js';
import * as piecewise from './piecewise.js';
import * as readTurns from './readTurns.js';

const SWEEP_INTERVAL_MS = 500;
/**
 * Chunks of a body after which its connection pauses for the others. Ordinary bodies have a
 * chunk for each piece of a read; a read of 64 KB holds 11,000 chunks of one byte and takes
 * 12 to 18 ms.
 */
const MAX_CHUNKS_PER_TURN = 1_000;
/** Connections with larger reads wait for turns while bodies exceed their limit, in bytes; ordinary bodies are smaller. */
const MAX_UNHELD_BYTES = 16_384;
/**
 * Most bytes beyond the limit that are discarded, so that the caller gets its 413: a
 * connection that is closed with unread bytes is reset.
 */
const MAX_DISCARDED_BYTES = 4_194_304;
const RETRY_AFTER_S = 1;
const CONTINUE_PATTERN = /^100-continue$/i;

/** Events and limits of a guarded server. */
export interface GuardOptions {
  readonly timers: core.TimerService;
  readonly limits: intakes.IntakeLimits;
  getTimeouts(): intakes.IdleTimeouts;
  recordShed(reason: string): void;
  /** Answers a request that hasn't run and never will. */
  refuse(response: http.ServerResponse, refusal: Refusal): void;
}

/** Why a request isn't handled. */
export interface Refusal {
  readonly status: 400 | 417 | 429;
  readonly why: string;
}

/** A request with its whole body; `too-large` when it is over the limit. */
export type ReceivedBody =
  | { readonly outcome: 'complete'; readonly body: Buffer }
  | { readonly outcome: 'too-large' };

/** A guarded server. */
export interface ConnectionGuard {
  /** Reads a request within the limits; calls `handle` once the body is complete. */
  receive(
    request: http.IncomingMessage,
    response: http.ServerResponse,
    maxBodyBytes: number,
    handle: (received: ReceivedBody) => Promise<void> | void,
  ): void;
  close(): void;
}

/** A request whose body is being read. */
interface Reader {
  readonly response: http.ServerResponse;
  /** Frees the memory of the body. */
  release(): void;
}

type Stream = piecewise.PiecewiseStream;

/** Creates the guard of a server that hasn't accepted a connection yet. */
export function createConnectionGuard(
  server: http.Server,
  options: GuardOptions,
): ConnectionGuard {
  const { timers, limits } = options;
  const intake = intakes.createIntake<Stream>(limits, (stream) =>
    stream.getReadBytes(),
  );
  /** The request whose body is being read. */
  const readers = new WeakMap<Stream, Reader>();
  const pool = core.createBufferPool(limits.maxBodiesBytes);
  /** Connections whose body arrives in many small chunks. */
  const turns = readTurns.createReadTurns(timers);
  /** Connections that close after the answer to a refused request. */
  const refused = new WeakSet<Stream>();

  // The listener of the server itself parses the connection.
  const parsers = server.listeners('connection');
  server.removeAllListeners('connection');
  server.on('connection', (socket) => {
    const stream = piecewise.createPiecewiseStream(socket);
    const decision = intake.openConnection(stream, timers.getNow());
    for (const closing of decision.closing) closeConnection(closing);
    if (!decision.accepted) {
      options.recordShed('connection');
      socket.write(formatRefusal(503, 'too many connections'));
      socket.destroySoon();
      return;
    }
    stream.once('close', () => {
      intake.closeConnection(stream);
      turns.remove(stream);
    });
    for (const parse of parsers) parse.call(server, stream);
  });
  // Without listeners, Node.js answers these by itself, and nothing counts the answers.
  for (const event of ['checkContinue', 'checkExpectation'])
    server.on(
      event,
      (request: http.IncomingMessage, response: http.ServerResponse) => {
        server.emit('request', request, response);
      },
    );
  server.on('clientError', (error: NodeJS.ErrnoException, duplex: unknown) => {
    const stream = duplex as Stream;
    // While a request is being handled, the caller would take a refusal for its answer.
    if (
      error.code !== 'ECONNRESET' &&
      stream.writable &&
      intake.canRefuse(stream)
    )
      stream.write(formatClientError(error.code));
    stream.destroy();
  });

  function closeConnection({
    connection: stream,
    reason,
  }: intakes.Closing<Stream>): void {
    options.recordShed(reason);
    const reader = readers.get(stream);
    reader?.release();
    if (
      (reason === 'body' || reason === 'body-timeout') &&
      reader?.response.headersSent === false
    )
      options.refuse(reader.response, {
        status: 429,
        why: 'the body did not arrive in time',
      });
    stream.destroy();
  }

  const sweepTimer = timers.subscribe(
    { name: 'server.sweep', delayMs: SWEEP_INTERVAL_MS, repeat: 'periodic' },
    () => {
      const nowMs = timers.getNow();
      for (const closing of intake.listExpired(nowMs, options.getTimeouts()))
        closeConnection(closing);
    },
  );

  function beginRequest(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): intakes.IntakeRequest<Stream> | undefined {
    const stream = getStream(request);
    // What follows on a connection that is being closed is dropped with it.
    if (stream.destroyed) return undefined;
    const begun = intake.beginRequest(stream, timers.getNow());
    if (begun === 'pipelined') {
      options.recordShed('pipelined');
      stream.destroy();
      return undefined;
    }
    if (refused.has(stream)) {
      if (begun !== 'overloaded') intake.endRequest(begun, timers.getNow());
      return undefined;
    }
    response.once('close', () => {
      intake.recordWritten(stream);
    });
    if (begun === 'overloaded') {
      options.recordShed('request');
      refuseUnread(response, {
        status: 429,
        why: 'too many requests are being handled',
      });
      return undefined;
    }
    const refusal = checkHeaders(request);
    if (refusal !== undefined) {
      intake.endRequest(begun, timers.getNow());
      refuseUnread(response, refusal);
      return undefined;
    }
    if (request.headers.expect !== undefined) response.writeContinue();
    return begun;
  }

  /** Refuses a request whose body hasn't been read, and closes its connection. */
  function refuseUnread(response: http.ServerResponse, refusal: Refusal): void {
    const stream = getStream(response.req);
    // Answers to earlier requests of the connection are written first.
    response.once('finish', () => {
      stream.destroySoon();
    });
    refused.add(stream);
    options.refuse(response, refusal);
  }

  return {
    receive(request, response, maxBodyBytes, handle) {
      const stream = getStream(request);
      const entry = beginRequest(request, response);
      if (entry === undefined) return;
      const body = core.createBodyBuffer(pool);
      const reader: Reader = {
        response,
        release() {
          collecting = false;
          body.release();
        },
      };
      readers.set(stream, reader);
      let collecting = true;
      let bytes = 0;
      let chunks = 0;

      function addChunk(chunk: Buffer): void {
        if (entry === undefined || stream.destroyed) return;
        bytes += chunk.length;
        if (bytes > maxBodyBytes) {
          reader.release();
          intake.reserveBody(entry, 0);
          if (bytes > maxBodyBytes + MAX_DISCARDED_BYTES) stream.destroy();
          return;
        }
        if (!collecting) return;
        const decision = intake.reserveBody(
          entry,
          body.computeBytes(chunk.length),
        );
        for (const closing of decision.closing) closeConnection(closing);
        if (decision.granted) {
          body.add(chunk);
          // Large reads would leave more memory behind than the bodies that they replace.
          if (
            decision.closing.length > 0 &&
            stream.getLatestReadBytes() > MAX_UNHELD_BYTES
          )
            turns.add(stream);
          return;
        }
        reader.release();
        options.recordShed('body-memory');
        intake.endRequest(entry, timers.getNow());
        refuseUnread(response, {
          status: 429,
          why: 'too many bodies are being received',
        });
      }

      request.on('data', (chunk: Buffer) => {
        addChunk(chunk);
        chunks += 1;
        if (chunks % MAX_CHUNKS_PER_TURN === 0) turns.add(stream);
      });
      request.on('end', () => {
        turns.release(stream);
        if (readers.get(stream) === reader) readers.delete(stream);
        if (stream.destroyed || response.headersSent) return;
        intake.completeBody(entry);
        const received: ReceivedBody = collecting
          ? { outcome: 'complete', body: body.get() }
          : { outcome: 'too-large' };
        reader.release();
        void Promise.resolve(handle(received)).finally(() => {
          intake.endRequest(entry, timers.getNow());
        });
      });
      request.on('close', () => {
        reader.release();
      });
      request.on('error', () => {
        // The caller disconnected before the whole body was read, so nothing has been done.
        response.destroy();
      });
    },
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

/** Returns why the header of a request is refused: the checks that Node.js would answer by itself. */
function checkHeaders({
  httpVersion,
  headers,
}: http.IncomingMessage): Refusal | undefined {
  if (httpVersion === '1.1' && headers.host === undefined)
    return { status: 400, why: 'the header Host is missing' };
  if (headers.expect !== undefined && !CONTINUE_PATTERN.test(headers.expect))
    return { status: 417, why: 'only Expect: 100-continue is supported' };
  return undefined;
}

function formatClientError(code: string | undefined): string {
  return code === 'HPE_HEADER_OVERFLOW'
    ? formatRefusal(431, 'the header is too large')
    : formatRefusal(400, 'the bytes sent are not a valid HTTP request');
}

/** Builds the complete HTTP answer to what can't be received as a request. */
function formatRefusal(status: number, why: string): string {
  const body = JSON.stringify({ error: why });
  return [
    `HTTP/1.1 ${status} ${http.STATUS_CODES[status] ?? ''}`,
    'content-type: application/json',
    ...(status === 503 ? [`retry-after: ${RETRY_AFTER_S}`] : []),
    `content-length: ${Buffer.byteLength(body)}`,
    'connection: close',
    '',
    body,
  ].join('\r\n');
}
