/** Routes of the callers' HTTP address: services, idempotency keys, jobs and health checks. */
import * as core from '@flamingoward/core';
import type * as types from '../types.js';
import type * as requests from '../requests/types.js';
import type * as exchanges from './exchange.js';
import * as headers from './headers.js';
import * as jobSpec from '../jobs/spec.js';

const DEFAULT_TEAM = 'default';
const RETRY_AFTER_MS = 1_000;

/** Paths of the health checks of load balancers. */
export const probePaths: ReadonlySet<string> = new Set(['/healthz', '/readyz']);

/** What the routes depend on. */
export interface RouteDependencies {
  readonly path: requests.RequestPath;
  readonly jobs: types.Jobs;
  readonly releases: types.Releases;
  readonly maxBodyBytes: number;
  readonly bodyTimeoutMs: number;
  /** Returns whether the load balancer may send requests to this process. */
  readonly isReady: () => boolean;
  /** Returns whether new jobs are refused because the process is stopping. */
  readonly isDraining: () => boolean;
}

type Exchange = exchanges.Exchange;

/** Number of tasks in each state, as returned by `GET /jobs/<id>`. */
export type TaskCounts = Record<core.jobs.TaskState['state'], number>;

/** Handles one request; resolves when its answer has been written. */
export async function routeRequest(
  dependencies: RouteDependencies,
  exchange: Exchange,
): Promise<void> {
  const url = exchange.request.url ?? '';
  const [path = ''] = url.split('?', 1);
  const [, collection = '', itemSegment, ...furtherSegments] = path.split('/');
  switch (collection) {
    case 'healthz':
      exchange.sendJson(200, { healthy: true });
      return;
    case 'readyz':
      sendReadiness(dependencies, exchange);
      return;
    case 'services':
      await forwardToService(dependencies, exchange, url, itemSegment);
      return;
    case 'keys':
      if (itemSegment === undefined || furtherSegments.length > 0) break;
      await sendKeyState(dependencies, exchange, itemSegment);
      return;
    case 'jobs':
      if (furtherSegments.length > 0) break;
      await routeJobRequest(dependencies, exchange, itemSegment);
      return;
    default:
      break;
  }
  refuse(exchange, 404, `no such path: ${path.slice(0, 200)}`);
}

function sendReadiness(
  dependencies: RouteDependencies,
  exchange: Exchange,
): void {
  const ready = dependencies.isReady();
  exchange.sendJson(ready ? 200 : 503, { ready });
}

// --- services ---

async function forwardToService(
  dependencies: RouteDependencies,
  exchange: Exchange,
  url: string,
  name: string | undefined,
): Promise<void> {
  const service = decodePathSegment(name);
  if (service === undefined || service === '') {
    refuse(exchange, 404, 'the path must be /services/<name>/<path>');
    return;
  }
  const team = getTeamOrRefuse(dependencies, exchange);
  if (team === undefined) return;
  const body = await readBodyOrRefuse(dependencies, exchange);
  if (body === undefined) return;
  const { request, signal, id } = exchange;
  const answer = await dependencies.path.handle({
    id,
    service,
    method: request.method ?? 'GET',
    path: selectServicePath(url),
    headers: headers.selectRequestHeaders(request.headers),
    body,
    key: getIdempotencyKey(exchange),
    team,
    signal,
  });
  exchange.sendAnswer(answer);
}

/** Returns the path and query after `/services/<name>`, exactly as the caller sent them. */
function selectServicePath(url: string): string {
  const rest = url.replace(/^\/services\/[^/?]*/, '');
  return rest.startsWith('/') ? rest : `/${rest}`;
}

function getIdempotencyKey(exchange: Exchange): string | undefined {
  const key = exchange.request.headers['idempotency-key'];
  return typeof key === 'string' ? key : undefined;
}

/** Returns the team of a request; refuses the request and returns undefined when the team isn't known. */
function getTeamOrRefuse(
  dependencies: RouteDependencies,
  exchange: Exchange,
): core.ids.TeamName | undefined {
  const given = exchange.request.headers['flamingoward-team'];
  if (given === undefined) return DEFAULT_TEAM;
  const team = String(given);
  const { releases } = dependencies;
  if (team === DEFAULT_TEAM || releases.getState().teams.has(team)) return team;
  if (!releases.isReady()) {
    refuse(exchange, 503, "this process doesn't know the release in force");
    return undefined;
  }
  refuse(exchange, 400, `the release in force has no team ${team}`);
  return undefined;
}

/** Reads the body of a request; refuses the request and returns undefined when that fails. */
async function readBodyOrRefuse(
  dependencies: RouteDependencies,
  exchange: Exchange,
): Promise<Buffer | undefined> {
  const { maxBodyBytes, bodyTimeoutMs } = dependencies;
  const result = await exchange.readBody(maxBodyBytes, bodyTimeoutMs);
  switch (result.outcome) {
    case 'complete':
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
    case 'ended':
      return undefined;
  }
}

// --- keys ---

async function sendKeyState(
  dependencies: RouteDependencies,
  exchange: Exchange,
  keySegment: string,
): Promise<void> {
  const key = decodePathSegment(keySegment);
  if (key === undefined || key === '') {
    refuse(exchange, 400, 'the path must be /keys/<key>');
    return;
  }
  const view = await dependencies.path.readKey(key);
  switch (view.state) {
    case 'none':
      exchange.sendJson(404, {
        key,
        ...view,
        reason:
          'no request with this key was run, or its record is no longer kept',
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

async function routeJobRequest(
  dependencies: RouteDependencies,
  exchange: Exchange,
  idSegment: string | undefined,
): Promise<void> {
  const id = decodePathSegment(idSegment);
  const { method } = exchange.request;
  if (id === undefined || id === '') {
    if (method === 'POST') await submitJob(dependencies, exchange);
    else refuse(exchange, 405, 'use POST /jobs, or GET or DELETE /jobs/<id>');
    return;
  }
  if (method === 'GET' || method === 'HEAD')
    await sendJob(dependencies, exchange, id);
  else if (method === 'DELETE') await cancelJob(dependencies, exchange, id);
  else refuse(exchange, 405, 'use GET or DELETE for /jobs/<id>');
}

async function submitJob(
  dependencies: RouteDependencies,
  exchange: Exchange,
): Promise<void> {
  if (dependencies.isDraining()) {
    refuse(exchange, 503, 'this process is stopping', RETRY_AFTER_MS);
    return;
  }
  const team = getTeamOrRefuse(dependencies, exchange);
  if (team === undefined) return;
  const body = await readBodyOrRefuse(dependencies, exchange);
  if (body === undefined) return;
  const parsed = jobSpec.parseJobSpec(body, team);
  if (!parsed.parsed) {
    refuse(exchange, 400, parsed.faults.join('; '));
    return;
  }
  const key = getIdempotencyKey(exchange);
  const result = await dependencies.jobs.submit(parsed.spec, key);
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
  dependencies: RouteDependencies,
  exchange: Exchange,
  id: core.ids.JobId,
): Promise<void> {
  const found = await dependencies.jobs.find(id);
  switch (found.lookup) {
    case 'none':
      refuse(exchange, 404, `there is no job ${id}`);
      return;
    case 'unreadable':
      refuse(
        exchange,
        503,
        `the log service does not answer, so whether there is a job ${id} is not known`,
        RETRY_AFTER_MS,
      );
      return;
    case 'found':
      await sendFoundJob(dependencies, exchange, found);
      return;
  }
}

async function sendFoundJob(
  dependencies: RouteDependencies,
  exchange: Exchange,
  { job, isStale }: Extract<types.JobLookup, { lookup: 'found' }>,
): Promise<void> {
  const { id } = job;
  const states = await dependencies.jobs.fetchTasks(id);
  const tasks =
    states === undefined ? countEndedTasks(job) : countTasks(states);
  const reason = job.endReason ?? describeWaitReason(job, states);
  exchange.sendJson(200, {
    id,
    state: job.state,
    tasks,
    ...(reason === undefined ? {} : { reason }),
    ...(isStale && { stale: true }),
  });
}

function countTasks(states: readonly core.jobs.TaskState[]): TaskCounts {
  const counts = createZeroCounts();
  for (const { state } of states) counts[state] += 1;
  return counts;
}

/** Counts the tasks of a job whose owner doesn't answer: null (unknown) unless the job has ended. */
function countEndedTasks(job: core.jobs.Job): TaskCounts | null {
  if (job.state === 'accepted') return null;
  return { ...createZeroCounts(), ended: job.spec.count };
}

function createZeroCounts(): TaskCounts {
  return {
    waiting: 0,
    held: 0,
    starting: 0,
    running: 0,
    stopping: 0,
    ended: 0,
  };
}

function describeWaitReason(
  job: core.jobs.Job,
  states: readonly core.jobs.TaskState[] | undefined,
): string | undefined {
  if (states === undefined)
    return job.state === 'accepted'
      ? `the process that decides for ${job.shard} does not answer or is taking over, so the tasks are not known`
      : undefined;
  for (const task of states)
    if (
      (task.state === 'waiting' || task.state === 'held') &&
      task.reason !== undefined
    )
      return core.describeReason(task.reason).join(' ');
  return undefined;
}

async function cancelJob(
  dependencies: RouteDependencies,
  exchange: Exchange,
  id: core.ids.JobId,
): Promise<void> {
  const result = await dependencies.jobs.cancel(id, 'a caller');
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

/** Answers `not-run` with a reason: the request had no effect. */
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

function decodePathSegment(segment: string | undefined): string | undefined {
  if (segment === undefined) return undefined;
  try {
    return decodeURIComponent(segment);
  } catch {
    return undefined;
  }
}
