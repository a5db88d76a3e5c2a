/**
 * A bounded number of connections to one HTTP server. A request takes a free
 * connection or waits for one; a connection whose request ended without a
 * complete answer is destroyed and never used again.
 */
import * as core from '@flamingoward/core';
import * as httpConnections from './httpConnection.js';
import type * as types from './types.js';

/** What a pool needs. */
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
   * Closes idle connections, and the others when their requests end; returns how
   * many are in use. A later request opens connections again.
   */
  drain(): number;
  /** Destroys all connections; requests under way end as `uncertain` or `not-sent`. */
  close(): void;
}

interface Call {
  readonly request: types.HttpRequest;
  readonly options: types.HttpOptions;
  readonly finish: (result: types.HttpResult) => void;
  line?: httpConnections.Line;
  abort?: (cause: Error) => void;
  ended: boolean;
}

/** Creates a pool; it connects when requests come. */
export function createPool(options: PoolOptions): Pool {
  const idle: httpConnections.Line[] = [];
  const waiting: Call[] = [];
  const active = new Set<Call>();
  let opened = 0;
  let draining = false;
  let closed = false;

  function takeLine(): httpConnections.Line | undefined {
    const line = idle.pop();
    if (line !== undefined) return line;
    if (opened >= options.connections) return undefined;
    opened += 1;
    return httpConnections.createLine(
      options.address,
      options.connectTimeoutMs,
    );
  }

  function returnLine(line: httpConnections.Line, reusable: boolean): void {
    if (reusable && !closed && !draining) idle.push(line);
    else {
      line.destroy();
      opened -= 1;
    }
    dispatchNext();
  }

  function dispatchNext(): void {
    while (waiting.length > 0 && !closed) {
      const line = takeLine();
      if (line === undefined) return;
      const call = waiting.shift();
      if (call === undefined) idle.push(line);
      else runCall(call, line);
    }
  }

  function runCall(call: Call, line: httpConnections.Line): void {
    active.add(call);
    call.line = line;
    const abort = line.run(call.request, call.options, (result) => {
      active.delete(call);
      call.finish(result);
      returnLine(line, result.result === 'answered');
    });
    call.abort = abort;
  }

  function endCall(call: Call, cause: Error): void {
    if (call.ended) return;
    if (call.abort !== undefined) {
      call.abort(cause);
      return;
    }
    const at = waiting.indexOf(call);
    if (at >= 0) waiting.splice(at, 1);
    call.finish({ result: 'not-sent', cause });
  }

  function send(
    request: types.HttpRequest,
    limits: types.HttpOptions,
    step: string,
  ): Promise<types.HttpResult> {
    const origin = { step, peer: options.address };
    return new Promise((resolve) => {
      const call: Call = {
        request,
        options: limits,
        ended: false,
        finish: (result) => {
          if (call.ended) return;
          call.ended = true;
          timeout.end();
          limits.signal?.removeEventListener('abort', cancel);
          resolve(result);
        },
      };
      const cancel = () => {
        endCall(call, core.createFault('link-closed', origin));
      };
      const timeout = options.timers.subscribe(
        { name: step, delayMs: limits.timeoutMs, repeat: 'once' },
        () => {
          endCall(
            call,
            core.createFault('timeout', origin, String(limits.timeoutMs)),
          );
        },
      );
      limits.signal?.addEventListener('abort', cancel);
      draining = false;
      waiting.push(call);
      if (closed || limits.signal?.aborted === true) cancel();
      else dispatchNext();
    });
  }

  function drain(): number {
    draining = true;
    for (const line of idle.splice(0)) {
      line.destroy();
      opened -= 1;
    }
    return opened;
  }

  function close(): void {
    closed = true;
    const cause = core.createFault('link-closed', {
      step: 'pool.close',
      peer: options.address,
    });
    for (const call of [...waiting, ...active]) endCall(call, cause);
    drain();
  }

  return { send, drain, close };
}

/**
 * Sends a request with a JSON body and returns the parsed answer. Any status other
 * than the expected one, and any incomplete answer, is a fault.
 */
export async function askJson(
  pool: Pool,
  peer: string,
  step: string,
  request: Omit<types.HttpRequest, 'headers' | 'body'> & {
    readonly body?: unknown;
    readonly expect: readonly number[];
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
  if (!request.expect.includes(result.status))
    throw core.createFault('peer-away', origin, `status ${result.status}`);
  return parseJson(result.body, origin);
}

/** Largest answer with a JSON body. */
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

/** Parses a JSON answer; throws a fault when it isn't JSON. */
export function parseJson(body: Buffer, origin: core.FaultOrigin): unknown {
  try {
    return JSON.parse(body.toString('utf8')) as unknown;
  } catch (error) {
    throw core.createFault(
      'bad-frame',
      { ...origin, cause: error },
      'the answer is not JSON',
    );
  }
}
