/** HTTP client of the log service: appends batches to streams and reads pages by long polls. */
import * as core from '@flamingoward/core';
import * as pools from './pool.js';
import type * as types from './types.js';

/** Options of the log client. */
export interface LogClientOptions {
  readonly address: core.ids.Address;
  readonly timers: core.TimerService;
  /** Time allowed for the response to a read, in addition to the time that the read waits at the log. */
  readonly readTimeoutMs?: number;
  readonly connectTimeoutMs?: number;
}

/** Body of the response to `POST /streams/<name>`. */
interface AppendResponse {
  readonly first: core.ids.Offset;
  readonly next: core.ids.Offset;
}

/** Appends and reads have separate pools, so that an append never waits behind long polls. */
const MAX_CONNECTIONS = { append: 16, read: 64 } as const;

/** Creates the client of the log service. */
export function createLogClient(options: LogClientOptions): types.LogClient {
  const { address, timers } = options;
  const readTimeoutMs = options.readTimeoutMs ?? 1_000;
  const connectTimeoutMs = options.connectTimeoutMs ?? 1_000;
  const appendPool = pools.createPool({
    address,
    timers,
    connections: MAX_CONNECTIONS.append,
    connectTimeoutMs,
  });
  const readPool = pools.createPool({
    address,
    timers,
    connections: MAX_CONNECTIONS.read,
    connectTimeoutMs,
  });

  async function append(
    stream: string,
    records: readonly types.NewRecord[],
    timeoutMs: number,
  ): Promise<types.AppendReply> {
    const step = `log.append ${stream}`;
    const result = await appendPool.send(
      pools.formatJsonRequest('POST', formatPath(stream), { records }),
      { timeoutMs, maxResponseBytes: pools.MAX_JSON_BYTES },
      step,
    );
    const origin = { step, peer: address };
    switch (result.result) {
      case 'not-sent':
        return {
          reply: 'not-appended',
          cause: createLogFault(
            origin,
            'the request was not sent',
            result.cause,
          ),
        };
      case 'uncertain':
        return {
          reply: 'lost',
          cause: createLogFault(origin, 'no complete response', result.cause),
        };
      case 'answered':
        return parseAppendResponse(result.status, result.body, origin);
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
    const result = await readPool.send(
      pools.formatJsonRequest('GET', path, undefined),
      {
        timeoutMs: waitMs + readTimeoutMs,
        maxResponseBytes: pools.MAX_JSON_BYTES,
      },
      step,
    );
    if (result.result !== 'answered')
      throw createLogFault(origin, result.result, result.cause);
    if (result.status !== 200 && result.status !== 410)
      throw createLogFault(origin, `status ${result.status}`, undefined);
    return parsePage(result.body, origin);
  }

  return {
    append,
    readPage,
    close() {
      appendPool.close();
      readPool.close();
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
    throw createLogFault(origin, 'the page is not valid JSON', error);
  }
  throw createLogFault(origin, 'the page lacks oldest or next', undefined);
}

function formatPath(stream: string): string {
  return `/streams/${encodeURIComponent(stream)}`;
}

function createLogFault(
  origin: core.FaultOrigin,
  detail: string,
  cause: unknown,
): Error {
  return core.createFault('log-away', { ...origin, cause }, detail);
}

function parseAppendResponse(
  status: number,
  body: Buffer,
  origin: core.FaultOrigin,
): types.AppendReply {
  // Any other status means that nothing was appended: the log appends a whole batch or none of it.
  if (status !== 200)
    return {
      reply: 'not-appended',
      cause: createLogFault(origin, `status ${status}`, undefined),
    };
  try {
    const response = pools.parseJson(body, origin) as Partial<AppendResponse>;
    if (typeof response.first === 'number')
      return { reply: 'appended', first: response.first };
    return {
      reply: 'lost',
      cause: createLogFault(
        origin,
        'the response lacks the offset first',
        undefined,
      ),
    };
  } catch (error) {
    return {
      reply: 'lost',
      cause: createLogFault(origin, 'the response is not valid JSON', error),
    };
  }
}
