/** Calls to workers other than sync, and what follows from their answers. */
import * as core from '@flamingoward/core';
import * as gate from './gate.js';
import type * as states from './state.js';
import type * as types from './types.js';
import * as stores from '../jobs/stores.js';

/** Time for the answer to one call. */
const CALL_MS = 1_500;

/** How long the append of an intent may take before the start is given up. */
const INTENT_MS = 2_000;

/** Pause before a start whose intent couldn't be appended is decided again. */
const INTENT_RETRY_MS = 1_000;

type StartCommand = Extract<
  core.scheduling.SchedulerCommand,
  { command: 'start' }
>;
type StopCommand = Extract<
  core.scheduling.SchedulerCommand,
  { command: 'stop' }
>;
type FreshAuthority = Extract<core.AuthorityState, { state: 'fresh' }>;

/** Carries out a decision to start; whatever happens, the scheduler learns of it. */
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
    const { timers } = state.parts.context;
    await core.waitFor(timers, 'workers.intent', INTENT_RETRY_MS);
    dropStart(state, attempt);
    return;
  }
  const authority = await getFreshAuthority(state, attempt);
  if (authority === undefined) dropStart(state, attempt);
  else await sendStart(state, attempt, command, authority);
}

/** An earlier owner's record of an end may arrive after the task was freed. */
function applyRecordedEnd(
  state: states.ShardState,
  attempt: types.Attempt,
): boolean {
  const { job, index, attemptId } = attempt;
  const result = core.readTaskEnd(state.tasks.table, job, index);
  if (result === undefined) return false;
  state.attempts.remove(attempt);
  state.apply({ event: 'task.ended', attemptId, result });
  return true;
}

async function appendIntent(
  state: states.ShardState,
  attempt: types.Attempt,
): Promise<boolean> {
  if (state.parts.streams.readAwaySince() !== undefined) return false;
  const body: core.records.TaskRecord = {
    type: 'intent',
    epoch: state.epoch,
    job: attempt.job,
    index: attempt.index,
    attempt: attempt.attemptId,
  };
  const outcome = await state.parts.streams.append(
    stores.formatTasksStream(state.region),
    body,
    { flush: 'now', giveUpMs: INTENT_MS },
  );
  return outcome.outcome === 'appended';
}

async function getFreshAuthority(
  state: states.ShardState,
  attempt: types.Attempt,
): Promise<FreshAuthority | undefined> {
  const entry = state.workers.get(attempt.worker);
  if (entry === undefined) return undefined;
  if (entry.session.readState().state === 'stale') await entry.session.sync();
  const authority = entry.session.readState();
  const wanted = state.attempts.has(attempt) && state.isDeciding();
  if (authority.state !== 'fresh' || !wanted || !entry.usable) return undefined;
  return authority;
}

async function sendStart(
  state: states.ShardState,
  attempt: types.Attempt,
  command: StartCommand,
  authority: FreshAuthority,
): Promise<void> {
  const { timers, metrics } = state.parts.context;
  // An earlier owner may have used the same id for an attempt that has ended.
  state.workers.get(attempt.worker)?.session.keep(attempt.attemptId);
  attempt.phase = 'sent';
  attempt.startByMs = authority.startByMs;
  const request: core.workers.StartRequest = {
    session: state.own,
    boot: authority.boot,
    startByMs: authority.startByMs,
    leaseUntilMs: authority.leaseUntilMs,
    attemptId: command.attemptId,
    jobId: command.job,
    index: command.index,
    size: command.size,
    work: command.work,
  };
  const sentMs = timers.readNow();
  const answer = await askWorker(state, command.worker, 'start', (address) =>
    state.parts.client.start(address, request, CALL_MS),
  );
  metrics.record('task_start', {}, timers.readNow() - sentMs);
  // A sync answer may have settled the attempt meanwhile.
  if (!isInFlight(state, attempt)) return;
  if (answer === undefined) resolveStartLater(state, attempt);
  else applyStartAnswer(state, attempt, answer);
}

function isInFlight(state: states.ShardState, attempt: types.Attempt): boolean {
  return (
    !state.closed && state.attempts.has(attempt) && attempt.phase === 'sent'
  );
}

function applyStartAnswer(
  state: states.ShardState,
  attempt: types.Attempt,
  answer: core.workers.StartAnswer,
): void {
  if (answer.started) {
    noteStarted(state, attempt, answer.clockMs);
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
      // The worker holds an attempt of this id; its inventory says in which state.
      noteStarted(state, attempt, 0);
      void state.workers.get(attempt.worker)?.session.sync();
      break;
  }
}

/**
 * The answer to a start was lost. The start stays in flight until the worker's clock
 * has passed its bound, because it may still arrive until then.
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
  state.parts.context.timers.subscribe(request, () => {
    if (isInFlight(state, attempt))
      void state.workers.get(attempt.worker)?.session.sync();
  });
}

/** Notes that the worker has or had the attempt at the worker time `clockMs`. */
export function noteStarted(
  state: states.ShardState,
  attempt: types.Attempt,
  clockMs: number,
): void {
  attempt.phase = 'running';
  attempt.seenClockMs = clockMs;
  state.apply({ event: 'task.started', attemptId: attempt.attemptId });
  // The earlier stop may have overtaken the start.
  if (attempt.stopSentMs !== undefined) sendStop(state, attempt, false);
}

/** Drops a start that is certain not to have happened. */
export function dropStart(
  state: states.ShardState,
  attempt: types.Attempt,
): void {
  if (state.closed || !state.attempts.has(attempt)) return;
  state.attempts.remove(attempt);
  state.apply({ event: 'task.not-started', attemptId: attempt.attemptId });
}

/** Carries out a decision to stop. */
export function stopAttempt(
  state: states.ShardState,
  command: StopCommand,
): void {
  const attempt = state.attempts.read(command.worker, command.attemptId);
  if (attempt === undefined) return;
  if (attempt.phase === 'deciding') dropStart(state, attempt);
  else sendStop(state, attempt, command.checkpoint);
}

/** Sends a stop; the reports show when it has taken effect. */
export function sendStop(
  state: states.ShardState,
  attempt: types.Attempt,
  checkpoint: boolean,
): void {
  const { client, context } = state.parts;
  const { attemptId } = attempt;
  attempt.stopSentMs = context.timers.readNow();
  void askWorker(state, attempt.worker, 'stop', async (address) => {
    if (checkpoint)
      await client.checkpoint(address, state.own, attemptId, CALL_MS);
    await client.stop(address, state.own, attemptId, CALL_MS);
  });
}

/** Stops an attempt that isn't this owner's. */
export function stopStray(
  state: states.ShardState,
  worker: core.ids.VmId,
  attempt: core.ids.AttemptId,
): void {
  state.parts.context.metrics.count('stray_attempts_stopped', {});
  void askWorker(state, worker, 'stop', (address) =>
    state.parts.client.stop(address, state.own, attempt, CALL_MS),
  );
}

/** Saves the work of an attempt. */
export function checkpointAttempt(
  state: states.ShardState,
  attempt: types.Attempt,
): void {
  void askWorker(state, attempt.worker, 'checkpoint', (address) =>
    state.parts.client.checkpoint(
      address,
      state.own,
      attempt.attemptId,
      CALL_MS,
    ),
  );
}

/** Has the worker limit an attempt to its declared size. */
export function throttleAttempt(
  state: states.ShardState,
  worker: core.ids.VmId,
  attempt: core.ids.AttemptId,
): void {
  void askWorker(state, worker, 'throttle', (address) =>
    state.parts.client.throttle(address, state.own, attempt, CALL_MS),
  );
}

/** Resolves with undefined when there was no answer; the call may have taken effect. */
async function askWorker<T>(
  state: states.ShardState,
  worker: core.ids.VmId,
  step: string,
  call: (address: core.ids.Address) => Promise<T>,
): Promise<T | undefined> {
  const { timers, metrics, log } = state.parts.context;
  const address = state.workers.get(worker)?.vm.address;
  if (address === undefined) return undefined;
  const origin = { step: `workers.${step}`, peer: worker };
  try {
    // A stop may be two calls.
    const limitMs = 2 * CALL_MS;
    return await gate.withTimeout(timers, origin, limitMs, call(address));
  } catch (error) {
    metrics.count('worker_calls_failed', { step });
    const text = core.describeError(error);
    log.write('debug', 'worker.call.failed', { step, worker, error: text });
    return undefined;
  }
}
