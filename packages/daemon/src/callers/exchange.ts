/**
 * One request on the callers' address: reading its body within limits, and writing
 * exactly one answer, whole and with its length.
 */
import type * as http from 'node:http';
import * as core from '@flamingoward/core';
import type * as requests from '../requests/types.js';
import * as headers from './headers.js';

/**
 * A body that is too large is read on and dropped within these bounds: a connection
 * closed with unread bytes is reset, and the caller would lose the answer.
 */
const DISCARD_MS = 1_000;
const DISCARD_BYTES = 16 * 1024 * 1024;

/** What became of reading a body. */
export type BodyResult =
  | { readonly read: 'whole'; readonly body: Buffer }
  | { readonly read: 'too-large' }
  | { readonly read: 'too-slow' }
  | { readonly read: 'malformed' }
  /** The caller is gone. */
  | { readonly read: 'broken' };

/** One request and its answer. */
export interface Exchange {
  readonly id: string;
  readonly request: http.IncomingMessage;
  /** Aborted when the caller is gone before the answer, or when the process stops. */
  readonly signal: AbortSignal;
  readBody(maxBytes: number, timeoutMs: number): Promise<BodyResult>;
  sendAnswer(answer: requests.CallerAnswer): void;
  sendJson(
    status: number,
    body: unknown,
    kind?: core.requests.AnswerKind,
  ): void;
  /** Drops the request if it hasn't been sent to a backend server. */
  cancel(): void;
  /** Tells that the rest of the body can't be read. */
  failBody(): void;
}

/** Creates the exchange of one request. */
export function createExchange(
  timers: core.TimerService,
  request: http.IncomingMessage,
  response: http.ServerResponse,
  isLast: () => boolean,
): Exchange {
  const id = headers.readRequestId(request.headers);
  const controller = new AbortController();
  let answered = false;
  let failBody: (() => void) | undefined;
  response.on('close', () => {
    if (!response.writableFinished) controller.abort();
  });

  function write(
    status: number,
    kind: core.requests.AnswerKind,
    fields: requests.HeaderFields,
    body: Uint8Array,
  ): void {
    // A second answer would be taken as the answer to the caller's next request.
    if (answered) return;
    const closing = isLast() || !request.complete;
    const all: Record<string, string | string[]> = {
      ...pickDefined(fields),
      'x-request-id': id,
      [core.requests.answerHeader]: kind,
      ...(closing ? { connection: 'close' } : {}),
    };
    // The answer to HEAD has no body, and its length isn't that of the resource.
    const isBodyless = request.method === 'HEAD' || !hasBody(status);
    if (!isBodyless) all['content-length'] = String(body.byteLength);
    // Fields that can't be written throw here, and another answer may follow.
    response.writeHead(status, all);
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
    write(status, kind, { 'content-type': 'application/json' }, text);
  }

  function sendAnswer(answer: requests.CallerAnswer): void {
    switch (answer.answer) {
      case 'done':
        write(
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
    const declared = Number(request.headers['content-length'] ?? 0);
    let isLarge = declared > maxBytes;
    // A caller that asked first hasn't sent the body and won't.
    if (isLarge && request.headers.expect !== undefined)
      return Promise.resolve({ read: 'too-large' });
    return new Promise((resolve) => {
      const chunks: Buffer[] = [];
      let bytes = 0;
      const startTimer = (delayMs: number, read: 'too-large' | 'too-slow') =>
        timers.subscribe(
          { name: 'callers.body', delayMs, repeat: 'once' },
          () => {
            finish({ read });
          },
        );
      const finish = (result: BodyResult) => {
        timer.end();
        request.off('data', receive);
        resolve(result);
      };
      const receive = (chunk: Buffer) => {
        bytes += chunk.byteLength;
        if (bytes <= maxBytes && !isLarge) {
          chunks.push(chunk);
          return;
        }
        if (!isLarge) {
          isLarge = true;
          timer.end();
          timer = startTimer(DISCARD_MS, 'too-large');
        }
        chunks.length = 0;
        if (bytes > maxBytes + DISCARD_BYTES) finish({ read: 'too-large' });
      };
      let timer = isLarge
        ? startTimer(DISCARD_MS, 'too-large')
        : startTimer(timeoutMs, 'too-slow');
      failBody = () => {
        finish({ read: 'malformed' });
      };
      request.on('data', receive);
      request.once('end', () => {
        finish(
          isLarge
            ? { read: 'too-large' }
            : { read: 'whole', body: Buffer.concat(chunks) },
        );
      });
      request.once('close', () => {
        finish({ read: 'broken' });
      });
      request.once('error', () => {
        finish({ read: 'broken' });
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
      // A body that has arrived whole is only waiting to be delivered.
      if (!request.complete) failBody?.();
    },
  };
}

/** Statuses without a body must not have a length either. */
function hasBody(status: number): boolean {
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
