/** HTTP client of one worker: long-poll syncs, task starts and commands for running attempts. */
import * as core from '@flamingoward/core';
import * as pools from './pool.js';
import type * as types from './types.js';

/** Options of a worker client. */
export interface WorkerClientOptions {
  readonly address: core.ids.Address;
  readonly timers: core.TimerService;
  /** Time allowed for a response; for a sync, in addition to the time that it waits at the worker. */
  readonly timeoutMs?: number;
}

/** Commands have their own connections, so that they don't wait behind the long poll. */
const COMMAND_CONNECTIONS = 2;

/** The second connection lets a new session poll while the last poll of the previous session still waits. */
const POLL_CONNECTIONS = 2;

/** Creates the client of a worker; it connects with its first request. */
export function createWorkerClient(
  options: WorkerClientOptions,
): types.WorkerClient {
  const { address, timers } = options;
  const timeoutMs = options.timeoutMs ?? 1_000;
  const connectTimeoutMs = timeoutMs;
  const pollPool = pools.createPool({
    address,
    timers,
    connections: POLL_CONNECTIONS,
    connectTimeoutMs,
  });
  const commandPool = pools.createPool({
    address,
    timers,
    connections: COMMAND_CONNECTIONS,
    connectTimeoutMs,
  });

  async function postSync(
    request: core.workers.SyncRequest,
  ): Promise<core.workers.SyncReport> {
    const step = 'worker.sync';
    const report = (await pools.requestJson(
      pollPool,
      address,
      step,
      { method: 'POST', path: '/sync', body: request, expectedStatuses: [200] },
      timeoutMs + request.waitMs,
    )) as Partial<core.workers.SyncReport>;
    if (isReport(report)) return report;
    throw core.createFault(
      'bad-frame',
      { step, peer: address },
      'the report lacks boot, clockMs, version, sessions or tasks',
    );
  }

  async function start(
    request: core.workers.StartRequest,
  ): Promise<types.StartOutcome> {
    const step = 'worker.start';
    const result = await commandPool.send(
      pools.formatJsonRequest('POST', '/tasks', request),
      { timeoutMs, maxResponseBytes: pools.MAX_JSON_BYTES },
      step,
    );
    if (result.result !== 'answered')
      return { outcome: result.result, cause: result.cause };
    return parseStartResponse(result.status, result.body, {
      step,
      peer: address,
    });
  }

  async function sendCommand(
    session: core.workers.WorkerSession,
    attempt: core.ids.AttemptId,
    command: 'stop' | 'checkpoint' | 'throttle',
    fields: { readonly share?: number },
  ): Promise<void> {
    await pools.requestJson(
      commandPool,
      address,
      `worker.${command}`,
      {
        method: 'POST',
        path: `/tasks/${encodeURIComponent(attempt)}/${command}`,
        body: { session, ...fields },
        // 404 means that the worker doesn't have the attempt; its next report shows that too.
        expectedStatuses: [202, 404],
      },
      timeoutMs,
    );
  }

  return {
    sync: postSync,
    start,
    stop: (session, attempt) => sendCommand(session, attempt, 'stop', {}),
    checkpoint: (session, attempt) =>
      sendCommand(session, attempt, 'checkpoint', {}),
    throttle: (session, attempt, share) =>
      sendCommand(session, attempt, 'throttle', { share }),
    close() {
      pollPool.close();
      commandPool.close();
      return Promise.resolve();
    },
  };
}

function isReport(
  report: Partial<core.workers.SyncReport>,
): report is core.workers.SyncReport {
  return (
    report.boot !== undefined &&
    report.clockMs !== undefined &&
    report.version !== undefined &&
    Array.isArray(report.sessions) &&
    Array.isArray(report.tasks)
  );
}

function parseStartResponse(
  status: number,
  body: Buffer,
  origin: core.FaultOrigin,
): types.StartOutcome {
  try {
    const response = pools.parseJson(body, origin) as {
      clockMs?: number;
      reason?: 'lapsed' | 'known' | 'boot';
    };
    if (status === 201 && response.clockMs !== undefined)
      return {
        outcome: 'answered',
        answer: { started: true, clockMs: response.clockMs },
      };
    if (status === 409 && response.reason !== undefined)
      return {
        outcome: 'answered',
        answer: { started: false, reason: response.reason },
      };
  } catch (error) {
    const cause = error instanceof Error ? error : new Error(String(error));
    return { outcome: 'uncertain', cause };
  }
  return {
    outcome: 'uncertain',
    cause: core.createFault('peer-away', origin, `status ${status}`),
  };
}
