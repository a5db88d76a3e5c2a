/**
 * Replays a trace against running daemons over HTTP, as callers behind a load balancer
 * do: each try goes to the next daemon, and refused or broken calls are repeated. Returns
 * when every request is answered and every job has ended or its time limit has passed.
 */
import * as undici from 'undici';
import * as logs from './log.js';
import type * as traces from './trace.js';

/** Options of a replay. */
export interface ReplayOptions {
  /** Addresses of the daemons for callers. */
  readonly callers: readonly string[];
  /** Prefix of keys and tokens, so that a second replay doesn't repeat keys of the first. */
  readonly run: string;
  /** Limit of the wait for the end of the jobs after the trace's duration. */
  readonly jobWaitMs?: number;
}

/** Outcome of a request as its caller saw it. */
export type RequestResult =
  | {
      readonly answer: 'done' | 'not-run' | 'unknown';
      readonly status: number;
      /** Time from the start of the first try to the last answer. */
      readonly totalMs: number;
      /** False when the answer belongs to another request or is incomplete. */
      readonly matches: boolean;
      readonly tries: number;
      /** Number of tries that ended with a broken connection. */
      readonly brokenConnections: number;
      readonly reason?: string;
    }
  | {
      readonly answer: 'none';
      readonly tries: number;
      readonly reason: string;
    };

/** Outcome of a job as its caller saw it. */
export type JobResult =
  | {
      readonly answer: 'accepted';
      readonly id: string;
      /** Unix time of the acceptance. */
      readonly acceptedMs: number;
      /** Last reported state; `accepted` when the job didn't end in time. */
      readonly state: string;
      readonly reason?: string;
    }
  | {
      readonly answer: 'refused';
      readonly status: number;
      readonly reason: string;
    }
  | { readonly answer: 'none'; readonly reason: string };

/** Outcomes of all requests and jobs of a trace. */
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

/** One HTTP response. */
interface Reply {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly text: string;
}

/** Limit of the tries of one call, each at the next process. */
const MAX_TRIES = 12;
/** Delay between tries when the response doesn't set one. */
const RETRY_DELAY_MS = 250;
const TRY_TIMEOUT_MS = 15_000;
const JOB_POLL_INTERVAL_MS = 300;
const JOB_WAIT_MS = 60_000;

/** Sends each event of the trace at its time and collects the outcomes. */
export async function replayTrace(
  trace: traces.Trace,
  options: ReplayOptions,
): Promise<ReplayResult> {
  const balancer = createBalancer(options.callers);
  const jobs = new Map<string, Promise<JobResult>>();
  const requests: Promise<ReplayResult['requests'][number]>[] = [];
  const cancellations: Promise<void>[] = [];
  const startMs = performance.now();
  const limitMs = trace.head.durationMs + (options.jobWaitMs ?? JOB_WAIT_MS);
  const deadlineMs = startMs + limitMs;
  const submissions = new Map<string, Promise<JobResult>>();
  for (const event of trace.events) {
    const untilDueMs = startMs + event.atMs - performance.now();
    if (untilDueMs > 1) await logs.waitMs(untilDueMs);
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
        const submission = submitJob(event, balancer, options.run);
        submissions.set(event.id, submission);
        jobs.set(
          event.id,
          submission.then((result) => pollJob(result, balancer, deadlineMs)),
        );
        break;
      }
      case 'cancel':
        cancellations.push(cancelJob(submissions.get(event.job), balancer));
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
  await Promise.all(cancellations);
  await balancer.close();
  return result;
}

/** Returns the key or token of an event, which differs between replays. */
export function formatToken(run: string, id: string): string {
  return `${run}.${id}`;
}

/** Distributes calls round-robin over the processes. */
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
        signal: AbortSignal.timeout(TRY_TIMEOUT_MS),
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
  let brokenConnections = 0;
  for (let tries = 1; tries <= MAX_TRIES; tries += 1) {
    try {
      const reply = await balancer.send(
        line.method,
        `/services/${line.service}${line.path}${query}`,
        headers,
        line.method === 'POST' ? JSON.stringify(work) : undefined,
      );
      const result = parseRequestReply(reply, line, {
        token,
        startMs,
        tries,
        brokenConnections,
      });
      const shouldRetry = result.answer === 'not-run' && tries < MAX_TRIES;
      if (!shouldRetry) return result;
      await logs.waitMs(parseRetryAfter(reply));
    } catch (error) {
      // The connection broke or the try timed out. A repetition is safe: the request is a GET or has an idempotency key.
      brokenConnections += 1;
      reason = String(error);
      await logs.waitMs(RETRY_DELAY_MS);
    }
  }
  return { answer: 'none', tries: MAX_TRIES, reason };
}

function parseRequestReply(
  reply: Reply,
  line: traces.RequestLine,
  call: {
    readonly token: string;
    readonly startMs: number;
    readonly tries: number;
    readonly brokenConnections: number;
  },
): RequestResult {
  const { tries, brokenConnections } = call;
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
    brokenConnections,
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
      await logs.waitMs(parseRetryAfter(reply));
    } catch (error) {
      reason = String(error);
      await logs.waitMs(RETRY_DELAY_MS);
    }
  }
  return { answer: 'none', reason };
}

/** Polls the state of a job, at the processes in turn, until it has ended and none of its tasks runs. */
async function pollJob(
  accepted: JobResult,
  balancer: Balancer,
  deadlineMs: number,
): Promise<JobResult> {
  if (accepted.answer !== 'accepted') return accepted;
  let latest = accepted;
  while (performance.now() < deadlineMs) {
    await logs.waitMs(JOB_POLL_INTERVAL_MS);
    const body = await fetchJob(accepted.id, balancer);
    const state = body.state;
    if (typeof state !== 'string') continue;
    const reason = body.reason;
    latest = {
      ...latest,
      state,
      ...(typeof reason === 'string' ? { reason } : {}),
    };
    if (state !== 'accepted' && !hasUnfinishedTasks(body.tasks)) break;
  }
  return latest;
}

async function fetchJob(
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
    // The process may have ended; the next poll goes to another one.
    return {};
  }
}

/** Returns whether any task is starting, running or stopping. */
function hasUnfinishedTasks(tasks: unknown): boolean {
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
      // Cancellation is idempotent, so it is retried.
    }
    await logs.waitMs(RETRY_DELAY_MS);
  }
}

/** Returns the retry delay that a response asks for, at most 2 s. */
function parseRetryAfter(reply: Reply): number {
  const delayMs = Number(parseObject(reply.text).retryAfterMs);
  return delayMs > 0 ? Math.min(delayMs, 2_000) : RETRY_DELAY_MS;
}

function parseObject(text: string): Record<string, unknown> {
  try {
    const value = JSON.parse(text) as unknown;
    return typeof value === 'object' && value !== null ? { ...value } : {};
  } catch {
    return {};
  }
}
