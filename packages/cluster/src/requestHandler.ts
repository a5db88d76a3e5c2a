/**
 * Answers callers. A job is accepted once its record is durable; a refusal is said
 * only when nothing was written, and a job is denied only after the stream was read
 * to its end.
 */
import * as core from '@flamingoward/core';
import type * as configurations from './configuration.js';
import type * as contexts from './context.js';
import type * as jobStores from './jobStore.js';
import type * as ports from './ports.js';

/** Deadline of callers that name none, in ms. */
const DEFAULT_DEADLINE_MS = 3_000;
/** Part of a caller's deadline that is left for the answer's way back, in ms. */
const ANSWER_MARGIN_MS = 300;
/** When callers may come back while the store is away, in s: a few tries then outlast an outage of seconds. */
const AWAY_RETRY_S = 2;
/** When callers may come back with a job that no VM can run, in s: a larger VM may have been added. */
const DECLINED_RETRY_S = 10;
/** Time for which an owner's answer is awaited before the stream is read, in ms. */
const OWNER_WAIT_MS = 1_200;
const ASK_AGAIN_MS = 150;
/** Time in which the owner writes for this node, in ms. */
const OWNER_WRITE_MS = 1_200;
const jobId = /^[0-9a-f]{16}$/;

/** What the desk asks about jobs. */
export interface JobQuestions {
  /** State as the owner tells it; undefined when no owner answers. */
  readState(
    id: core.ids.JobId,
  ): Promise<core.workloads.JobState | 'unknown' | undefined>;
  countWaiting(queue: core.workloads.QueueName): number;
  /** Has the owner write; undefined when it certainly wrote nothing. */
  writeThroughOwner(
    change: DurableWrite,
    timeoutMs: number,
  ): Promise<jobStores.WriteResult | undefined>;
  /** Why a job can never be run, as far as this node knows. */
  checkAdmission(job: core.workloads.Job): string | undefined;
}

/** A change that must be durable before it is answered. */
export type DurableWrite =
  { readonly accept: core.workloads.Job } | { readonly cancel: core.ids.JobId };

/** Answers one request. */
export type Desk = (
  request: ports.CallerRequest,
) => Promise<ports.CallerAnswer>;

/** Creates the desk. */
export function createDesk(
  context: contexts.NodeContext,
  configuration: configurations.ConfigurationView,
  jobs: jobStores.JobStore,
  questions: JobQuestions,
): Desk {
  const { timers, log, metrics } = context;

  async function answer(
    request: ports.CallerRequest,
  ): Promise<ports.CallerAnswer> {
    const current = configuration.read();
    if (current === undefined)
      return buildUnavailable('no configuration has been read yet');
    const found = configuration.findRoute(request.host, request.path);
    if (found === undefined)
      return configuration.isStale()
        ? buildUnavailable('the configuration may be out of date')
        : { answer: 'unknown-queue' };
    const { policy } = found.route;
    const untilMs =
      timers.readNow() +
      (request.deadlineMs ?? DEFAULT_DEADLINE_MS) -
      ANSWER_MARGIN_MS;
    if (found.rest === '')
      return request.method === 'GET'
        ? { answer: 'waiting', waiting: questions.countWaiting(policy.name) }
        : { answer: 'unknown-method' };
    if (!jobId.test(found.rest))
      return { answer: 'malformed', why: 'a job id has 16 hexadecimal digits' };
    switch (request.method) {
      case 'POST':
        return submit(found.rest, policy, request, untilMs);
      case 'GET':
        return readState(found.rest, untilMs);
      case 'DELETE':
        return cancel(found.rest, untilMs);
      default:
        return { answer: 'unknown-method' };
    }
  }

  async function submit(
    id: core.ids.JobId,
    policy: core.workloads.QueuePolicy,
    request: ports.CallerRequest,
    untilMs: number,
  ): Promise<ports.CallerAnswer> {
    if (jobs.find(id) !== undefined) return { answer: 'accepted' };
    const decoded = context.ports.decodeSubmission(request.body);
    if (!decoded.readable) return { answer: 'malformed', why: decoded.why };
    const job: core.workloads.Job = {
      id,
      queue: policy.name,
      policy,
      configVersion: configuration.read()?.version ?? 0,
      acceptedAtMs: timers.readDate(),
      ...decoded.value,
    };
    const why = questions.checkAdmission(job);
    if (why !== undefined) return buildDeclined(why);
    const written = await write({ accept: job }, untilMs);
    return buildWritten(written, { answer: 'accepted' });
  }

  /**
   * Writes through the owner, which groups the writes of all nodes and learns of the
   * job at once. Without its answer this node writes itself: the same record twice is
   * one job.
   */
  async function write(
    change: DurableWrite,
    untilMs: number,
  ): Promise<jobStores.WriteResult> {
    const ownerMs = Math.min(OWNER_WRITE_MS, untilMs - timers.readNow());
    const through =
      ownerMs > 0
        ? await questions.writeThroughOwner(change, ownerMs)
        : undefined;
    if (through?.outcome === 'durable' || through?.outcome === 'declined')
      return through;
    const { away, why } = jobs.readHealth();
    if (away) return through ?? { outcome: 'refused', why };
    const written =
      'accept' in change
        ? await jobs.accept(change.accept, untilMs)
        : await jobs.cancel(change.cancel, untilMs);
    // What the owner may have written isn't refused, whatever this node found.
    return written.outcome === 'refused' && through?.outcome === 'unknown'
      ? through
      : written;
  }

  async function readState(
    id: core.ids.JobId,
    untilMs: number,
  ): Promise<ports.CallerAnswer> {
    const startedMs = timers.readNow();
    for (;;) {
      const known = readStored(id) ?? (await questions.readState(id));
      if (known === 'unknown') return { answer: 'unknown-job' };
      if (known !== undefined) return { answer: 'state', state: known };
      const nowMs = timers.readNow();
      if (nowMs - startedMs > OWNER_WAIT_MS || nowMs > untilMs) break;
      await core.waitFor(timers, 'desk.owner', ASK_AGAIN_MS);
    }
    // No owner answers: the stream decides.
    const read = await jobs.refresh();
    const state = readStored(id) ?? (jobs.find(id) && 'running');
    if (state !== undefined) return { answer: 'state', state };
    return read
      ? { answer: 'unknown-job' }
      : buildUnavailable(jobs.readHealth().why);
  }

  /** A state that stays true, whatever the owner does. */
  function readStored(id: core.ids.JobId): core.workloads.JobState | undefined {
    const stored = jobs.find(id);
    if (stored?.final !== undefined) return stored.final;
    return stored?.cancelled === true ? 'cancelled' : undefined;
  }

  async function cancel(
    id: core.ids.JobId,
    untilMs: number,
  ): Promise<ports.CallerAnswer> {
    if (
      jobs.find(id) === undefined &&
      (await questions.readState(id)) === 'unknown'
    )
      return { answer: 'unknown-job' };
    const written = await write({ cancel: id }, untilMs);
    return buildWritten(written, { answer: 'cancelled' });
  }

  return async (request) => {
    const startedMs = timers.readNow();
    const result = await answer(request);
    const tookMs = timers.readNow() - startedMs;
    metrics.count('requests', {
      method: request.method,
      answer: result.answer,
    });
    metrics.record('request', { method: request.method }, tookMs);
    if (request.method !== 'GET' || result.answer === 'unknown-job')
      log.write('info', 'request.answered', {
        method: request.method,
        job: request.path.slice(request.path.lastIndexOf('/') + 1),
        queue: configuration.findRoute(request.host, request.path)?.route.policy
          .name,
        configVersion: configuration.read()?.version,
        answer: result.answer,
        why: 'why' in result ? result.why : undefined,
        retryAfterS: 'retryAfterS' in result ? result.retryAfterS : undefined,
        tookMs: Math.round(tookMs),
      });
    return result;
  };
}

function buildUnavailable(why: string): ports.CallerAnswer {
  return buildRefused('unavailable', why, AWAY_RETRY_S);
}

function buildDeclined(why: string): ports.CallerAnswer {
  return buildRefused('load', why, DECLINED_RETRY_S);
}

function buildRefused(
  cause: 'load' | 'unavailable',
  why: string,
  retryAfterS: number,
): ports.CallerAnswer {
  return { answer: 'refused', cause, why, retryAfterS };
}

function buildWritten(
  written: jobStores.WriteResult,
  durable: ports.CallerAnswer,
): ports.CallerAnswer {
  switch (written.outcome) {
    case 'durable':
      return durable;
    case 'refused':
      return buildUnavailable(written.why);
    case 'declined':
      return buildDeclined(written.why);
    case 'unknown':
      return { answer: 'outcome-unknown', why: written.why };
  }
}
