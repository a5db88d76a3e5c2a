/**
 * One connection to an HTTP server, for one request at a time. It tells a request
 * that was certainly not written from one that may have reached the server: the
 * connector counts the bytes written on every socket of the connection.
 */
import * as core from '@flamingoward/core';
import type * as net from 'node:net';
import * as undici from 'undici';
import type * as types from './types.js';

/** One connection. */
export interface Line {
  /** Sends one request; `settle` is called once. Abort with the returned function. */
  run(
    request: types.HttpRequest,
    limits: Pick<types.HttpOptions, 'maxResponseBytes' | 'canSend'>,
    settle: (result: types.HttpResult) => void,
  ): (cause: Error) => void;
  /** Closes the socket without waiting for an answer. */
  destroy(): void;
}

/**
 * Time after which an idle connection is closed when the server names none. Common
 * servers close theirs after 5 s; a request that crosses the close is uncertain.
 */
const IDLE_MS = 4_000;

/** Creates a line; it connects with its first request. */
export function createLine(address: string, connectTimeoutMs: number): Line {
  const connector = undici.buildConnector({ timeout: connectTimeoutMs });
  let socket: net.Socket | undefined;
  let earlierBytes = 0;
  const client = new undici.Client(`http://${address}`, {
    pipelining: 1,
    headersTimeout: 0,
    bodyTimeout: 0,
    keepAliveTimeout: IDLE_MS,
    connect: (options, callback) => {
      connector(options, (...outcome) => {
        earlierBytes += socket?.bytesWritten ?? 0;
        socket = outcome[1] ?? undefined;
        callback(...outcome);
      });
    },
  });

  function countBytes(): number {
    return earlierBytes + (socket?.bytesWritten ?? 0);
  }

  function run(
    request: types.HttpRequest,
    limits: Pick<types.HttpOptions, 'maxResponseBytes' | 'canSend'>,
    settle: (result: types.HttpResult) => void,
  ): (cause: Error) => void {
    const bytesBefore = countBytes();
    const answer = createAnswer(request.method, limits.maxResponseBytes);
    let settled = false;

    function finish(result: types.HttpResult): void {
      if (settled) return;
      settled = true;
      settle(result);
    }

    function fail(cause: Error): void {
      const written = countBytes() > bytesBefore;
      finish({ result: written ? 'uncertain' : 'not-sent', cause });
    }

    const handler: undici.Dispatcher.DispatchHandler = {
      onRequestStart(controller) {
        if (settled || limits.canSend?.() === false) {
          const cause = new Error('the request may no longer be sent');
          fail(cause);
          controller.abort(cause);
        }
      },
      onResponseStart(controller, status, headers) {
        answer.begin(status, headers);
      },
      onResponseData(controller, chunk) {
        const fault = answer.add(chunk);
        if (fault === undefined) return;
        fail(fault);
        controller.abort(fault);
      },
      onResponseEnd() {
        const fault = answer.check();
        if (fault === undefined) finish(answer.build());
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

/** Collects one answer and checks that it is complete. */
interface AnswerBuilder {
  begin(status: number, headers: types.HeaderFields): void;
  add(chunk: Buffer): Error | undefined;
  check(): Error | undefined;
  build(): types.HttpResult;
}

function createAnswer(method: string, maxBytes: number): AnswerBuilder {
  let status = 0;
  let headers: types.HeaderFields = {};
  let length = 0;
  const chunks: Buffer[] = [];

  function checkFraming(): Error | undefined {
    const declared = headers['content-length'];
    if (declared !== undefined) {
      if (Number(declared) === length) return undefined;
      return new Error(`the answer has ${length} of ${String(declared)} bytes`);
    }
    // The parser reports a missing last chunk itself.
    if (headers['transfer-encoding'] !== undefined) return undefined;
    // Nothing tells the end of this answer from a lost connection.
    return new Error('the answer ended with the connection');
  }

  return {
    begin(newStatus, newHeaders) {
      status = newStatus;
      headers = newHeaders;
    },
    add(chunk) {
      length += chunk.length;
      if (length > maxBytes)
        return core.createFault(
          'too-large',
          { step: 'http.receive', peer: 'server' },
          String(maxBytes),
        );
      chunks.push(chunk);
      return undefined;
    },
    check() {
      if (status < 200) return new Error('the answer has no status');
      const bodiless = method === 'HEAD' || status === 204 || status === 304;
      return bodiless ? undefined : checkFraming();
    },
    build: () => ({
      result: 'answered',
      status,
      headers,
      body: Buffer.concat(chunks, length),
    }),
  };
}
