/** Calls to workers other than sync, and the handling of their answers. */
import * as core from '@flamingoward/core';
import * as callLimiter from './callLimiter.js';
import type * as states from './state.js';
import type * as types from './types.js';
import * as stores from '../jobs/stores.js';

/** Timeout of one call to a worker. */
const CALL_TIMEOUT_MS = 1_500;

/** Timeout of the append of an intent, after which the attempt isn't started. */
const INTENT_APPEND_TIMEOUT_MS = 2_000;

/** Delay before the scheduler may decide again on a start whose intent couldn't be appended. */
const INTENT_RETRY_DELAY_MS = 1_000;

type StartCommand = Extract<
  core.scheduling.SchedulerCommand,
  { command: 'start' }
>;
type StopCommand = Extract<
  core.scheduling.SchedulerCommand,
  { command: 'stop' }
>;
type FreshAuthority = Extract<core.AuthorityState, { state: 'fresh' }>;

/** Executes a decision to start an attempt and reports the outcome to the scheduler in every case. */
export async function startAttempt(
  state: states.ShardState,
  command: StartCommand,
): Promise<void> {
  const attempt: types.Attempt = {
    attemptId: command.attemptId,
    job: command.job,
    index: command.index,
    worker: command.worker,
    atMostOnce: command.atMostOnce,
    phase: 'deciding',
    startByMs: 0,
    seenClockMs: 0,
    stopSentMs: undefined,
  };
  state.attempts.add(attempt);
  if (applyRecordedEnd(state, attempt)) return;
  if (attempt.atMostOnce && !(await appendIntent(state, attempt))) {
    const { timers } = state.dependencies.context;
    await core.waitFor(timers, 'workers.intent', INTENT_RETRY_DELAY_MS);
    dropStart(state, attempt);
    return;
  }
  const authority = await getFreshAuthority(state, attempt);
  if (authority === undefined) dropStart(state, attempt);
  else await sendStart(state, attempt, command, authority);
}

/** Ends the attempt when an earlier owner's record of the task's end was read after the task was freed. */
function applyRecordedEnd(
  state: states.ShardState,
  attempt: types.Attempt,
): boolean {
  const { job, index, attemptId } = attempt;
  const result = core.getTaskEnd(state.tasks.table, job, index);
  if (result === undefined) return false;
  state.attempts.remove(attempt);
  state.apply({ event: 'task.ended', attemptId, result });
  return true;
}

async function appendIntent(
  state: states.ShardState,
  attempt: types.Attempt,
): Promise<boolean> {
  if (state.dependencies.streams.getUnreachableSinceMs() !== undefined)
    return false;
  const body: core.records.TaskRecord = {
    type: 'intent',
    epoch: state.epoch,
    job: attempt.job,
    index: attempt.index,
    attempt: attempt.attemptId,
  };
  const outcome = await state.dependencies.streams.append(
    stores.formatTasksStream(state.region),
    body,
    { flush: 'now', giveUpMs: INTENT_APPEND_TIMEOUT_MS },
  );
  return outcome.outcome === 'appended';
}

async function getFreshAuthority(
  state: states.ShardState,
  attempt: types.Attempt,
): Promise<FreshAuthority | undefined> {
  const entry = state.workers.get(attempt.worker);
  if (entry === undefined) return undefined;
  if (entry.session.getState().state === 'stale') await entry.session.sync();
  const authority = entry.session.getState();
  const isNeeded = state.attempts.has(attempt) && state.isDeciding();
  if (authority.state !== 'fresh' || !isNeeded || !entry.isUsable)
    return undefined;
  return authority;
}

async function sendStart(
  state: states.ShardState,
  attempt: types.Attempt,
  command: StartCommand,
  authority: FreshAuthority,
): Promise<void> {
  const { timers, metrics } = state.dependencies.context;
  // An earlier owner may have used the same id for an ended attempt that the worker was to forget.
  state.workers.get(attempt.worker)?.session.cancelForget(attempt.attemptId);
  attempt.phase = 'sent';
  attempt.startByMs = authority.startByMs;
  const request: core.workers.StartRequest = {
    session: state.session,
    boot: authority.boot,
    startByMs: authority.startByMs,
    leaseUntilMs: authority.leaseUntilMs,
    attemptId: command.attemptId,
    jobId: command.job,
    index: command.index,
    size: command.size,
    work: command.work,
  };
  const sentMs = timers.getNow();
  const answer = await askWorker(state, command.worker, 'start', (address) =>
    state.dependencies.client.start(address, request, CALL_TIMEOUT_MS),
  );
  metrics.record('task_start', {}, timers.getNow() - sentMs);
  // A sync answer may have resolved the attempt during the call.
  if (!isInFlight(state, attempt)) return;
  if (answer === undefined) resolveStartLater(state, attempt);
  else applyStartAnswer(state, attempt, answer);
}

function isInFlight(state: states.ShardState, attempt: types.Attempt): boolean {
  return (
    !state.isClosed && state.attempts.has(attempt) && attempt.phase === 'sent'
  );
}

function applyStartAnswer(
  state: states.ShardState,
  attempt: types.Attempt,
  answer: core.workers.StartAnswer,
): void {
  if (answer.started) {
    markStarted(state, attempt, answer.clockMs);
    return;
  }
  switch (answer.reason) {
    case 'lapsed':
      dropStart(state, attempt);
      break;
    case 'boot':
      dropStart(state, attempt);
      void state.workers.get(attempt.worker)?.session.sync();
      break;
    case 'known':
      // The worker has an attempt with this id; the next inventory reports its state.
      markStarted(state, attempt, 0);
      void state.workers.get(attempt.worker)?.session.sync();
      break;
  }
}

/**
 * Handles a start whose answer was lost. It stays in flight until the worker's clock
 * has passed `startByMs`, because the request may still arrive until then.
 */
function resolveStartLater(
  state: states.ShardState,
  attempt: types.Attempt,
): void {
  const request = {
    name: 'workers.resolve',
    delayMs: core.AUTHORITY_TERM_MS,
    repeat: 'once',
  } as const;
  state.dependencies.context.timers.subscribe(request, () => {
    if (isInFlight(state, attempt))
      void state.workers.get(attempt.worker)?.session.sync();
  });
}

/** Marks an attempt as started: the worker has or had it at the worker time `clockMs`. */
export function markStarted(
  state: states.ShardState,
  attempt: types.Attempt,
  clockMs: number,
): void {
  attempt.phase = 'running';
  attempt.seenClockMs = clockMs;
  state.apply({ event: 'task.started', attemptId: attempt.attemptId });
  // A stop that was sent earlier may have reached the worker before the start did.
  if (attempt.stopSentMs !== undefined) sendStop(state, attempt, false);
}

/** Drops an attempt that certainly hasn't started and won't. */
export function dropStart(
  state: states.ShardState,
  attempt: types.Attempt,
): void {
  if (state.isClosed || !state.attempts.has(attempt)) return;
  state.attempts.remove(attempt);
  state.apply({ event: 'task.not-started', attemptId: attempt.attemptId });
}

/** Executes a decision to stop an attempt. */
export function stopAttempt(
  state: states.ShardState,
  command: StopCommand,
): void {
  const attempt = state.attempts.get(command.worker, command.attemptId);
  if (attempt === undefined) return;
  if (attempt.phase === 'deciding') dropStart(state, attempt);
  else sendStop(state, attempt, command.checkpoint);
}

/** Sends a stop; its effect shows in the worker's later reports. */
export function sendStop(
  state: states.ShardState,
  attempt: types.Attempt,
  checkpoint: boolean,
): void {
  const { client, context } = state.dependencies;
  const { attemptId } = attempt;
  attempt.stopSentMs = context.timers.getNow();
  void askWorker(state, attempt.worker, 'stop', async (address) => {
    if (checkpoint)
      await client.checkpoint(
        address,
        state.session,
        attemptId,
        CALL_TIMEOUT_MS,
      );
    await client.stop(address, state.session, attemptId, CALL_TIMEOUT_MS);
  });
}

/** Stops an attempt that this owner doesn't manage. */
export function stopStray(
  state: states.ShardState,
  worker: core.ids.VmId,
  attempt: core.ids.AttemptId,
): void {
  state.dependencies.context.metrics.count('stray_attempts_stopped', {});
  void askWorker(state, worker, 'stop', (address) =>
    state.dependencies.client.stop(
      address,
      state.session,
      attempt,
      CALL_TIMEOUT_MS,
    ),
  );
}

/** Requests a checkpoint of an attempt. */
export function checkpointAttempt(
  state: states.ShardState,
  attempt: types.Attempt,
): void {
  void askWorker(state, attempt.worker, 'checkpoint', (address) =>
    state.dependencies.client.checkpoint(
      address,
      state.session,
      attempt.attemptId,
      CALL_TIMEOUT_MS,
    ),
  );
}

/** Requests that the worker limits an attempt to its declared size. */
export function throttleAttempt(
  state: states.ShardState,
  worker: core.ids.VmId,
  attempt: core.ids.AttemptId,
): void {
  void askWorker(state, worker, 'throttle', (address) =>
    state.dependencies.client.throttle(
      address,
      state.session,
      attempt,
      CALL_TIMEOUT_MS,
    ),
  );
}

/** Calls a worker; resolves with undefined when there was no answer, although the call may have taken effect. */
async function askWorker<T>(
  state: states.ShardState,
  worker: core.ids.VmId,
  step: string,
  call: (address: core.ids.Address) => Promise<T>,
): Promise<T | undefined> {
  const { timers, metrics, log } = state.dependencies.context;
  const address = state.workers.get(worker)?.vm.address;
  if (address === undefined) return undefined;
  const origin = { step: `workers.${step}`, peer: worker };
  try {
    // A stop may consist of two calls: a checkpoint and the stop.
    const timeoutMs = 2 * CALL_TIMEOUT_MS;
    return await callLimiter.withTimeout(
      timers,
      origin,
      timeoutMs,
      call(address),
    );
  } catch (error) {
    metrics.count('worker_calls_failed', { step });
    const text = core.describeError(error);
    log.write('debug', 'worker.call.failed', { step, worker, error: text });
    return undefined;
  }
}
