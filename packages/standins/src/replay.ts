/**
 * Replays a trace against running daemons over HTTP, as callers behind a load
 * balancer do, and waits until every request and every job has an answer.
 */
import * as undici from 'undici';
import * as logs from './log.js';
import type * as traces from './trace.js';

/** Where to replay. */
export interface ReplayOptions {
  /** Callers' addresses of the daemons. */
  readonly callers: readonly string[];
  /** Prefix of keys and tokens, so that a second replay repeats nothing of the first. */
  readonly run: string;
  /** Longest wait for the end of the jobs after the last event. */
  readonly jobWaitMs?: number;
}

/** How a request ended for its caller. */
export type RequestResult =
  | {
      readonly answer: 'done' | 'not-run' | 'unknown';
      readonly status: number;
      /** Time from the first try to the last answer. */
      readonly totalMs: number;
      /** False: the answer belongs to another request or is incomplete. */
      readonly matches: boolean;
      readonly tries: number;
      /** Tries that ended with a broken connection. */
      readonly broken: number;
      readonly reason?: string;
    }
  | {
      readonly answer: 'none';
      readonly tries: number;
      readonly reason: string;
    };

/** How a job ended for its caller. */
export type JobResult =
  | {
      readonly answer: 'accepted';
      readonly id: string;
      /** Time of day of the acceptance. */
      readonly acceptedMs: number;
      /** Last state seen; `accepted` when the job didn't end in time. */
      readonly state: string;
      readonly reason?: string;
    }
  | {
      readonly answer: 'refused';
      readonly status: number;
      readonly reason: string;
    }
  | { readonly answer: 'none'; readonly reason: string };

/** Everything that the callers saw. */
export interface ReplayResult {
  readonly run: string;
  readonly requests: readonly {
    readonly line: traces.RequestLine;
    readonly result: RequestResult;
  }[];
  readonly jobs: readonly {
    readonly line: traces.JobLine;
    readonly result: JobResult;
  }[];
}

/** One HTTP answer. */
interface Reply {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly text: string;
}

/** Tries of one call, at different processes. */
const MAX_TRIES = 12;
/** Delay between tries when the answer doesn't name one. */
const RETRY_MS = 250;
/** Time for one try. */
const TRY_MS = 15_000;
/** Period of the questions about a job. */
const JOB_POLL_MS = 300;
const JOB_WAIT_MS = 60_000;

/** Replays a trace and returns what the callers saw. */
export async function replayTrace(
  trace: traces.Trace,
  options: ReplayOptions,
): Promise<ReplayResult> {
  const balancer = createBalancer(options.callers);
  const jobs = new Map<string, Promise<JobResult>>();
  const requests: Promise<ReplayResult['requests'][number]>[] = [];
  const others: Promise<void>[] = [];
  const startMs = performance.now();
  const limitMs = trace.head.durationMs + (options.jobWaitMs ?? JOB_WAIT_MS);
  const deadlineMs = startMs + limitMs;
  const submitted = new Map<string, Promise<JobResult>>();
  for (const event of trace.events) {
    const aheadMs = startMs + event.atMs - performance.now();
    if (aheadMs > 1) await logs.waitMs(aheadMs);
    switch (event.type) {
      case 'request':
        requests.push(
          sendRequest(event, balancer, options.run).then((result) => ({
            line: event,
            result,
          })),
        );
        break;
      case 'job': {
        const first = submitJob(event, balancer, options.run);
        submitted.set(event.id, first);
        jobs.set(
          event.id,
          first.then((result) => watchJob(result, balancer, deadlineMs)),
        );
        break;
      }
      case 'cancel':
        others.push(cancelJob(submitted.get(event.job), balancer));
        break;
    }
  }
  const lines = trace.events.filter((event) => event.type === 'job');
  const result = {
    run: options.run,
    requests: await Promise.all(requests),
    jobs: await Promise.all(
      lines.map(async (line) => ({
        line,
        result: (await jobs.get(line.id)) ?? {
          answer: 'none' as const,
          reason: 'not submitted',
        },
      })),
    ),
  };
  await Promise.all(others);
  await balancer.close();
  return result;
}

/** Names an event of one replay; keys of two replays differ. */
export function formatToken(run: string, id: string): string {
  return `${run}.${id}`;
}

/** Sends each call to the next process in turn. */
interface Balancer {
  send(
    method: 'GET' | 'POST' | 'DELETE',
    path: string,
    headers: Readonly<Record<string, string>>,
    body: string | undefined,
  ): Promise<Reply>;
  close(): Promise<void>;
}

function createBalancer(addresses: readonly string[]): Balancer {
  const agent = new undici.Agent({ pipelining: 1, connections: 256 });
  let turn = 0;
  return {
    async send(method, path, headers, body) {
      const address = addresses[turn % addresses.length] ?? '';
      turn += 1;
      const answer = await undici.request(`http://${address}${path}`, {
        dispatcher: agent,
        method,
        headers,
        body: body ?? null,
        signal: AbortSignal.timeout(TRY_MS),
      });
      return {
        status: answer.statusCode,
        headers: answer.headers,
        text: await answer.body.text(),
      };
    },
    close: () => agent.destroy(),
  };
}

async function sendRequest(
  line: traces.RequestLine,
  balancer: Balancer,
  run: string,
): Promise<RequestResult> {
  const token = formatToken(run, line.id);
  const work = {
    workMs: line.workMs,
    responseBytes: line.responseBytes,
    token,
  };
  const query =
    line.method === 'GET'
      ? `?workMs=${work.workMs}&responseBytes=${work.responseBytes}&token=${token}`
      : '';
  const headers: Record<string, string> = { 'x-request-id': token };
  if (line.key !== undefined) {
    headers['idempotency-key'] = formatToken(run, line.key);
    headers['content-type'] = 'application/json';
  }
  const startMs = performance.now();
  let reason = 'no answer';
  let broken = 0;
  for (let tries = 1; tries <= MAX_TRIES; tries += 1) {
    try {
      const reply = await balancer.send(
        line.method,
        `/services/${line.service}${line.path}${query}`,
        headers,
        line.method === 'POST' ? JSON.stringify(work) : undefined,
      );
      const result = readRequestReply(reply, line, {
        token,
        startMs,
        tries,
        broken,
      });
      const again = result.answer === 'not-run' && tries < MAX_TRIES;
      if (!again) return result;
      await logs.waitMs(readRetryAfter(reply));
    } catch (error) {
      // A broken connection: the same key makes a repetition safe.
      broken += 1;
      reason = String(error);
      await logs.waitMs(RETRY_MS);
    }
  }
  return { answer: 'none', tries: MAX_TRIES, reason };
}

function readRequestReply(
  reply: Reply,
  line: traces.RequestLine,
  call: {
    readonly token: string;
    readonly startMs: number;
    readonly tries: number;
    readonly broken: number;
  },
): RequestResult {
  const { tries, broken } = call;
  const kind = reply.headers['flamingoward-answer'];
  const totalMs = performance.now() - call.startMs;
  if (kind !== 'done' && kind !== 'not-run' && kind !== 'unknown')
    return {
      answer: 'none',
      tries,
      reason: `status ${reply.status} without an answer header`,
    };
  const body = parseObject(reply.text);
  const base = {
    answer: kind,
    status: reply.status,
    totalMs,
    tries,
    broken,
  } as const;
  if (kind !== 'done')
    return { ...base, matches: true, reason: String(body.reason) };
  const padding = body.padding;
  const matches =
    body.token === call.token &&
    typeof padding === 'string' &&
    padding.length === line.responseBytes;
  return { ...base, matches };
}

async function submitJob(
  line: traces.JobLine,
  balancer: Balancer,
  run: string,
): Promise<JobResult> {
  const headers = {
    'content-type': 'application/json',
    'idempotency-key': formatToken(run, line.id),
  };
  let reason = 'no answer';
  for (let tries = 1; tries <= MAX_TRIES; tries += 1) {
    try {
      const reply = await balancer.send(
        'POST',
        '/jobs',
        headers,
        JSON.stringify(line.spec),
      );
      const body = parseObject(reply.text);
      reason = `status ${reply.status} ${reply.text.slice(0, 200)}`;
      if (reply.status === 202 && typeof body.id === 'string')
        return {
          answer: 'accepted',
          id: body.id,
          acceptedMs: Date.now(),
          state: 'accepted',
        };
      if (reply.status >= 400 && reply.status < 429)
        return { answer: 'refused', status: reply.status, reason };
      await logs.waitMs(readRetryAfter(reply));
    } catch (error) {
      reason = String(error);
      await logs.waitMs(RETRY_MS);
    }
  }
  return { answer: 'none', reason };
}

/** Asks for the state of a job, at any process, until it has ended. */
async function watchJob(
  accepted: JobResult,
  balancer: Balancer,
  deadlineMs: number,
): Promise<JobResult> {
  if (accepted.answer !== 'accepted') return accepted;
  let seen = accepted;
  while (performance.now() < deadlineMs) {
    await logs.waitMs(JOB_POLL_MS);
    const body = await readJob(accepted.id, balancer);
    const state = body.state;
    if (typeof state !== 'string') continue;
    const reason = body.reason;
    seen = {
      ...seen,
      state,
      ...(typeof reason === 'string' ? { reason } : {}),
    };
    if (state !== 'accepted' && !hasOpenTasks(body.tasks)) break;
  }
  return seen;
}

async function readJob(
  id: string,
  balancer: Balancer,
): Promise<Record<string, unknown>> {
  try {
    const reply = await balancer.send(
      'GET',
      `/jobs/${encodeURIComponent(id)}`,
      {},
      undefined,
    );
    return reply.status === 200 ? parseObject(reply.text) : {};
  } catch {
    // The process may be gone; the next question goes to another one.
    return {};
  }
}

function hasOpenTasks(tasks: unknown): boolean {
  if (typeof tasks !== 'object' || tasks === null) return false;
  const counts = tasks as Record<string, unknown>;
  return ['starting', 'running', 'stopping'].some(
    (name) => Number(counts[name] ?? 0) > 0,
  );
}

async function cancelJob(
  job: Promise<JobResult> | undefined,
  balancer: Balancer,
): Promise<void> {
  const accepted = await job;
  if (accepted?.answer !== 'accepted') return;
  for (let tries = 1; tries <= MAX_TRIES; tries += 1) {
    try {
      const path = `/jobs/${encodeURIComponent(accepted.id)}`;
      const reply = await balancer.send('DELETE', path, {}, undefined);
      if (reply.status < 300) return;
    } catch {
      // Cancelling again is safe.
    }
    await logs.waitMs(RETRY_MS);
  }
}

/** Delay that an answer asks for, in ms. */
function readRetryAfter(reply: Reply): number {
  const delayMs = Number(parseObject(reply.text).retryAfterMs);
  return delayMs > 0 ? Math.min(delayMs, 2_000) : RETRY_MS;
}

function parseObject(text: string): Record<string, unknown> {
  try {
    const value = JSON.parse(text) as unknown;
    return typeof value === 'object' && value !== null ? { ...value } : {};
  } catch {
    return {};
  }
}
