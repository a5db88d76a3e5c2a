/** The routes of the callers' address. */
import * as core from '@flamingoward/core';
import type * as types from '../types.js';
import type * as requests from '../requests/types.js';
import type * as exchanges from './exchange.js';
import * as headers from './headers.js';
import * as jobSpec from '../jobs/spec.js';

const DEFAULT_TEAM = 'default';
const RETRY_AFTER_MS = 1_000;

/** What the routes work with. */
export interface RouteParts {
  readonly path: requests.RequestPath;
  readonly jobs: types.Jobs;
  readonly releases: types.Releases;
  readonly maxBodyBytes: number;
  readonly bodyTimeoutMs: number;
  /** True when the load balancer may send requests here. */
  readonly isReady: () => boolean;
  /** True when new work is refused. */
  readonly isDraining: () => boolean;
}

type Exchange = exchanges.Exchange;

/** Number of tasks in each state, as `GET /jobs/<id>` gives it. */
export type TaskCounts = Record<core.jobs.TaskState['state'], number>;

/** Routes one request; resolves when its answer is written. */
export async function routeRequest(
  parts: RouteParts,
  exchange: Exchange,
): Promise<void> {
  const url = exchange.request.url ?? '';
  const [path = ''] = url.split('?', 1);
  const [, first = '', second, ...rest] = path.split('/');
  switch (first) {
    case 'healthz':
      exchange.sendJson(200, { healthy: true });
      return;
    case 'readyz':
      sendReady(parts, exchange);
      return;
    case 'services':
      await runService(parts, exchange, url, second);
      return;
    case 'keys':
      if (second === undefined || rest.length > 0) break;
      await sendKey(parts, exchange, second);
      return;
    case 'jobs':
      if (rest.length > 0) break;
      await runJobs(parts, exchange, second);
      return;
    default:
      break;
  }
  refuse(exchange, 404, `there is nothing at ${path.slice(0, 200)}`);
}

function sendReady(parts: RouteParts, exchange: Exchange): void {
  const ready = parts.isReady();
  exchange.sendJson(ready ? 200 : 503, { ready });
}

// --- services ---

async function runService(
  parts: RouteParts,
  exchange: Exchange,
  url: string,
  name: string | undefined,
): Promise<void> {
  const service = decodePart(name);
  if (service === undefined || service === '') {
    refuse(exchange, 404, 'the path must be /services/<name>/<path>');
    return;
  }
  const team = readTeam(parts, exchange);
  if (team === undefined) return;
  const body = await readBody(parts, exchange);
  if (body === undefined) return;
  const { request, signal, id } = exchange;
  const answer = await parts.path.handle({
    id,
    service,
    method: request.method ?? 'GET',
    path: selectServicePath(url),
    headers: headers.selectRequestHeaders(request.headers),
    body,
    key: readKeyHeader(exchange),
    team,
    signal,
  });
  exchange.sendAnswer(answer);
}

/** The path after `/services/<name>`, with the query, as the caller wrote it. */
function selectServicePath(url: string): string {
  const rest = url.replace(/^\/services\/[^/?]*/, '');
  return rest.startsWith('/') ? rest : `/${rest}`;
}

function readKeyHeader(exchange: Exchange): string | undefined {
  const key = exchange.request.headers['idempotency-key'];
  return typeof key === 'string' ? key : undefined;
}

/** The team of a request; answers and returns undefined when it isn't known. */
function readTeam(
  parts: RouteParts,
  exchange: Exchange,
): core.ids.TeamName | undefined {
  const given = exchange.request.headers['flamingoward-team'];
  if (given === undefined) return DEFAULT_TEAM;
  const team = String(given);
  const { teams } = parts.releases.readState();
  if (team === DEFAULT_TEAM || teams.has(team)) return team;
  refuse(exchange, 400, `the release in force has no team ${team}`);
  return undefined;
}

/** The body of a request; answers and returns undefined when it can't be had. */
async function readBody(
  parts: RouteParts,
  exchange: Exchange,
): Promise<Buffer | undefined> {
  const { maxBodyBytes, bodyTimeoutMs } = parts;
  const result = await exchange.readBody(maxBodyBytes, bodyTimeoutMs);
  switch (result.read) {
    case 'whole':
      return result.body;
    case 'too-large':
      refuse(exchange, 413, `the body is larger than ${maxBodyBytes} bytes`);
      return undefined;
    case 'too-slow':
      refuse(
        exchange,
        408,
        `the body did not arrive within ${bodyTimeoutMs} ms`,
      );
      return undefined;
    case 'malformed':
      refuse(exchange, 400, 'the bytes of the body are not valid HTTP');
      return undefined;
    case 'broken':
      return undefined;
  }
}

// --- keys ---

async function sendKey(
  parts: RouteParts,
  exchange: Exchange,
  part: string,
): Promise<void> {
  const key = decodePart(part);
  if (key === undefined || key === '') {
    refuse(exchange, 400, 'the path must be /keys/<key>');
    return;
  }
  const view = await parts.path.readKey(key);
  switch (view.state) {
    case 'none':
      exchange.sendJson(404, {
        key,
        ...view,
        reason: 'no request with this key was run, or it is too long ago',
      });
      return;
    case 'unreadable':
      exchange.sendJson(503, {
        key,
        ...view,
        reason: 'the log service does not answer, so the outcome is not known',
      });
      return;
    case 'open':
    case 'unknown':
    case 'done':
      exchange.sendJson(200, { key, ...view });
      return;
  }
}

// --- jobs ---

async function runJobs(
  parts: RouteParts,
  exchange: Exchange,
  part: string | undefined,
): Promise<void> {
  const id = decodePart(part);
  const { method } = exchange.request;
  if (id === undefined || id === '') {
    if (method === 'POST') await submitJob(parts, exchange);
    else refuse(exchange, 405, 'use POST /jobs, or GET or DELETE /jobs/<id>');
    return;
  }
  if (method === 'GET' || method === 'HEAD') await sendJob(parts, exchange, id);
  else if (method === 'DELETE') await cancelJob(parts, exchange, id);
  else refuse(exchange, 405, 'use GET or DELETE for /jobs/<id>');
}

async function submitJob(parts: RouteParts, exchange: Exchange): Promise<void> {
  if (parts.isDraining()) {
    refuse(exchange, 503, 'this process is stopping', RETRY_AFTER_MS);
    return;
  }
  const team = readTeam(parts, exchange);
  if (team === undefined) return;
  const body = await readBody(parts, exchange);
  if (body === undefined) return;
  const parsed = jobSpec.parseJobSpec(body, team);
  if (!parsed.parsed) {
    refuse(exchange, 400, parsed.faults.join('; '));
    return;
  }
  const key = readKeyHeader(exchange);
  const result = await parts.jobs.submit(parsed.spec, key);
  switch (result.result) {
    case 'accepted':
      exchange.sendJson(202, { id: result.job });
      return;
    case 'refused':
      refuse(
        exchange,
        result.status,
        result.reason,
        result.status === 400 ? undefined : RETRY_AFTER_MS,
      );
      return;
    case 'unknown':
      exchange.sendAnswer({
        answer: 'unknown',
        reason: 'the log service did not confirm the record of the job',
        ask: `/jobs/${encodeURIComponent(result.job)}`,
      });
      return;
  }
}

async function sendJob(
  parts: RouteParts,
  exchange: Exchange,
  id: core.ids.JobId,
): Promise<void> {
  const job = parts.jobs.read(id);
  if (job === undefined) {
    refuse(exchange, 404, `there is no job ${id}`);
    return;
  }
  const states = await parts.jobs.readTasks(id);
  const tasks = states === undefined ? countEnded(job) : countTasks(states);
  const reason = job.endReason ?? describeWaiting(job, states);
  exchange.sendJson(200, {
    id,
    state: job.state,
    tasks,
    ...(reason === undefined ? {} : { reason }),
  });
}

function countTasks(states: readonly core.jobs.TaskState[]): TaskCounts {
  const counts = createCounts();
  for (const { state } of states) counts[state] += 1;
  return counts;
}

/** Counts of a job whose owner doesn't answer; unknown unless the job has ended. */
function countEnded(job: core.jobs.Job): TaskCounts | null {
  if (job.state === 'accepted') return null;
  return { ...createCounts(), ended: job.spec.count };
}

function createCounts(): TaskCounts {
  return { waiting: 0, starting: 0, running: 0, stopping: 0, ended: 0 };
}

function describeWaiting(
  job: core.jobs.Job,
  states: readonly core.jobs.TaskState[] | undefined,
): string | undefined {
  if (states === undefined)
    return job.state === 'accepted'
      ? `the process that decides for ${job.shard} does not answer, so the tasks are not known`
      : undefined;
  for (const state of states)
    if (state.state === 'waiting' && state.reason !== undefined)
      return core.describeReason(state.reason).join(' ');
  return undefined;
}

async function cancelJob(
  parts: RouteParts,
  exchange: Exchange,
  id: core.ids.JobId,
): Promise<void> {
  const result = await parts.jobs.cancel(id, 'a caller');
  switch (result.outcome) {
    case 'appended':
      exchange.sendJson(202, { id, cancelled: true });
      return;
    case 'unknown-job':
      refuse(exchange, 404, `there is no job ${id}`);
      return;
    case 'not-appended':
      refuse(
        exchange,
        503,
        `the cancellation was not recorded (${result.reason})`,
        RETRY_AFTER_MS,
      );
      return;
    case 'unknown':
      exchange.sendAnswer({
        answer: 'unknown',
        reason: 'the log service did not confirm the cancellation',
        ask: `/jobs/${encodeURIComponent(id)}`,
      });
      return;
  }
}

/** Answers that nothing was run. */
export function refuse(
  exchange: Exchange,
  status: number,
  reason: string,
  retryAfterMs?: number,
): void {
  const body: core.requests.AnswerBody = {
    answer: 'not-run',
    reason,
    requestId: exchange.id,
    ...(retryAfterMs === undefined ? {} : { retryAfterMs }),
  };
  exchange.sendJson(status, body, 'not-run');
}

function decodePart(part: string | undefined): string | undefined {
  if (part === undefined) return undefined;
  try {
    return decodeURIComponent(part);
  } catch {
    return undefined;
  }
}
