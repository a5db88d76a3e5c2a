/**
 * Reads the body of one request within its limit and the memory that all bodies share.
 */
import type * as http from 'node:http';
import * as core from '@flamingoward/core';
import type * as intakes from './intake.js';
import type * as piecewise from './piecewise.js';
import type * as readTurns from './readTurns.js';

/**
 * Chunks of a body after which its connection waits for its turn. Ordinary bodies have a
 * chunk for each piece of a read; a read of 64 KB holds 11,000 chunks of one byte and takes
 * 12 to 18 ms.
 */
const MAX_CHUNKS_PER_TURN = 1_000;
/** Connections with larger reads wait for turns while bodies exceed their limit, in bytes; ordinary bodies are smaller. */
const MAX_UNHELD_BYTES = 16_384;

/** Result of reading a body. */
export type ReceivedBody =
  | { readonly outcome: 'complete'; readonly body: Buffer }
  | { readonly outcome: 'too-large' }
  | { readonly outcome: 'too-slow' }
  | { readonly outcome: 'malformed' }
  /** The connection has ended, or the request has been refused; there is nothing left to answer. */
  | { readonly outcome: 'ended' };

/** A body that is being read. */
export interface BodyReader {
  readonly response: http.ServerResponse;
  /** Ends the reading, and frees the memory of the body. */
  finish(received: ReceivedBody): void;
}

/** What the reading of a body needs. */
export interface ReadOptions {
  readonly timers: core.TimerService;
  readonly pool: core.BufferPool;
  readonly turns: readTurns.ReadTurns;
  readonly stream: piecewise.PiecewiseStream;
  readonly maxBytes: number;
  /** Time in which the body must arrive, in ms; without one, the limit of the guard applies. */
  readonly timeoutMs: number | undefined;
  /** Reserves the memory of the body; its connection is closed or refused when this returns false. */
  reserve(
    bytes: number,
  ): ReturnType<intakes.Intake<piecewise.PiecewiseStream>['reserveBody']>;
  /** Called once with the result, after the memory has been freed. */
  onFinish(received: ReceivedBody): void;
}

/** Starts to read the body of a request. */
export function readRequestBody(
  request: http.IncomingMessage,
  response: http.ServerResponse,
  options: ReadOptions,
): BodyReader {
  const { timers, turns, stream, maxBytes, timeoutMs } = options;
  const body = core.createBodyBuffer(options.pool);
  let receivedBytes = 0;
  let chunks = 0;
  let isFinished = false;
  const timer =
    timeoutMs === undefined
      ? undefined
      : timers.subscribe(
          { name: 'intake.body', delayMs: timeoutMs, repeat: 'once' },
          () => {
            finish({ outcome: 'too-slow' });
          },
        );
  const reader: BodyReader = { response, finish };

  function finish(received: ReceivedBody): void {
    if (isFinished) return;
    isFinished = true;
    timer?.end();
    body.release();
    turns.release(stream);
    options.onFinish(received);
  }

  function addChunk(chunk: Buffer): void {
    receivedBytes += chunk.length;
    if (receivedBytes > maxBytes) {
      finish({ outcome: 'too-large' });
      return;
    }
    const decision = options.reserve(body.computeBytes(chunk.length));
    if (!decision.granted) {
      finish({ outcome: 'ended' });
      return;
    }
    body.add(chunk);
    // Large reads would leave more memory behind than the bodies that they replace.
    if (
      decision.closing.length > 0 &&
      stream.getLatestReadBytes() > MAX_UNHELD_BYTES
    )
      turns.add(stream);
    chunks += 1;
    if (chunks % MAX_CHUNKS_PER_TURN === 0) turns.add(stream);
  }

  request.on('data', (chunk: Buffer) => {
    if (!isFinished) addChunk(chunk);
  });
  request.once('end', () => {
    finish(
      stream.destroyed
        ? { outcome: 'ended' }
        : { outcome: 'complete', body: body.get() },
    );
  });
  request.once('close', () => {
    finish({ outcome: 'ended' });
  });
  if (request.headers.expect !== undefined) response.writeContinue();
  return reader;
}
