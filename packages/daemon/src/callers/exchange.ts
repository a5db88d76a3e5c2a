/**
 * One HTTP request from a caller: reads the body within limits of size and time, and
 * writes exactly one complete answer with its `content-length`.
 */
import type * as http from 'node:http';
import * as core from '@flamingoward/core';
import type * as intake from '@flamingoward/intake';
import type * as requests from '../requests/types.js';
import * as headers from './headers.js';

/** One request and its answer. */
export interface Exchange {
  readonly id: string;
  readonly request: http.IncomingMessage;
  /** Aborted when the caller disconnects before it has its answer, or when the process stops. */
  readonly signal: AbortSignal;
  readBody(maxBytes: number, timeoutMs: number): Promise<intake.ReceivedBody>;
  sendAnswer(answer: requests.CallerAnswer): void;
  sendJson(
    status: number,
    body: unknown,
    kind?: core.requests.AnswerKind,
  ): void;
  /** Cancels the request; it is dropped unless it has been sent to a backend server. */
  cancel(): void;
}

/**
 * Creates the exchange of one request. When `shouldCloseConnection` returns true, the
 * answer is the last one on its connection.
 */
export function createExchange(
  guarded: intake.GuardedRequest,
  shouldCloseConnection: () => boolean,
): Exchange {
  const { request, response } = guarded;
  const id = headers.chooseRequestId(request.headers);
  const controller = new AbortController();
  let answered = false;
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
    if (answered || response.headersSent) return;
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

  return {
    id,
    request,
    signal: controller.signal,
    readBody: guarded.readBody,
    sendAnswer,
    sendJson,
    cancel() {
      controller.abort();
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
