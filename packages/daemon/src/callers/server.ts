/**
 * HTTP server on the callers' address: limits headers, bodies and times, answers
 * malformed input with a reason, and on a planned stop answers every request in flight.
 */
import * as http from 'node:http';
import type * as net from 'node:net';
import * as core from '@flamingoward/core';
import type * as types from '../types.js';
import type * as requests from '../requests/types.js';
import * as exchanges from './exchange.js';
import * as routes from './routes.js';

const MAX_HEADER_BYTES = 16 * 1024;
const MAX_HEADERS = 100;
const HEADERS_TIMEOUT_MS = 5_000;
const KEEP_ALIVE_TIMEOUT_MS = 30_000;
const DEFAULT_BODY_TIMEOUT_MS = 10_000;
/** Time for the remaining answers of a stop to be written after the requests were cancelled. */
const FINAL_ANSWERS_TIMEOUT_MS = 200;

/** Dependencies and limits of the callers' server. */
export interface CallersServerOptions {
  readonly context: types.PartContext;
  readonly path: requests.RequestPath;
  readonly jobs: types.Jobs;
  readonly releases: types.Releases;
  /** Address to listen on, `ip:port`. */
  readonly listen: core.ids.Address;
  readonly maxBodyBytes: number;
  /** Longest time until a body has arrived completely. */
  readonly bodyTimeoutMs?: number;
}

/** HTTP server for callers. */
export interface CallersServer {
  /** Starts listening; resolves with the bound address. Rejects with `port-in-use`. */
  start(): Promise<core.ids.Address>;
  /** Makes `/readyz` report not ready; requests are still accepted. */
  markUnready(): void;
  /** Refuses new work as `not-run`; requests in flight continue. */
  drain(): void;
  /**
   * Stops listening and resolves when all requests are answered. After `timeoutMs`,
   * requests that wait are refused as `not-run`, and those already sent to a backend
   * server are answered `unknown`.
   */
  close(timeoutMs: number): Promise<void>;
  /** Plain JSON-ready copy of the state. */
  dump(): unknown;
}

/** Creates the server; it starts listening with `start`. */
export function createCallersServer(
  options: CallersServerOptions,
): CallersServer {
  const { context, path } = options;
  const { timers, log, metrics } = context;
  const inFlight = new Set<exchanges.Exchange>();
  // Requests of each connection that have not been answered yet.
  const unansweredBySocket = new WeakMap<net.Socket, Set<exchanges.Exchange>>();
  // Connections on which bytes arrived that aren't valid HTTP.
  const malformedSockets = new WeakSet<net.Socket>();
  let ready = true;
  let draining = false;
  let onAllAnswered: (() => void) | undefined;
  const routeDependencies: routes.RouteDependencies = {
    path,
    jobs: options.jobs,
    releases: options.releases,
    maxBodyBytes: options.maxBodyBytes,
    bodyTimeoutMs: options.bodyTimeoutMs ?? DEFAULT_BODY_TIMEOUT_MS,
    isReady: () => ready && !draining && options.releases.isReady(),
    isDraining: () => draining,
  };

  const server = http.createServer(
    {
      maxHeaderSize: MAX_HEADER_BYTES,
      headersTimeout: HEADERS_TIMEOUT_MS,
      // Longer than the body timeout, which is answered with a reason before Node cuts in.
      requestTimeout: routeDependencies.bodyTimeoutMs + HEADERS_TIMEOUT_MS,
      keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
      connectionsCheckingInterval: 1_000,
      // Callers that use an IP address and old clients don't always send `Host`.
      requireHostHeader: false,
    },
    (request, response) => {
      void serve(request, response);
    },
  );
  // Unlimited: Node would silently drop fields over its limit, so they are counted in `serve`.
  server.maxHeadersCount = 0;
  server.on('clientError', refuseMalformed);
  server.on('checkContinue', (request, response) => {
    const declared = Number(request.headers['content-length'] ?? 0);
    if (declared <= options.maxBodyBytes) response.writeContinue();
    void serve(request, response);
  });

  async function serve(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const exchange = exchanges.createExchange(
      timers,
      request,
      response,
      () => draining,
    );
    inFlight.add(exchange);
    getUnanswered(request.socket).add(exchange);
    response.on('close', () => {
      endExchange(exchange, request.socket);
    });
    try {
      if (request.rawHeaders.length > 2 * MAX_HEADERS)
        routes.refuse(exchange, 431, `more than ${MAX_HEADERS} header fields`);
      else await routes.routeRequest(routeDependencies, exchange);
    } catch (error) {
      failExchange(exchange, error);
    }
    if (!request.complete) closeAfterAnswer(request, response);
  }

  function failExchange(exchange: exchanges.Exchange, error: unknown): void {
    log.write('error', 'callers.failed', {
      request: exchange.id,
      cause: core.describeError(error),
    });
    metrics.count('callers_failed_total', {});
    // The request may already have been sent to a backend server.
    exchange.sendAnswer({
      answer: 'unknown',
      reason: 'an internal error occurred while handling the request',
    });
  }

  /** Closes a connection with an unread body once its answer is written: it can't carry another request. */
  function closeAfterAnswer(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): void {
    if (response.writableFinished) request.socket.destroySoon();
    else
      response.once('finish', () => {
        request.socket.destroySoon();
      });
  }

  function getUnanswered(socket: net.Socket): Set<exchanges.Exchange> {
    const known = unansweredBySocket.get(socket) ?? new Set();
    unansweredBySocket.set(socket, known);
    return known;
  }

  function endExchange(exchange: exchanges.Exchange, socket: net.Socket): void {
    if (!inFlight.delete(exchange)) return;
    const unanswered = getUnanswered(socket);
    unanswered.delete(exchange);
    if (unanswered.size === 0 && malformedSockets.has(socket))
      socket.destroySoon();
    if (inFlight.size === 0) onAllAnswered?.();
  }

  /**
   * Refuses input that isn't valid HTTP. While earlier requests of the connection are
   * unanswered, the caller would take the refusal for one of their answers; then the
   * connection is closed after those answers instead.
   */
  function refuseMalformed(
    error: Error & { code?: string },
    duplex: unknown,
  ): void {
    const socket = duplex as net.Socket;
    metrics.count('malformed_total', { code: error.code ?? 'unknown' });
    if (!socket.writable || error.code === 'ECONNRESET') {
      socket.destroy();
      return;
    }
    const unanswered = getUnanswered(socket);
    if (unanswered.size > 0) {
      malformedSockets.add(socket);
      for (const exchange of unanswered) exchange.failBody();
      return;
    }
    socket.end(formatMalformedAnswer(error.code));
  }

  function start(): Promise<core.ids.Address> {
    const [host, port] = splitAddress(options.listen);
    return new Promise((resolve, reject) => {
      server.once('error', (cause: NodeJS.ErrnoException) => {
        const origin = { step: 'callers.listen', peer: 'self', cause };
        reject(
          cause.code === 'EADDRINUSE'
            ? core.createFault('port-in-use', origin, options.listen)
            : core.createFault(
                'bad-setting',
                origin,
                `[callers] listen = ${options.listen}: ${cause.message}`,
              ),
        );
      });
      server.listen({ host, port }, () => {
        const address = server.address();
        const boundPort =
          typeof address === 'object' && address !== null ? address.port : port;
        resolve(`${host}:${boundPort}`);
      });
    });
  }

  function drain(): void {
    draining = true;
    path.drain();
  }

  async function close(timeoutMs: number): Promise<void> {
    drain();
    server.close();
    server.closeIdleConnections();
    await waitForAllAnswered(timeoutMs);
    for (const exchange of inFlight) exchange.cancel();
    // Requests that weren't sent yet are now answered `not-run`.
    await waitForAllAnswered(FINAL_ANSWERS_TIMEOUT_MS);
    for (const exchange of inFlight)
      exchange.sendAnswer({
        answer: 'unknown',
        reason: 'this process stopped before the backend server answered',
      });
    await waitForAllAnswered(FINAL_ANSWERS_TIMEOUT_MS);
    server.closeAllConnections();
  }

  async function waitForAllAnswered(timeoutMs: number): Promise<void> {
    if (inFlight.size === 0) return;
    const allAnswered = new Promise<void>((resolve) => {
      onAllAnswered = resolve;
    });
    await Promise.race([
      allAnswered,
      core.waitFor(timers, 'callers.close', timeoutMs),
    ]);
    onAllAnswered = undefined;
  }

  return {
    start,
    markUnready() {
      ready = false;
    },
    drain,
    close,
    dump: () => ({
      ready: routeDependencies.isReady(),
      draining,
      inHand: inFlight.size,
    }),
  };
}

function splitAddress(address: core.ids.Address): [string, number] {
  const colon = address.lastIndexOf(':');
  return [address.slice(0, colon), Number(address.slice(colon + 1))];
}

/** Builds the complete HTTP answer to input that can't be parsed as a request. */
function formatMalformedAnswer(code: string | undefined): string {
  const [status, reason] = describeParseError(code);
  const body = `${JSON.stringify({ answer: 'not-run', reason, requestId: '' })}\n`;
  return [
    `HTTP/1.1 ${status}`,
    'content-type: application/json',
    `${core.requests.answerHeader}: not-run`,
    `content-length: ${Buffer.byteLength(body)}`,
    'connection: close',
    '',
    body,
  ].join('\r\n');
}

function describeParseError(
  code: string | undefined,
): readonly [string, string] {
  if (code === 'HPE_HEADER_OVERFLOW')
    return [
      '431 Request Header Fields Too Large',
      `the header is larger than ${MAX_HEADER_BYTES} bytes`,
    ];
  if (code === 'ERR_HTTP_REQUEST_TIMEOUT')
    return ['408 Request Timeout', 'the request did not arrive in time'];
  return ['400 Bad Request', 'the bytes sent are not a valid HTTP request'];
}
