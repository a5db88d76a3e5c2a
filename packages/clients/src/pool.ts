/**
 * Pool with a bounded number of connections to one HTTP server. A request takes an idle
 * connection or waits for one. A connection whose request ended without a complete
 * response is destroyed, so that a late response can't reach the next request.
 */
import * as core from '@flamingoward/core';
import * as httpConnections from './httpConnection.js';
import type * as types from './types.js';

/** Options of a pool. */
export interface PoolOptions {
  readonly address: core.ids.Address;
  readonly timers: core.TimerService;
  /** Largest number of connections. */
  readonly connections: number;
  readonly connectTimeoutMs: number;
}

/** Connections to one server. */
export interface Pool {
  /** Sends one request at most once; never rejects. */
  send(
    request: types.HttpRequest,
    options: types.HttpOptions,
    step: string,
  ): Promise<types.HttpResult>;
  /**
   * Closes idle connections now and the others when their requests end; returns the
   * number still in use. A later request opens connections again.
   */
  drain(): number;
  /** Destroys all connections; in-flight requests end as `uncertain` or `not-sent`. */
  close(): void;
}

/** A request that waits for a connection or is in flight on one. */
interface PooledRequest {
  readonly request: types.HttpRequest;
  readonly options: types.HttpOptions;
  readonly finish: (result: types.HttpResult) => void;
  connection?: httpConnections.HttpConnection;
  abort?: (cause: Error) => void;
  ended: boolean;
}

/** Creates a pool; it opens connections as requests need them. */
export function createPool(options: PoolOptions): Pool {
  const canConnect = core.splitAddress(options.address) !== undefined;
  const idleConnections: httpConnections.HttpConnection[] = [];
  const waitingRequests: PooledRequest[] = [];
  const activeRequests = new Set<PooledRequest>();
  let openConnections = 0;
  let draining = false;
  let closed = false;

  function takeConnection(): httpConnections.HttpConnection | undefined {
    const connection = idleConnections.pop();
    if (connection !== undefined) return connection;
    if (openConnections >= options.connections) return undefined;
    const created = httpConnections.createHttpConnection(
      options.address,
      options.connectTimeoutMs,
    );
    openConnections += 1;
    return created;
  }

  function returnConnection(
    connection: httpConnections.HttpConnection,
    reusable: boolean,
  ): void {
    if (reusable && !closed && !draining) idleConnections.push(connection);
    else {
      connection.destroy();
      openConnections -= 1;
    }
    dispatchWaiting();
  }

  function dispatchWaiting(): void {
    while (waitingRequests.length > 0 && !closed) {
      const connection = takeConnection();
      if (connection === undefined) return;
      const pooled = waitingRequests.shift();
      if (pooled === undefined) idleConnections.push(connection);
      else runRequest(pooled, connection);
    }
  }

  function runRequest(
    pooled: PooledRequest,
    connection: httpConnections.HttpConnection,
  ): void {
    activeRequests.add(pooled);
    pooled.connection = connection;
    const abort = connection.run(pooled.request, pooled.options, (result) => {
      activeRequests.delete(pooled);
      pooled.finish(result);
      returnConnection(connection, result.result === 'answered');
    });
    pooled.abort = abort;
  }

  function endRequest(pooled: PooledRequest, cause: Error): void {
    if (pooled.ended) return;
    if (pooled.abort !== undefined) {
      pooled.abort(cause);
      return;
    }
    const waitingIndex = waitingRequests.indexOf(pooled);
    if (waitingIndex >= 0) waitingRequests.splice(waitingIndex, 1);
    pooled.finish({ result: 'not-sent', cause });
  }

  function send(
    request: types.HttpRequest,
    limits: types.HttpOptions,
    step: string,
  ): Promise<types.HttpResult> {
    const origin = { step, peer: options.address };
    if (!canConnect) {
      const cause = core.createAddressFault(options.address, step);
      return Promise.resolve({ result: 'not-sent', cause });
    }
    return new Promise((resolve) => {
      const pooled: PooledRequest = {
        request,
        options: limits,
        ended: false,
        finish: (result) => {
          if (pooled.ended) return;
          pooled.ended = true;
          timeout.end();
          limits.signal?.removeEventListener('abort', cancel);
          resolve(result);
        },
      };
      const cancel = () => {
        endRequest(pooled, core.createFault('link-closed', origin));
      };
      const timeout = options.timers.subscribe(
        { name: step, delayMs: limits.timeoutMs, repeat: 'once' },
        () => {
          endRequest(
            pooled,
            core.createFault('timeout', origin, String(limits.timeoutMs)),
          );
        },
      );
      limits.signal?.addEventListener('abort', cancel);
      draining = false;
      waitingRequests.push(pooled);
      if (closed || limits.signal?.aborted === true) cancel();
      else dispatchWaiting();
    });
  }

  function drain(): number {
    draining = true;
    for (const connection of idleConnections.splice(0)) {
      connection.destroy();
      openConnections -= 1;
    }
    return openConnections;
  }

  function close(): void {
    closed = true;
    const cause = core.createFault('link-closed', {
      step: 'pool.close',
      peer: options.address,
    });
    for (const pooled of [...waitingRequests, ...activeRequests])
      endRequest(pooled, cause);
    drain();
  }

  return { send, drain, close };
}

/**
 * Sends a request with a JSON body and returns the parsed response. Rejects with a fault
 * on an unexpected status, an incomplete response, or a response that isn't JSON.
 */
export async function requestJson(
  pool: Pool,
  peer: string,
  step: string,
  request: Omit<types.HttpRequest, 'headers' | 'body'> & {
    readonly body?: unknown;
    readonly expectedStatuses: readonly number[];
  },
  timeoutMs: number,
): Promise<unknown> {
  const result = await pool.send(
    formatJsonRequest(request.method, request.path, request.body),
    { timeoutMs, maxResponseBytes: MAX_JSON_BYTES },
    step,
  );
  const origin = { step, peer };
  if (result.result !== 'answered')
    throw core.createFault(
      'peer-away',
      { ...origin, cause: result.cause },
      result.result,
    );
  if (!request.expectedStatuses.includes(result.status))
    throw core.createFault('peer-away', origin, `status ${result.status}`);
  return parseJson(result.body, origin);
}

/** Largest accepted JSON response body. */
export const MAX_JSON_BYTES = 16 * 1024 * 1024;

/** Builds a request with a JSON body. */
export function formatJsonRequest(
  method: string,
  path: string,
  body: unknown,
): types.HttpRequest {
  if (body === undefined) return { method, path, headers: {} };
  return {
    method,
    path,
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify(body),
  };
}

/** Parses a JSON response body; throws `bad-frame` when it isn't valid JSON. */
export function parseJson(body: Buffer, origin: core.FaultOrigin): unknown {
  try {
    return JSON.parse(body.toString('utf8')) as unknown;
  } catch (error) {
    throw core.createFault(
      'bad-frame',
      { ...origin, cause: error },
      'the response is not valid JSON',
    );
  }
}
