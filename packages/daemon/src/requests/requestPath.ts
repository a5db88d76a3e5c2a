/**
 * Handles a caller's request: finds the service in the release in force, records the
 * intent under the idempotency key when the request may run only once, takes a
 * ticket, sends the request to the backend server, and retries within limits.
 */
import * as crypto from 'node:crypto';
import * as core from '@flamingoward/core';
import type * as types from '../types.js';
import type * as journals from '../observability/journal.js';
import * as budgets from './retryBudget.js';
import * as ticketIssuers from './ticketIssuer.js';
import * as keyStores from './idempotencyKeys.js';
import * as tickets from './ticketHolder.js';
import type * as requests from './types.js';

/** Tries after the first one. */
const MAX_RETRIES_PER_REQUEST = 2;
/** Methods that need no key even when the service isn't idempotent. */
const safeMethods: ReadonlySet<string> = new Set(['GET', 'HEAD']);
const KEY_PATTERN = /^[\x21-\x7e]{1,200}$/;
const DEFAULT_RETRY_AFTER_MS = 1_000;
/** Refusals because of overload, answered with 429; the others are answered with 503. */
const overloadReasons: ReadonlySet<core.reasons.Reason['reason']> = new Set([
  'expected-wait',
  'queue-full',
  'deadline',
  'quota',
  'fair-share',
]);

/** Dependencies of the request path. */
export interface RequestPathDependencies {
  readonly context: types.PartContext;
  readonly streams: types.Streams;
  readonly links: types.Links;
  readonly membership: types.Membership;
  readonly ownership: types.Ownership;
  readonly releases: types.Releases;
  readonly backends: requests.BackendClient;
  readonly journal: journals.RequestJournal;
  /** Processes that share the connections of a backend server. */
  readonly maxProcesses: number;
}

type Service = core.releases.ServiceEntry;

/** Outcome of all tries of one request. */
type Outcome =
  | {
      readonly outcome: 'answered';
      readonly result: Extract<requests.BackendResult, { result: 'answered' }>;
    }
  | {
      readonly outcome: 'not-run';
      readonly reason: core.reasons.Reason | string;
      readonly retryAfterMs: number;
    }
  | { readonly outcome: 'unknown'; readonly reason: string };

/** State of the tries of one request. */
interface Tries {
  readonly request: requests.CallerRequest;
  readonly service: Service;
  /** Whether the request may be sent again after bytes of it were written. */
  readonly isRepeatable: boolean;
  readonly deadlineMs: number;
  readonly avoid: core.ids.VmId[];
  /** Why the last try that may have written bytes got no complete answer. */
  sentCause: string | undefined;
  retries: number;
}

/** Creates the request path, which also issues the tickets of the shards that this process owns. */
export function createRequestPath(
  dependencies: RequestPathDependencies,
): requests.RequestPath {
  const { context, releases, journal, membership } = dependencies;
  const { timers, identity, metrics } = context;
  const keyStore = keyStores.createIdempotencyKeyStore(
    context,
    dependencies.streams,
  );
  const ticketHolder = tickets.createTicketHolder({
    ...dependencies,
    getTicketIssuer: () => ticketIssuer,
  });
  const ticketIssuer = ticketIssuers.createTicketIssuer({
    ...dependencies,
    listHeld: (question) => ticketHolder.listHeld(question),
  });
  const retryBudgets = budgets.createRetryBudgets();
  let isDraining = false;
  let inFlightRequests = 0;

  async function handle(
    request: requests.CallerRequest,
  ): Promise<requests.CallerAnswer> {
    const startedMs = timers.getNow();
    inFlightRequests += 1;
    journal.recordStep(request.id, {
      step: 'received',
      service: request.service,
    });
    try {
      const answer = await route(request);
      recordAnswer(request, answer, startedMs);
      return answer;
    } finally {
      inFlightRequests -= 1;
    }
  }

  function recordAnswer(
    request: requests.CallerRequest,
    answer: requests.CallerAnswer,
    startedMs: number,
  ): void {
    const status = answer.answer === 'unknown' ? 504 : answer.status;
    const reason = answer.answer === 'done' ? {} : { reason: answer.reason };
    journal.recordStep(request.id, {
      step: 'answered',
      answer: answer.answer,
      status,
      ...reason,
    });
    const known = releases.getState().services.has(request.service);
    const service = known ? request.service : 'unknown';
    metrics.count('requests_total', { service, answer: answer.answer });
    metrics.record('request', { service }, timers.getNow() - startedMs);
  }

  async function route(
    request: requests.CallerRequest,
  ): Promise<requests.CallerAnswer> {
    if (isDraining)
      return createNotRun({ reason: 'draining' }, DEFAULT_RETRY_AFTER_MS);
    if (!releases.isReady())
      return createNotRun(
        "this process doesn't know the release in force",
        DEFAULT_RETRY_AFTER_MS,
      );
    const state = releases.getState();
    const service = state.services.get(request.service);
    if (service === undefined)
      return createNotRun({
        reason: 'unknown-service',
        service: request.service,
      });
    if (service.idempotent || safeMethods.has(request.method))
      return createAnswer(await runTries(request, service, true));
    if (request.key === undefined)
      return refuseKey(
        `service ${service.name} needs the header Idempotency-Key for ${request.method}`,
      );
    if (!KEY_PATTERN.test(request.key))
      return refuseKey(
        'Idempotency-Key must have 1 to 200 printable characters without spaces',
      );
    return await runOnce(request, service, request.key);
  }

  // --- requests that run at most once ---

  async function runOnce(
    request: requests.CallerRequest,
    service: Service,
    key: string,
  ): Promise<requests.CallerAnswer> {
    const known = keyStore.get(key);
    const settled = buildSettledAnswer(key, service, known);
    if (settled !== undefined) return settled;
    const attempt = crypto.randomUUID();
    const claim = await keyStore.claim(key, service.name, attempt);
    journal.recordStep(request.id, { step: 'key', what: claim.verdict });
    if (claim.verdict === 'unrecorded')
      return createNotRun(
        `${claim.reason}; this attempt was not run, and what became of earlier attempts with the key is not known`,
        DEFAULT_RETRY_AFTER_MS,
      );
    const verdict =
      claim.verdict === 'won'
        ? 'won'
        : await waitForWinner(request, service, key, attempt);
    if (verdict !== 'won') return verdict;
    return await runWinner(request, service, key, attempt);
  }

  async function runWinner(
    request: requests.CallerRequest,
    service: Service,
    key: string,
    attempt: string,
  ): Promise<requests.CallerAnswer> {
    const outcome = await runTries(request, service, false);
    switch (outcome.outcome) {
      case 'answered':
        keyStore.recordOutcome(
          key,
          attempt,
          keyStores.createDoneOutcome(outcome.result),
        );
        break;
      case 'not-run':
        await keyStore.recordNotRun(key, attempt);
        break;
      case 'unknown':
        keyStore.recordOutcome(key, attempt, { outcome: 'unknown' });
        break;
    }
    return createAnswer(outcome, key);
  }

  /** Waits for the outcome of the attempt that won, or until this one wins instead. */
  async function waitForWinner(
    request: requests.CallerRequest,
    service: Service,
    key: string,
    attempt: string,
  ): Promise<requests.CallerAnswer | 'won'> {
    const deadlineMs = timers.getNow() + service.maxWaitMs + service.timeoutMs;
    for (;;) {
      const settled = buildSettledAnswer(key, service, keyStore.get(key));
      if (settled !== undefined) {
        void keyStore.recordNotRun(key, attempt);
        return settled;
      }
      const leftMs = deadlineMs - timers.getNow();
      if (leftMs <= 0 || request.signal.aborted) break;
      if (keyStore.isWinner(key, attempt)) return 'won';
      await keyStore.waitForChange(key, leftMs);
    }
    // Without this record the intent could win the key later, when nobody is left to send the request.
    await keyStore.recordNotRun(key, attempt);
    return createUnknown(
      'another attempt with the key was first and its outcome is not known yet',
      key,
    );
  }

  /** Builds the answer when the records of the key already determine it; undefined otherwise. */
  function buildSettledAnswer(
    key: string,
    service: Service,
    state: core.KeyState,
  ): requests.CallerAnswer | undefined {
    if (state.state === 'free') return undefined;
    if (state.service !== service.name)
      return {
        answer: 'not-run',
        status: 422,
        reason: `the key was used for service ${state.service}`,
      };
    if (state.state === 'ended') return createReplay(key, state);
    return isRunning(state.instance)
      ? undefined
      : createUnknown(
          'the process that ran the request with this key is no longer reachable, and it recorded no outcome',
          key,
        );
  }

  function createReplay(
    key: string,
    state: Extract<core.KeyState, { state: 'ended' }>,
  ): requests.CallerAnswer {
    const { outcome } = state;
    if (outcome.outcome === 'unknown')
      return createUnknown(
        'the request with this key was sent and no complete answer came',
        key,
      );
    if (outcome.body === undefined)
      return createUnknown(
        `the request with this key was answered with status ${outcome.status}; that answer was not kept`,
        key,
      );
    return {
      answer: 'done',
      status: outcome.status,
      headers: { 'content-type': outcome.contentType },
      body: Buffer.from(outcome.body),
    };
  }

  async function readKey(key: string): Promise<requests.KeyView> {
    let state: core.KeyState;
    try {
      state = await keyStore.readAtHead(key);
    } catch {
      return { state: 'unreadable' };
    }
    if (state.state === 'free') return { state: 'none' };
    const { service } = state;
    if (state.state === 'open')
      return isRunning(state.instance)
        ? { state: 'open', service }
        : { state: 'unknown', service };
    if (state.outcome.outcome === 'unknown')
      return { state: 'unknown', service };
    const { status, contentType, body } = state.outcome;
    const kept = body === undefined ? {} : { body };
    return { state: 'done', service, status, contentType, ...kept };
  }

  function isRunning(instance: core.ids.InstanceId): boolean {
    if (instance === identity.instance) return true;
    return membership
      .listPeers()
      .some((peer) => peer.instance === instance && peer.health !== 'dead');
  }

  // --- tries ---

  async function runTries(
    request: requests.CallerRequest,
    service: Service,
    repeatable: boolean,
  ): Promise<Outcome> {
    retryBudgets.addRequest(service.name);
    const tries: Tries = {
      request,
      service,
      isRepeatable: repeatable,
      deadlineMs: timers.getNow() + service.maxWaitMs + service.timeoutMs,
      avoid: [],
      sentCause: undefined,
      retries: 0,
    };
    let outcome = await runTry(tries);
    while (outcome === undefined) {
      tries.retries += 1;
      outcome = await runTry(tries);
    }
    return outcome;
  }

  /** Takes one ticket and sends the request once; undefined when it is to be tried again. */
  async function runTry(tries: Tries): Promise<Outcome | undefined> {
    const { request, service } = tries;
    const leftMs = tries.deadlineMs - timers.getNow();
    const taken = await ticketHolder.take({
      requestId: request.id,
      service,
      team: request.team,
      avoid: tries.avoid,
      waitMs: Math.min(service.maxWaitMs, leftMs),
      signal: request.signal,
    });
    if (taken.outcome === 'refused') {
      journal.recordStep(request.id, { step: 'refused', reason: taken.reason });
      return createFailure(tries, taken.reason, taken.retryAfterMs);
    }
    return await sendOnce(tries, taken.held);
  }

  async function sendOnce(
    tries: Tries,
    held: tickets.HeldTicket,
  ): Promise<Outcome | undefined> {
    const { request, service } = tries;
    const startedMs = timers.getNow();
    const sendCheck = { isDenied: false };
    const result = await dependencies.backends.send(
      held.ticket.address,
      createBackendRequest(request),
      {
        timeoutMs: Math.max(
          1,
          Math.min(service.timeoutMs, held.endsMs - startedMs),
        ),
        maxResponseBytes: service.maxResponseBytes,
        canSend: () => {
          const isAllowed = !request.signal.aborted && held.checkSend();
          sendCheck.isDenied = !isAllowed;
          return isAllowed;
        },
      },
    );
    const tookMs = timers.getNow() - startedMs;
    recordSend(request, held, result, tookMs);
    switch (result.result) {
      case 'answered':
        held.release('ok', tookMs);
        return { outcome: 'answered', result };
      case 'not-sent':
        held.release(sendCheck.isDenied ? 'unused' : 'unreachable', tookMs);
        break;
      case 'uncertain':
        tries.sentCause = core.describeError(result.cause);
        // A server whose answer exceeds the size limit works; another one would give the same answer.
        held.release(isTooLarge(result.cause) ? 'ok' : 'error', tookMs);
        break;
    }
    if (!sendCheck.isDenied) tries.avoid.push(held.ticket.backendServer);
    if (canRetry(tries, held, result)) return undefined;
    const cause = core.describeError(result.cause);
    return createFailure(tries, cause, DEFAULT_RETRY_AFTER_MS);
  }

  function recordSend(
    request: requests.CallerRequest,
    held: tickets.HeldTicket,
    result: requests.BackendResult,
    tookMs: number,
  ): void {
    const cause =
      result.result === 'answered'
        ? {}
        : { cause: core.describeError(result.cause) };
    journal.recordStep(request.id, {
      step: 'sent',
      backendServer: held.ticket.backendServer,
      result: result.result,
      tookMs,
      ...cause,
    });
    metrics.record(
      'backend',
      { service: request.service, result: result.result },
      tookMs,
    );
  }

  function canRetry(
    tries: Tries,
    held: tickets.HeldTicket,
    result: Exclude<requests.BackendResult, { result: 'answered' }>,
  ): boolean {
    const nowMs = timers.getNow();
    if (result.result === 'uncertain') {
      if (!tries.isRepeatable || isTooLarge(result.cause)) return false;
      // A request that timed out would be as slow on another server; only broken connections are retried.
      if (nowMs >= held.endsMs) return false;
    }
    if (tries.request.signal.aborted || nowMs >= tries.deadlineMs) return false;
    if (tries.retries >= MAX_RETRIES_PER_REQUEST) return false;
    const isAllowed = retryBudgets.take(tries.service.name);
    metrics.count('retries_total', {
      service: tries.service.name,
      allowed: String(isAllowed),
    });
    return isAllowed;
  }

  /** The outcome is `not-run` only when no try may have written a byte. */
  function createFailure(
    tries: Tries,
    reason: core.reasons.Reason | string,
    retryAfterMs: number,
  ): Outcome {
    return tries.sentCause === undefined
      ? { outcome: 'not-run', reason, retryAfterMs }
      : {
          outcome: 'unknown',
          reason: `the request was sent and no complete answer came: ${tries.sentCause}`,
        };
  }

  return {
    handle,
    readKey,
    drain() {
      isDraining = true;
    },
    close() {
      isDraining = true;
      ticketIssuer.close();
      keyStore.close();
    },
    listServers: () => ticketIssuer.listServers(),
    dump: () => ({
      inHand: inFlightRequests,
      held: ticketHolder.countHeld(),
      keys: keyStore.countKeys(),
      shards: ticketIssuer.dump(),
    }),
  };
}

function isTooLarge(cause: Error): boolean {
  return core.getFaultInfo(cause)?.code === 'too-large';
}

function createBackendRequest(
  request: requests.CallerRequest,
): requests.BackendRequest {
  const { method, path, body } = request;
  const headers = { ...request.headers, 'x-request-id': request.id };
  return body.byteLength === 0
    ? { method, path, headers }
    : { method, path, headers, body };
}

function createAnswer(outcome: Outcome, key?: string): requests.CallerAnswer {
  switch (outcome.outcome) {
    case 'answered': {
      const { status, headers, body } = outcome.result;
      return { answer: 'done', status, headers, body };
    }
    case 'not-run':
      return createNotRun(outcome.reason, outcome.retryAfterMs);
    case 'unknown':
      return createUnknown(outcome.reason, key);
  }
}

function createNotRun(
  reason: core.reasons.Reason | string,
  retryAfterMs?: number,
): requests.CallerAnswer {
  const base = {
    answer: 'not-run',
    status: chooseStatus(reason),
    reason: describeReason(reason),
  } as const;
  return retryAfterMs === undefined ? base : { ...base, retryAfterMs };
}

function createUnknown(reason: string, key?: string): requests.CallerAnswer {
  return key === undefined
    ? { answer: 'unknown', reason }
    : { answer: 'unknown', reason, ask: `/keys/${encodeURIComponent(key)}` };
}

function refuseKey(reason: string): requests.CallerAnswer {
  return { answer: 'not-run', status: 400, reason };
}

function chooseStatus(reason: core.reasons.Reason | string): 404 | 429 | 503 {
  if (typeof reason === 'string') return 503;
  if (reason.reason === 'unknown-service') return 404;
  return overloadReasons.has(reason.reason) ? 429 : 503;
}

function describeReason(reason: core.reasons.Reason | string): string {
  return typeof reason === 'string'
    ? reason
    : core.describeRequestReason(reason);
}
