/**
 * HTTP server on the callers' address: limits headers, bodies and times, answers
 * malformed input with a reason, and on a planned stop answers every request in flight.
 */
import * as http from 'node:http';
import * as core from '@flamingoward/core';
import * as intake from '@flamingoward/intake';
import type * as types from '../types.js';
import type * as requests from '../requests/types.js';
import * as exchanges from './exchange.js';
import * as routes from './routes.js';

const MAX_HEADER_BYTES = 16 * 1024;
const MAX_HEADERS = 100;
const MS_PER_S = 1_000;
const HEADERS_TIMEOUT_MS = 5_000;
const KEEP_ALIVE_TIMEOUT_MS = 30_000;
const DEFAULT_BODY_TIMEOUT_MS = 10_000;
/** Time after the body timeout, which is answered with a reason, in which the answer is written. */
const BODY_TIMEOUT_MARGIN_MS = 5_000;
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
  /** What the process may use of its machine. */
  readonly machine: core.settings.MachineSettings;
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

  const server = http.createServer({
    maxHeaderSize: MAX_HEADER_BYTES,
    keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
    // The guard has deadlines of its own.
    headersTimeout: 0,
    requestTimeout: 0,
    requireHostHeader: false,
  });
  // Unlimited: Node would silently drop fields over its limit, so they are counted in `serve`.
  server.maxHeadersCount = 0;
  const guard = intake.createConnectionGuard(server, {
    timers,
    limits: {
      ...intake.computeIntakeLimits(options.machine, options.maxBodyBytes),
      bodyTimeoutMs: routeDependencies.bodyTimeoutMs + BODY_TIMEOUT_MARGIN_MS,
    },
    // Callers that use an IP address and old clients don't always send `Host`.
    requiresHost: false,
    isProbe: ({ url = '' }) => routes.probePaths.has(url),
    getTimeouts: () => ({
      headerMs: HEADERS_TIMEOUT_MS,
      idleMs: KEEP_ALIVE_TIMEOUT_MS,
    }),
    recordShed(reason) {
      metrics.count('callers_shed_total', { reason });
    },
    handle: serve,
    encodeRefusal,
  });

  async function serve(guarded: intake.GuardedRequest): Promise<void> {
    const { request, response } = guarded;
    const exchange = exchanges.createExchange(guarded, () => draining);
    inFlight.add(exchange);
    response.on('close', () => {
      endExchange(exchange);
    });
    try {
      if (request.rawHeaders.length > 2 * MAX_HEADERS)
        routes.refuse(exchange, 431, `more than ${MAX_HEADERS} header fields`);
      else await routes.routeRequest(routeDependencies, exchange);
    } catch (error) {
      failExchange(exchange, error);
    }
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

  function endExchange(exchange: exchanges.Exchange): void {
    inFlight.delete(exchange);
    if (inFlight.size === 0) onAllAnswered?.();
  }

  async function start(): Promise<core.ids.Address> {
    const { host, port } = core.parseAddress(options.listen, 'callers.listen');
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
    guard.close();
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

/** Builds the answer to what isn't handed to the routes, and so has no request id. */
function encodeRefusal({
  why,
  retryAfterS,
}: intake.Refusal): intake.EncodedRefusal {
  const body: core.requests.AnswerBody = {
    answer: 'not-run',
    reason: why,
    requestId: '',
    ...(retryAfterS === undefined
      ? {}
      : { retryAfterMs: retryAfterS * MS_PER_S }),
  };
  return {
    headers: { [core.requests.answerHeader]: 'not-run' },
    body: `${JSON.stringify(body)}\n`,
  };
}
