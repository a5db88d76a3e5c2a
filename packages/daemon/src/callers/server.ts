/**
 * The callers' address: Node's HTTP server with limits, clear answers to malformed
 * input, and a planned stop that answers everything in hand.
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
const KEEP_ALIVE_MS = 30_000;
const DEFAULT_BODY_TIMEOUT_MS = 10_000;
/** Time at the end of a stop in which the last answers are written. */
const FLUSH_MS = 200;

/** What the callers' server works with. */
export interface CallersServerParts {
  readonly context: types.PartContext;
  readonly path: requests.RequestPath;
  readonly jobs: types.Jobs;
  readonly releases: types.Releases;
  /** Address to listen on, `ip:port`. */
  readonly listen: core.ids.Address;
  readonly maxBodyBytes: number;
  /** Longest time for a body to arrive. */
  readonly bodyTimeoutMs?: number;
}

/** The server on the callers' address. */
export interface CallersServer {
  /** Begins to listen; resolves with the address in use. Rejects with `port-in-use`. */
  start(): Promise<core.ids.Address>;
  /** Reports not ready from now on, and still takes requests. */
  markUnready(): void;
  /** Refuses new work as not run from now on; what is in hand goes on. */
  drain(): void;
  /**
   * Stops listening and resolves when all requests are answered. After `boundMs`
   * the waiting ones are refused as not run and the sent ones answered as unknown.
   */
  close(boundMs: number): Promise<void>;
  /** Plain JSON-ready copy of the state. */
  dump(): unknown;
}

/** Creates the server; it listens after `start`. */
export function createCallersServer(parts: CallersServerParts): CallersServer {
  const { context, path } = parts;
  const { timers, log, metrics } = context;
  const inHand = new Set<exchanges.Exchange>();
  // Requests of a connection whose answers are still owed to the caller.
  const owed = new WeakMap<net.Socket, Set<exchanges.Exchange>>();
  // Connections that sent bytes which aren't HTTP.
  const broken = new WeakSet<net.Socket>();
  let ready = true;
  let draining = false;
  let onEmpty: (() => void) | undefined;
  const routeParts: routes.RouteParts = {
    path,
    jobs: parts.jobs,
    releases: parts.releases,
    maxBodyBytes: parts.maxBodyBytes,
    bodyTimeoutMs: parts.bodyTimeoutMs ?? DEFAULT_BODY_TIMEOUT_MS,
    isReady: () => ready && !draining && parts.releases.isReady(),
    isDraining: () => draining,
  };

  const server = http.createServer(
    {
      maxHeaderSize: MAX_HEADER_BYTES,
      headersTimeout: HEADERS_TIMEOUT_MS,
      // The body has its own limit, which allows for a clear answer.
      requestTimeout: routeParts.bodyTimeoutMs + HEADERS_TIMEOUT_MS,
      keepAliveTimeout: KEEP_ALIVE_MS,
      connectionsCheckingInterval: 1_000,
      // Callers on IP addresses and old clients don't always send it.
      requireHostHeader: false,
    },
    (request, response) => {
      void serve(request, response);
    },
  );
  // With a limit, Node drops the further fields; all are read here and counted.
  server.maxHeadersCount = 0;
  server.on('clientError', refuseMalformed);
  server.on('checkContinue', (request, response) => {
    const declared = Number(request.headers['content-length'] ?? 0);
    if (declared <= parts.maxBodyBytes) response.writeContinue();
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
    inHand.add(exchange);
    listOwed(request.socket).add(exchange);
    response.on('close', () => {
      endExchange(exchange, request.socket);
    });
    try {
      if (request.rawHeaders.length > 2 * MAX_HEADERS)
        routes.refuse(exchange, 431, `more than ${MAX_HEADERS} header fields`);
      else await routes.routeRequest(routeParts, exchange);
    } catch (error) {
      failExchange(exchange, error);
    }
    if (!request.complete) closeUnread(request, response);
  }

  function failExchange(exchange: exchanges.Exchange, error: unknown): void {
    log.write('error', 'callers.failed', {
      request: exchange.id,
      cause: core.describeError(error),
    });
    metrics.count('callers_failed_total', {});
    // What was done before the error isn't known here.
    exchange.sendAnswer({
      answer: 'unknown',
      reason: 'this process failed while it worked on the request',
    });
  }

  /** A connection with an unread body can't carry another request. */
  function closeUnread(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): void {
    if (response.writableFinished) request.socket.destroySoon();
    else
      response.once('finish', () => {
        request.socket.destroySoon();
      });
  }

  function listOwed(socket: net.Socket): Set<exchanges.Exchange> {
    const known = owed.get(socket) ?? new Set();
    owed.set(socket, known);
    return known;
  }

  function endExchange(exchange: exchanges.Exchange, socket: net.Socket): void {
    if (!inHand.delete(exchange)) return;
    const left = listOwed(socket);
    left.delete(exchange);
    if (left.size === 0 && broken.has(socket)) socket.destroySoon();
    if (inHand.size === 0) onEmpty?.();
  }

  /**
   * Answers input that isn't HTTP. While the connection owes an earlier answer,
   * these bytes would be taken for it, so the connection is closed after that answer.
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
    const left = listOwed(socket);
    if (left.size > 0) {
      broken.add(socket);
      for (const exchange of left) exchange.failBody();
      return;
    }
    socket.end(formatMalformed(error.code));
  }

  function start(): Promise<core.ids.Address> {
    const [host, port] = splitAddress(parts.listen);
    return new Promise((resolve, reject) => {
      server.once('error', (cause: NodeJS.ErrnoException) => {
        const origin = { step: 'callers.listen', peer: 'self', cause };
        reject(
          cause.code === 'EADDRINUSE'
            ? core.createFault('port-in-use', origin, parts.listen)
            : core.createFault(
                'bad-setting',
                origin,
                `[callers] listen = ${parts.listen}: ${cause.message}`,
              ),
        );
      });
      server.listen({ host, port }, () => {
        const address = server.address();
        const used =
          typeof address === 'object' && address !== null ? address.port : port;
        resolve(`${host}:${used}`);
      });
    });
  }

  function drain(): void {
    draining = true;
    path.drain();
  }

  async function close(boundMs: number): Promise<void> {
    drain();
    server.close();
    server.closeIdleConnections();
    await waitForEmpty(boundMs);
    for (const exchange of inHand) exchange.cancel();
    // Refusals that follow from the cancellation are answered as not run.
    await waitForEmpty(FLUSH_MS);
    for (const exchange of inHand)
      exchange.sendAnswer({
        answer: 'unknown',
        reason: 'this process had to stop before the answer came',
      });
    await waitForEmpty(FLUSH_MS);
    server.closeAllConnections();
  }

  async function waitForEmpty(boundMs: number): Promise<void> {
    if (inHand.size === 0) return;
    const empty = new Promise<void>((resolve) => {
      onEmpty = resolve;
    });
    await Promise.race([empty, core.waitFor(timers, 'callers.close', boundMs)]);
    onEmpty = undefined;
  }

  return {
    start,
    markUnready() {
      ready = false;
    },
    drain,
    close,
    dump: () => ({
      ready: routeParts.isReady(),
      draining,
      inHand: inHand.size,
    }),
  };
}

function splitAddress(address: core.ids.Address): [string, number] {
  const at = address.lastIndexOf(':');
  return [address.slice(0, at), Number(address.slice(at + 1))];
}

/** Builds the whole answer to input that isn't a request. */
function formatMalformed(code: string | undefined): string {
  const [status, reason] = describeMalformed(code);
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

function describeMalformed(
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
