/**
 * Handles requests of callers. A job is accepted only once its record is durable. A
 * request is refused only when nothing was written, and a job is reported as unknown
 * only after the stream was read to its end. A cancellation is answered only once it is
 * durable, whether the job is known or not. A job that a request may not see is answered
 * like one that doesn't exist.
 */
import * as core from '@flamingoward/core';
import * as access from './access.js';
import * as answerAge from './answerAge.js';
import type * as configurations from './configuration.js';
import type * as contexts from './context.js';
import type * as jobStores from './jobStore.js';
import type * as ports from './ports.js';
import * as records from './records.js';
import type * as waiting from './waitingCounts.js';

/** Deadline of requests that carry none, in ms. */
const DEFAULT_DEADLINE_MS = 3_000;
/** Part of the deadline that is reserved for sending the answer, in ms. */
const ANSWER_MARGIN_MS = 300;
/** Retry-after while the store is unavailable, in s; a few retries outlast an outage of seconds. */
const UNAVAILABLE_RETRY_S = 2;
/** Retry-after while no owner answers, in s; a change of owner takes a second or two. */
const OWNER_RETRY_S = 1;
/** Retry-after for a job that no VM can run, in s; a larger VM may be added meanwhile. */
const DECLINED_RETRY_S = 10;
/** Time for which the owner is asked for a state or for the counts, in ms. */
const OWNER_ANSWER_TIMEOUT_MS = 1_200;
const ASK_INTERVAL_MS = 150;
/** Time that must be left for a question to the owner after a write, in ms; the timeout of such a question. */
const OWNER_CHECK_TIMEOUT_MS = 600;
/** Timeout of a write through the owner, in ms. */
const OWNER_WRITE_TIMEOUT_MS = 1_200;
const jobIdPattern = /^[0-9a-f]{16}$/;

/** Functions of the node through which requests about jobs are answered. */
export interface JobQueries {
  /** Fetches what the owner tells `caller` of a job; undefined when no owner tells anything. */
  fetchState(
    id: core.ids.JobId,
    caller: Caller,
  ): Promise<core.clusterMessages.JobAnswer | undefined>;
  /** Fetches the count of a queue's waiting jobs, as `WaitingCounts.fetch` does. */
  fetchWaiting(
    queue: core.workloads.QueueName,
    untilMs: number,
  ): Promise<waiting.WaitingCount | 'unresolved' | undefined>;
  /** Writes through the owner; undefined when it certainly wrote nothing. */
  writeThroughOwner(
    change: DurableWrite,
    timeoutMs: number,
  ): Promise<jobStores.WriteResult | undefined>;
  /** Returns the reason why no VM can ever run a job; undefined when this node knows of none. */
  checkAdmission(job: core.workloads.Job): string | undefined;
}

/** A change that must be durable before the request is answered. */
export type DurableWrite =
  | {
      readonly accept: core.workloads.Job;
      readonly caller?: core.clusterMessages.JobCaller;
    }
  | {
      readonly cancel: core.ids.JobId;
      readonly caller?: core.clusterMessages.JobCaller;
    };

type Caller = core.clusterMessages.JobCaller | undefined;

/** Handles one request. */
export type RequestHandler = (
  request: ports.CallerRequest,
) => Promise<ports.CallerAnswer>;

/** Creates the request handler. */
export function createRequestHandler(
  context: contexts.NodeContext,
  configuration: configurations.ConfigurationView,
  jobs: jobStores.JobStore,
  jobQueries: JobQueries,
): RequestHandler {
  const { timers, log, metrics } = context;
  const accessPolicy = access.createAccessPolicy(
    configuration,
    context.settings.keyBoundMs,
  );

  async function answer(
    request: ports.CallerRequest,
  ): Promise<ports.CallerAnswer> {
    const current = configuration.getCurrent();
    if (current === undefined)
      return buildUnavailable('no configuration has been read yet');
    const match = configuration.findRoute(request.host, request.path);
    if (match === undefined)
      return configuration.isStale()
        ? buildUnavailable('the configuration may be out of date')
        : { answer: 'unknown-queue' };
    const { policy } = match.route;
    const admission = accessPolicy.decide(match.route, request.credentials);
    if (admission.decision === 'unauthorized')
      return { answer: 'unauthorized', why: admission.why };
    if (admission.decision === 'outdated')
      return buildUnavailable(admission.why);
    const { caller } = admission;
    const untilMs =
      timers.getNow() +
      (request.deadlineMs ?? DEFAULT_DEADLINE_MS) -
      ANSWER_MARGIN_MS;
    if (match.rest === '')
      return request.method === 'GET'
        ? answerWaiting(policy.name, untilMs)
        : { answer: 'unknown-method' };
    if (!jobIdPattern.test(match.rest))
      return { answer: 'malformed', why: 'a job id has 16 hexadecimal digits' };
    if (admission.doubt !== undefined && request.method !== 'POST')
      return buildUnavailable(admission.doubt);
    switch (request.method) {
      case 'POST':
        return submit(match.rest, { policy, caller }, request, untilMs);
      case 'GET':
        return answerState(match.rest, caller, untilMs);
      case 'DELETE':
        return cancel(match.rest, caller, untilMs);
      default:
        return { answer: 'unknown-method' };
    }
  }

  async function answerWaiting(
    queue: core.workloads.QueueName,
    untilMs: number,
  ): Promise<ports.CallerAnswer> {
    const count = await jobQueries.fetchWaiting(
      queue,
      Math.min(untilMs, timers.getNow() + OWNER_ANSWER_TIMEOUT_MS),
    );
    if (count === undefined || count === 'unresolved') {
      const why =
        count === undefined
          ? 'no owner knows the counts at present'
          : 'whether some jobs of the queue have started is not known at present';
      log.write('info', 'request.waiting', { queue, why });
      return buildRefused('unavailable', why, OWNER_RETRY_S);
    }
    log.write('info', 'request.waiting', {
      queue,
      ...count,
      ageMs: Math.round(count.ageMs),
    });
    return { answer: 'waiting', waiting: count.waiting };
  }

  async function submit(
    id: core.ids.JobId,
    {
      policy,
      caller,
    }: {
      readonly policy: core.workloads.QueuePolicy;
      readonly caller: Caller;
    },
    request: ports.CallerRequest,
    untilMs: number,
  ): Promise<ports.CallerAnswer> {
    const known = jobs.find(id);
    // If it is a job of another workspace, the owner decides, which knows which one was first.
    if (known !== undefined && access.canRepeat(known.origin, caller))
      return { answer: 'accepted' };
    const decoded = context.ports.decodeSubmission(request.body);
    if (!decoded.readable) return { answer: 'malformed', why: decoded.why };
    const job: core.workloads.Job = {
      id,
      queue: policy.name,
      policy,
      configVersion: configuration.getCurrent()?.version ?? 0,
      acceptedAtMs: timers.getDate(),
      ...access.buildSubmitter(caller),
      ...decoded.value,
    };
    const recordBytes = records.measureRecord(records.buildAccepted(job));
    const { maxRecordBytes } = context.settings;
    if (recordBytes > maxRecordBytes)
      return {
        answer: 'malformed',
        why: `the job takes ${recordBytes} bytes in the store, which takes at most ${maxRecordBytes}`,
      };
    const why = jobQueries.checkAdmission(job);
    if (why !== undefined) return buildDeclined(why);
    const written = await write(
      { accept: job, ...(caller === undefined ? {} : { caller }) },
      untilMs,
    );
    return buildWriteAnswer(written, { answer: 'accepted' });
  }

  /**
   * Writes through the owner, which groups the writes of all nodes and so also learns of
   * the job at once. If the owner doesn't answer, this node writes the same record itself,
   * which is idempotent.
   */
  async function write(
    change: DurableWrite,
    untilMs: number,
  ): Promise<jobStores.WriteResult> {
    const ownerTimeoutMs = Math.min(
      OWNER_WRITE_TIMEOUT_MS,
      untilMs - timers.getNow(),
    );
    const ownerResult =
      ownerTimeoutMs > 0
        ? await jobQueries.writeThroughOwner(change, ownerTimeoutMs)
        : undefined;
    if (
      ownerResult?.outcome === 'durable' ||
      ownerResult?.outcome === 'declined' ||
      ownerResult?.outcome === 'in-use'
    )
      return ownerResult;
    const { unavailable, why } = jobs.getHealth();
    if (unavailable) return ownerResult ?? { outcome: 'refused', why };
    const written =
      'accept' in change
        ? await jobs.accept(change.accept, untilMs, change.caller)
        : await jobs.cancel(change.cancel, untilMs, change.caller);
    // The owner may have written the record, so a refusal of this node's own write isn't passed on.
    return written.outcome === 'refused' && ownerResult?.outcome === 'unknown'
      ? ownerResult
      : checkStored(change, written, untilMs);
  }

  /**
   * Asks the owner about a job that this node has stored itself. If it doesn't tell of the
   * job, having read the stream to its end, the id is that of another workspace's job.
   */
  async function checkStored(
    change: DurableWrite,
    written: jobStores.WriteResult,
    untilMs: number,
  ): Promise<jobStores.WriteResult> {
    if (
      !('accept' in change) ||
      change.caller === undefined ||
      written.outcome !== 'durable' ||
      timers.getNow() + OWNER_CHECK_TIMEOUT_MS > untilMs
    )
      return written;
    const { id } = change.accept;
    const told = await jobQueries.fetchState(id, change.caller);
    if (told !== 'unknown') return written;
    jobs.drop(id);
    return { outcome: 'in-use' };
  }

  /** Asks for a job's state until something definite is told, for a limited time. */
  async function fetchAnswer(
    id: core.ids.JobId,
    caller: Caller,
    untilMs: number,
  ): Promise<core.clusterMessages.JobAnswer | undefined> {
    const startedMs = timers.getNow();
    for (;;) {
      const told =
        getStoredState(id, caller) ?? (await jobQueries.fetchState(id, caller));
      if (told !== undefined && told !== 'unresolved') return told;
      const nowMs = timers.getNow();
      if (nowMs - startedMs > OWNER_ANSWER_TIMEOUT_MS || nowMs > untilMs)
        return told;
      await core.waitFor(timers, 'desk.owner', ASK_INTERVAL_MS);
    }
  }

  async function answerState(
    id: core.ids.JobId,
    caller: Caller,
    untilMs: number,
  ): Promise<ports.CallerAnswer> {
    const told = await fetchAnswer(id, caller, untilMs);
    if (told === 'unknown') return { answer: 'unknown-job' };
    if (told === 'unresolved')
      return buildRefused(
        'unavailable',
        'whether the job has started is not known at present',
        OWNER_RETRY_S,
      );
    if (told !== undefined) return { answer: 'state', state: told };
    // Without an owner, the stream tells whether the job exists and how it ended, but not whether it has started.
    const isCurrent = await jobs.refreshIfRead();
    const state = getStoredState(id, caller);
    if (state !== undefined) return { answer: 'state', state };
    return isCurrent && jobs.findReadable(id, caller) === undefined
      ? { answer: 'unknown-job' }
      : refuseUnknownState();
  }

  function refuseUnknownState(): ports.CallerAnswer {
    const { unavailable, why } = jobs.getHealth();
    return unavailable
      ? buildUnavailable(why)
      : buildRefused(
          'unavailable',
          'no owner knows the state at present',
          OWNER_RETRY_S,
        );
  }

  /** Returns the stored state if it is final, or cancelled according to a recent read, since an end that is stored later replaces a cancellation. */
  function getStoredState(
    id: core.ids.JobId,
    caller: Caller,
  ): core.workloads.JobState | undefined {
    const stored = jobs.findReadable(id, caller);
    if (stored?.final !== undefined) return stored.final;
    return stored?.cancelled === true && jobs.getReadAge() < answerAge.STALE_MS
      ? 'cancelled'
      : undefined;
  }

  async function cancel(
    id: core.ids.JobId,
    caller: Caller,
    untilMs: number,
  ): Promise<ports.CallerAnswer> {
    let isKnown = hasChangeable(id, caller);
    if (!isKnown) {
      const told = await fetchAnswer(id, caller, untilMs);
      if (told === undefined && !(await jobs.refreshIfRead()))
        return refuseUnknownState();
      isKnown =
        told === undefined ? hasChangeable(id, caller) : told !== 'unknown';
    }
    // Also for an unknown job: an append of its acceptance may still be carried out.
    const written = await write(
      { cancel: id, ...(caller === undefined ? {} : { caller }) },
      untilMs,
    );
    if (written.outcome === 'in-use') return { answer: 'unknown-job' };
    return buildWriteAnswer(written, {
      answer: isKnown ? 'cancelled' : 'unknown-job',
    });
  }

  function hasChangeable(id: core.ids.JobId, caller: Caller): boolean {
    const stored = jobs.find(id);
    return stored !== undefined && access.canChange(stored.origin, caller);
  }

  return async (request) => {
    const startedMs = timers.getNow();
    const result = await answer(request);
    const tookMs = timers.getNow() - startedMs;
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
        configVersion: configuration.getCurrent()?.version,
        answer: result.answer,
        why: 'why' in result ? result.why : undefined,
        retryAfterS: 'retryAfterS' in result ? result.retryAfterS : undefined,
        tookMs: Math.round(tookMs),
      });
    return result;
  };
}

function buildUnavailable(why: string): ports.CallerAnswer {
  return buildRefused('unavailable', why, UNAVAILABLE_RETRY_S);
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

function buildWriteAnswer(
  written: jobStores.WriteResult,
  answerIfDurable: ports.CallerAnswer,
): ports.CallerAnswer {
  switch (written.outcome) {
    case 'durable':
      return answerIfDurable;
    case 'refused':
      return buildUnavailable(written.why);
    case 'in-use':
      return { answer: 'id-in-use' };
    case 'declined':
      return buildDeclined(written.why);
    case 'unknown':
      return { answer: 'outcome-unknown', why: written.why };
  }
}
