/**
 * A connection to an HTTP server that carries one request at a time. It distinguishes
 * a failed request of which no byte was written from one that may have reached the
 * server, by counting the bytes written on every socket of the connection.
 */
import * as core from '@flamingoward/core';
import type * as net from 'node:net';
import * as undici from 'undici';
import type * as types from './types.js';

/** A connection to one HTTP server. */
export interface HttpConnection {
  /** Sends one request and calls `settle` once with its result. The returned function aborts the request. */
  run(
    request: types.HttpRequest,
    limits: Pick<types.HttpOptions, 'maxResponseBytes' | 'canSend'>,
    settle: (result: types.HttpResult) => void,
  ): (cause: Error) => void;
  /** Closes the socket without waiting for a response. */
  destroy(): void;
}

/**
 * Time after which an idle connection is closed when the server announces none. Common
 * servers close idle connections after 5 s; a request sent while the server closes the
 * connection would have an uncertain outcome.
 */
const KEEP_ALIVE_TIMEOUT_MS = 4_000;

/** Creates a connection; it opens its socket with the first request. */
export function createHttpConnection(
  address: string,
  connectTimeoutMs: number,
): HttpConnection {
  const connector = undici.buildConnector({ timeout: connectTimeoutMs });
  let socket: net.Socket | undefined;
  let closedSocketBytes = 0;
  const client = new undici.Client(`http://${address}`, {
    pipelining: 1,
    headersTimeout: 0,
    bodyTimeout: 0,
    keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
    connect: (options, callback) => {
      connector(options, (...outcome) => {
        closedSocketBytes += socket?.bytesWritten ?? 0;
        socket = outcome[1] ?? undefined;
        callback(...outcome);
      });
    },
  });

  function countWrittenBytes(): number {
    return closedSocketBytes + (socket?.bytesWritten ?? 0);
  }

  function run(
    request: types.HttpRequest,
    limits: Pick<types.HttpOptions, 'maxResponseBytes' | 'canSend'>,
    settle: (result: types.HttpResult) => void,
  ): (cause: Error) => void {
    const writtenBefore = countWrittenBytes();
    const response = createResponseBuilder(
      request.method,
      limits.maxResponseBytes,
    );
    let isSettled = false;

    function finish(result: types.HttpResult): void {
      if (isSettled) return;
      isSettled = true;
      settle(result);
    }

    function fail(cause: Error): void {
      const written = countWrittenBytes() > writtenBefore;
      finish({ result: written ? 'uncertain' : 'not-sent', cause });
    }

    const handler: undici.Dispatcher.DispatchHandler = {
      onRequestStart(controller) {
        if (isSettled || limits.canSend?.() === false) {
          const cause = new Error(
            'the request was aborted, or its caller no longer allows it to be sent',
          );
          fail(cause);
          controller.abort(cause);
        }
      },
      onResponseStart(controller, status, headers) {
        response.begin(status, headers);
      },
      onResponseData(controller, chunk) {
        const fault = response.add(chunk);
        if (fault === undefined) return;
        fail(fault);
        controller.abort(fault);
      },
      onResponseEnd() {
        const fault = response.check();
        if (fault === undefined) finish(response.build());
        else fail(fault);
      },
      onResponseError(controller, error) {
        fail(error);
      },
    };
    try {
      client.dispatch(
        {
          method: request.method,
          path: request.path,
          headers: request.headers,
          body: request.body ?? null,
        },
        handler,
      );
    } catch (error) {
      fail(error instanceof Error ? error : new Error(String(error)));
    }
    return fail;
  }

  return {
    run,
    destroy() {
      socket?.destroy();
      client.destroy().catch(() => undefined);
    },
  };
}

/** Collects one response and checks that it is complete. */
interface ResponseBuilder {
  begin(status: number, headers: types.HeaderFields): void;
  add(chunk: Buffer): Error | undefined;
  check(): Error | undefined;
  build(): types.HttpResult;
}

function createResponseBuilder(
  method: string,
  maxBytes: number,
): ResponseBuilder {
  let status = 0;
  let headers: types.HeaderFields = {};
  let receivedBytes = 0;
  const chunks: Buffer[] = [];

  function checkFraming(): Error | undefined {
    const declaredLength = headers['content-length'];
    if (declaredLength !== undefined) {
      if (Number(declaredLength) === receivedBytes) return undefined;
      return new Error(
        `response body truncated: got ${receivedBytes} of ${String(declaredLength)} bytes`,
      );
    }
    // The HTTP parser itself reports a chunked body without its last chunk.
    if (headers['transfer-encoding'] !== undefined) return undefined;
    // Without a length or chunks, a complete body can't be told from a lost connection.
    return new Error(
      'the response has neither content-length nor transfer-encoding, so its end is unknown',
    );
  }

  return {
    begin(newStatus, newHeaders) {
      status = newStatus;
      headers = newHeaders;
    },
    add(chunk) {
      receivedBytes += chunk.length;
      if (receivedBytes > maxBytes)
        return core.createFault(
          'too-large',
          { step: 'http.receive', peer: 'server' },
          String(maxBytes),
        );
      chunks.push(chunk);
      return undefined;
    },
    check() {
      if (status < 200) return new Error('the response has no final status');
      const hasNoBody = method === 'HEAD' || status === 204 || status === 304;
      return hasNoBody ? undefined : checkFraming();
    },
    build: () => ({
      result: 'answered',
      status,
      headers,
      body: Buffer.concat(chunks, receivedBytes),
    }),
  };
}
