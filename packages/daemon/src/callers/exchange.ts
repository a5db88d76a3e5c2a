/**
 * One HTTP request from a caller: reads the body within limits of size and time, and
 * writes exactly one complete answer with its `content-length`.
 */
import type * as http from 'node:http';
import * as core from '@flamingoward/core';
import type * as requests from '../requests/types.js';
import * as headers from './headers.js';

/**
 * The rest of an oversized body is read and discarded up to these limits. Closing a
 * connection with unread bytes resets it, and the caller would not get the 413 answer.
 */
const MAX_DISCARD_MS = 1_000;
const MAX_DISCARD_BYTES = 16 * 1024 * 1024;

/** Result of reading a request body. */
export type BodyResult =
  | { readonly outcome: 'complete'; readonly body: Buffer }
  | { readonly outcome: 'too-large' }
  | { readonly outcome: 'too-slow' }
  | { readonly outcome: 'malformed' }
  /** The caller closed the connection before the body was complete. */
  | { readonly outcome: 'disconnected' };

/** One request and its answer. */
export interface Exchange {
  readonly id: string;
  readonly request: http.IncomingMessage;
  /** Aborted when the caller disconnects before it has its answer, or when the process stops. */
  readonly signal: AbortSignal;
  readBody(maxBytes: number, timeoutMs: number): Promise<BodyResult>;
  sendAnswer(answer: requests.CallerAnswer): void;
  sendJson(
    status: number,
    body: unknown,
    kind?: core.requests.AnswerKind,
  ): void;
  /** Cancels the request; it is dropped unless it has been sent to a backend server. */
  cancel(): void;
  /** Ends the reading of an incomplete body as `malformed`, because its bytes can't be parsed. */
  failBody(): void;
}

/**
 * Creates the exchange of one request. When `shouldCloseConnection` returns true, the
 * answer is the last one on its connection.
 */
export function createExchange(
  timers: core.TimerService,
  request: http.IncomingMessage,
  response: http.ServerResponse,
  shouldCloseConnection: () => boolean,
): Exchange {
  const id = headers.chooseRequestId(request.headers);
  const controller = new AbortController();
  let answered = false;
  let failBody: (() => void) | undefined;
  response.on('close', () => {
    if (!response.writableFinished) controller.abort();
  });

  function writeAnswer(
    status: number,
    kind: core.requests.AnswerKind,
    fields: requests.HeaderFields,
    body: Uint8Array,
  ): void {
    // The caller would match a second answer to its next request on the connection.
    if (answered) return;
    const closesConnection = shouldCloseConnection() || !request.complete;
    const headerFields: Record<string, string | string[]> = {
      ...pickDefined(fields),
      'x-request-id': id,
      [core.requests.answerHeader]: kind,
      ...(closesConnection ? { connection: 'close' } : {}),
    };
    // An answer to HEAD has no body; a length of 0 would be wrong for the resource.
    const isBodyless = request.method === 'HEAD' || !canHaveBody(status);
    if (!isBodyless) headerFields['content-length'] = String(body.byteLength);
    // Throws on invalid header fields; `answered` is then still false, so an error answer can follow.
    response.writeHead(status, headerFields);
    answered = true;
    if (isBodyless) response.end();
    else response.end(body);
  }

  function sendJson(
    status: number,
    body: unknown,
    kind: core.requests.AnswerKind = 'done',
  ): void {
    const text = Buffer.from(`${JSON.stringify(body)}\n`);
    writeAnswer(status, kind, { 'content-type': 'application/json' }, text);
  }

  function sendAnswer(answer: requests.CallerAnswer): void {
    switch (answer.answer) {
      case 'done':
        writeAnswer(
          answer.status,
          'done',
          headers.selectAnswerHeaders(answer.headers),
          answer.body,
        );
        return;
      case 'not-run':
        sendNotRun(answer);
        return;
      case 'unknown': {
        const ask = answer.ask === undefined ? {} : { ask: answer.ask };
        const body: core.requests.AnswerBody = {
          answer: 'unknown',
          reason: answer.reason,
          requestId: id,
          ...ask,
        };
        sendJson(504, body, 'unknown');
        return;
      }
    }
  }

  function sendNotRun(
    answer: Extract<requests.CallerAnswer, { answer: 'not-run' }>,
  ): void {
    const { retryAfterMs } = answer;
    const retry = retryAfterMs === undefined ? {} : { retryAfterMs };
    const body: core.requests.AnswerBody = {
      answer: 'not-run',
      reason: answer.reason,
      requestId: id,
      ...retry,
    };
    if (retryAfterMs !== undefined && !response.headersSent)
      response.setHeader(
        'retry-after',
        String(Math.max(1, Math.ceil(retryAfterMs / 1_000))),
      );
    sendJson(answer.status, body, 'not-run');
  }

  function readBody(maxBytes: number, timeoutMs: number): Promise<BodyResult> {
    const declaredBytes = Number(request.headers['content-length'] ?? 0);
    let isTooLarge = declaredBytes > maxBytes;
    // A caller that sent `Expect: 100-continue` sends no body when it is refused.
    if (isTooLarge && request.headers.expect !== undefined)
      return Promise.resolve({ outcome: 'too-large' });
    return new Promise((resolve) => {
      const body = core.createBodyBuffer();
      let receivedBytes = 0;
      const startTimer = (delayMs: number, outcome: 'too-large' | 'too-slow') =>
        timers.subscribe(
          { name: 'callers.body', delayMs, repeat: 'once' },
          () => {
            finish({ outcome });
          },
        );
      const finish = (result: BodyResult) => {
        timer.end();
        request.off('data', receiveChunk);
        body.release();
        resolve(result);
      };
      const receiveChunk = (chunk: Buffer) => {
        receivedBytes += chunk.byteLength;
        if (receivedBytes <= maxBytes && !isTooLarge) {
          body.add(chunk);
          return;
        }
        if (!isTooLarge) {
          isTooLarge = true;
          timer.end();
          timer = startTimer(MAX_DISCARD_MS, 'too-large');
        }
        body.release();
        if (receivedBytes > maxBytes + MAX_DISCARD_BYTES)
          finish({ outcome: 'too-large' });
      };
      let timer = isTooLarge
        ? startTimer(MAX_DISCARD_MS, 'too-large')
        : startTimer(timeoutMs, 'too-slow');
      failBody = () => {
        finish({ outcome: 'malformed' });
      };
      request.on('data', receiveChunk);
      request.once('end', () => {
        finish(
          isTooLarge
            ? { outcome: 'too-large' }
            : { outcome: 'complete', body: body.get() },
        );
      });
      request.once('close', () => {
        finish({ outcome: 'disconnected' });
      });
      request.once('error', () => {
        finish({ outcome: 'disconnected' });
      });
    });
  }

  return {
    id,
    request,
    signal: controller.signal,
    readBody,
    sendAnswer,
    sendJson,
    cancel() {
      controller.abort();
    },
    failBody() {
      // A complete body is still delivered by the stream, so it isn't failed.
      if (!request.complete) failBody?.();
    },
  };
}

/** Answers with these statuses have neither a body nor a `content-length` field. */
function canHaveBody(status: number): boolean {
  return status !== 204 && status !== 304;
}

function pickDefined(
  fields: requests.HeaderFields,
): Record<string, string | string[]> {
  const defined: Record<string, string | string[]> = {};
  for (const [name, value] of Object.entries(fields))
    if (value !== undefined) defined[name] = value;
  return defined;
}
