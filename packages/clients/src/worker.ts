/** Client for one worker. */
import * as core from '@flamingoward/core';
import * as pools from './pool.js';
import type * as types from './types.js';

/** What the client of a worker needs. */
export interface WorkerClientOptions {
  readonly address: core.ids.Address;
  readonly timers: core.TimerService;
  /** Time for an answer beyond the time that a sync waits. */
  readonly timeoutMs?: number;
}

/** The long poll has connections of its own; commands don't wait behind it. */
const COMMAND_CONNECTIONS = 2;

/** A second one, so that a new session doesn't wait behind the last poll of the one before. */
const POLL_CONNECTIONS = 2;

/** Creates a client for a worker; it connects with its first request. */
export function createWorkerClient(
  options: WorkerClientOptions,
): types.WorkerClient {
  const { address, timers } = options;
  const timeoutMs = options.timeoutMs ?? 1_000;
  const connectTimeoutMs = timeoutMs;
  const polls = pools.createPool({
    address,
    timers,
    connections: POLL_CONNECTIONS,
    connectTimeoutMs,
  });
  const commands = pools.createPool({
    address,
    timers,
    connections: COMMAND_CONNECTIONS,
    connectTimeoutMs,
  });

  async function postSync(
    request: core.workers.SyncRequest,
  ): Promise<core.workers.SyncReport> {
    const step = 'worker.sync';
    const report = (await pools.askJson(
      polls,
      address,
      step,
      { method: 'POST', path: '/sync', body: request, expect: [200] },
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
    const result = await commands.send(
      pools.formatJsonRequest('POST', '/tasks', request),
      { timeoutMs, maxResponseBytes: pools.MAX_JSON_BYTES },
      step,
    );
    if (result.result !== 'answered')
      return { outcome: result.result, cause: result.cause };
    return readStartAnswer(result.status, result.body, { step, peer: address });
  }

  async function sendCommand(
    session: core.workers.WorkerSession,
    attempt: core.ids.AttemptId,
    verb: 'stop' | 'checkpoint' | 'throttle',
    fields: { readonly share?: number },
  ): Promise<void> {
    await pools.askJson(
      commands,
      address,
      `worker.${verb}`,
      {
        method: 'POST',
        path: `/tasks/${encodeURIComponent(attempt)}/${verb}`,
        body: { session, ...fields },
        // 404: the worker doesn't have the attempt; its next report says so.
        expect: [202, 404],
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
      polls.close();
      commands.close();
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

function readStartAnswer(
  status: number,
  body: Buffer,
  origin: core.FaultOrigin,
): types.StartOutcome {
  try {
    const answer = pools.parseJson(body, origin) as {
      clockMs?: number;
      reason?: 'lapsed' | 'known' | 'boot';
    };
    if (status === 201 && answer.clockMs !== undefined)
      return {
        outcome: 'answered',
        answer: { started: true, clockMs: answer.clockMs },
      };
    if (status === 409 && answer.reason !== undefined)
      return {
        outcome: 'answered',
        answer: { started: false, reason: answer.reason },
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
