/** Client for the log service. */
import * as core from '@flamingoward/core';
import * as pools from './pool.js';
import type * as types from './types.js';

/** What the log client needs. */
export interface LogClientOptions {
  readonly address: core.ids.Address;
  readonly timers: core.TimerService;
  /** Time for an answer to a read beyond the time the read waits at the log. */
  readonly readTimeoutMs?: number;
  readonly connectTimeoutMs?: number;
}

/** Answer to `POST /streams/<name>`. */
interface AppendAnswer {
  readonly first: core.ids.Offset;
  readonly next: core.ids.Offset;
}

/** Appends and reads have their own connections, so that no append waits behind a long poll. */
const CONNECTIONS = { append: 16, read: 64 } as const;

/** Creates a client for the log service. */
export function createLogClient(options: LogClientOptions): types.LogClient {
  const { address, timers } = options;
  const readTimeoutMs = options.readTimeoutMs ?? 1_000;
  const connectTimeoutMs = options.connectTimeoutMs ?? 1_000;
  const appends = pools.createPool({
    address,
    timers,
    connections: CONNECTIONS.append,
    connectTimeoutMs,
  });
  const reads = pools.createPool({
    address,
    timers,
    connections: CONNECTIONS.read,
    connectTimeoutMs,
  });

  async function append(
    stream: string,
    records: readonly types.NewRecord[],
    timeoutMs: number,
  ): Promise<types.AppendReply> {
    const step = `log.append ${stream}`;
    const result = await appends.send(
      pools.formatJsonRequest('POST', formatPath(stream), { records }),
      { timeoutMs, maxResponseBytes: pools.MAX_JSON_BYTES },
      step,
    );
    const origin = { step, peer: address };
    switch (result.result) {
      case 'not-sent':
        return {
          reply: 'not-appended',
          cause: createAway(origin, 'not sent', result.cause),
        };
      case 'uncertain':
        return {
          reply: 'lost',
          cause: createAway(origin, 'no answer', result.cause),
        };
      case 'answered':
        return readAppendAnswer(result.status, result.body, origin);
    }
  }

  async function readPage(
    stream: string,
    from: core.ids.Offset,
    max: number,
    waitMs: number,
  ): Promise<core.records.RecordPage<unknown>> {
    const step = `log.read ${stream}`;
    const origin = { step, peer: address };
    const path = `${formatPath(stream)}?from=${from}&max=${max}&wait_ms=${waitMs}`;
    const result = await reads.send(
      pools.formatJsonRequest('GET', path, undefined),
      {
        timeoutMs: waitMs + readTimeoutMs,
        maxResponseBytes: pools.MAX_JSON_BYTES,
      },
      step,
    );
    if (result.result !== 'answered')
      throw createAway(origin, result.result, result.cause);
    if (result.status !== 200 && result.status !== 410)
      throw createAway(origin, `status ${result.status}`, undefined);
    return parsePage(result.body, origin);
  }

  return {
    append,
    readPage,
    close() {
      appends.close();
      reads.close();
      return Promise.resolve();
    },
  };
}

function parsePage(
  body: Buffer,
  origin: core.FaultOrigin,
): core.records.RecordPage<unknown> {
  try {
    const page = pools.parseJson(body, origin) as Partial<
      core.records.RecordPage<unknown>
    >;
    if (page.oldest !== undefined && page.next !== undefined)
      return {
        oldest: page.oldest,
        next: page.next,
        records: page.records ?? [],
      };
  } catch (error) {
    throw createAway(origin, 'no JSON', error);
  }
  throw createAway(origin, 'no offsets', undefined);
}

function formatPath(stream: string): string {
  return `/streams/${encodeURIComponent(stream)}`;
}

function createAway(
  origin: core.FaultOrigin,
  what: string,
  cause: unknown,
): Error {
  return core.createFault('log-away', { ...origin, cause }, what);
}

function readAppendAnswer(
  status: number,
  body: Buffer,
  origin: core.FaultOrigin,
): types.AppendReply {
  // The log appends a whole batch or answers with an error status.
  if (status !== 200)
    return {
      reply: 'not-appended',
      cause: createAway(origin, `status ${status}`, undefined),
    };
  try {
    const answer = pools.parseJson(body, origin) as Partial<AppendAnswer>;
    if (typeof answer.first === 'number')
      return { reply: 'appended', first: answer.first };
    return { reply: 'lost', cause: createAway(origin, 'no offset', undefined) };
  } catch (error) {
    return { reply: 'lost', cause: createAway(origin, 'no JSON', error) };
  }
}
