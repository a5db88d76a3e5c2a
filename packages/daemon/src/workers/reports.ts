/** What the inventory of a worker says about attempts, and how attempts end. */
import * as core from '@flamingoward/core';
import * as calls from './calls.js';
import * as recorders from './recorder.js';
import * as shardJobs from './shardJobs.js';
import type * as states from './state.js';
import type * as types from './types.js';

/** Time after which a stop that shows no effect is sent again. */
const STOP_REPEAT_MS = 2_000;

/** Applies a complete inventory. */
export function applyReport(
  state: states.ShardState,
  entry: states.WorkerEntry,
  report: core.workers.SyncReport,
): void {
  const reported = new Set<core.ids.AttemptId>();
  entry.strays = 0;
  for (const task of report.tasks) {
    reported.add(task.attemptId);
    const known = state.attempts.read(entry.vm.id, task.attemptId);
    if (known === undefined || known.phase === 'deciding')
      applyFound(state, entry, task, report.clockMs);
    else updateAttempt(state, entry, known, task, report.clockMs);
  }
  for (const attempt of state.attempts.list(entry.vm.id))
    if (!reported.has(attempt.attemptId))
      applyMissing(state, attempt, report.clockMs);
  for (const attemptId of entry.handled.keys())
    if (!reported.has(attemptId)) entry.handled.delete(attemptId);
  state.apply({
    event: 'worker.reported',
    worker: entry.vm.id,
    attempts: report.tasks.filter(
      (task) => state.attempts.read(entry.vm.id, task.attemptId) !== undefined,
    ),
  });
}

function updateAttempt(
  state: states.ShardState,
  entry: states.WorkerEntry,
  attempt: types.Attempt,
  task: core.workers.AttemptReport,
  clockMs: number,
): void {
  if (attempt.phase === 'sent') calls.noteStarted(state, attempt, clockMs);
  attempt.seenClockMs = clockMs;
  if (task.state === 'ended') {
    const result = readResult(task, attempt.atMostOnce);
    finishAttempt(state, entry, attempt, result, task.checkpoint);
    return;
  }
  const { stopSentMs } = attempt;
  if (stopSentMs === undefined || task.state !== 'running') return;
  const nowMs = state.parts.context.timers.readNow();
  if (nowMs - stopSentMs > STOP_REPEAT_MS)
    calls.sendStop(state, attempt, false);
}

function readResult(
  task: core.workers.AttemptReport,
  atMostOnce: boolean,
): core.jobs.TaskResult {
  if (task.exit !== undefined && task.exit !== 'lapsed') return task.exit;
  return atMostOnce ? 'unknown' : 'lost';
}

/** An attempt that isn't in the table: an earlier owner's, or one that was given up. */
function applyFound(
  state: states.ShardState,
  entry: states.WorkerEntry,
  task: core.workers.AttemptReport,
  clockMs: number,
): void {
  if (isHandled(entry, task.attemptId)) return;
  const { jobId, index } = task;
  const job = state.parts.jobs.table.jobs.get(jobId);
  const open =
    core.readTaskEnd(state.tasks.table, jobId, index) === undefined &&
    state.recorder.readPending(jobId, index) === undefined;
  const elsewhere = state.attempts.readTask(jobId, index) !== undefined;
  const live = job?.state === 'accepted' && job.shard === state.shard;
  if (live && open && !elsewhere && isWorthAdopting(state, job, task)) {
    addFound(state, entry, job, task, clockMs);
    return;
  }
  // The record of an unknown job may not have been read yet.
  const certain =
    job !== undefined ||
    state.parts.jobs.table.ended.has(jobId) ||
    state.concluded;
  if (task.state === 'ended') {
    if (certain) entry.session.forget(task.attemptId);
    return;
  }
  entry.strays += 1;
  if (certain && task.state === 'running')
    calls.stopStray(state, entry.vm.id, task.attemptId);
}

function isHandled(
  entry: states.WorkerEntry,
  attempt: core.ids.AttemptId,
): boolean {
  const handled = entry.handled.get(attempt);
  if (handled === 'forgettable') entry.session.forget(attempt);
  return handled !== undefined;
}

/**
 * The end of a restartable attempt without a result says nothing about the task: a
 * later attempt may be running on a worker that hasn't reported. The same holds for
 * a replica of a service, which is started again whatever its result.
 */
function isWorthAdopting(
  state: states.ShardState,
  job: core.jobs.Job,
  task: core.workers.AttemptReport,
): boolean {
  if (task.state !== 'ended') return true;
  if (task.exit === 'done' && job.spec.kind !== 'service') return true;
  return shardJobs.isAtMostOnce(state, job);
}

function addFound(
  state: states.ShardState,
  entry: states.WorkerEntry,
  job: core.jobs.Job,
  task: core.workers.AttemptReport,
  clockMs: number,
): void {
  const attempt: types.Attempt = {
    attemptId: task.attemptId,
    job: task.jobId,
    index: task.index,
    worker: entry.vm.id,
    atMostOnce: shardJobs.isAtMostOnce(state, job),
    phase: 'running',
    startByMs: 0,
    seenClockMs: clockMs,
    stopSentMs: undefined,
  };
  shardJobs.addJob(state, job);
  state.attempts.add(attempt);
  state.held.delete(recorders.formatTask(task.jobId, task.index));
  state.apply({
    event: 'task.adopted',
    job: task.jobId,
    index: task.index,
    attemptId: task.attemptId,
    worker: entry.vm.id,
    size: task.size,
  });
  if (task.state !== 'ended') return;
  const result = readResult(task, attempt.atMostOnce);
  finishAttempt(state, entry, attempt, result, task.checkpoint);
}

function applyMissing(
  state: states.ShardState,
  attempt: types.Attempt,
  clockMs: number,
): void {
  switch (attempt.phase) {
    case 'deciding':
      return;
    case 'sent':
      if (clockMs > attempt.startByMs) calls.dropStart(state, attempt);
      return;
    case 'running':
      if (clockMs > attempt.seenClockMs) void resolveMissing(state, attempt);
      return;
  }
}

/** A worker forgets only what an owner told it to forget, after the end was recorded. */
async function resolveMissing(
  state: states.ShardState,
  attempt: types.Attempt,
): Promise<void> {
  try {
    await state.tasks.reader.waitForHead();
  } catch {
    return;
  }
  if (state.closed || !state.attempts.has(attempt)) return;
  const { job, index, atMostOnce } = attempt;
  const recorded = core.readTaskEnd(state.tasks.table, job, index);
  const result = recorded ?? (atMostOnce ? 'unknown' : 'lost');
  finishAttempt(state, undefined, attempt, result, undefined);
}

/** Ends all attempts that were on a worker of which no lease runs any more. */
export function expireAttempts(
  state: states.ShardState,
  entry: states.WorkerEntry,
): void {
  for (const attempt of state.attempts.list(entry.vm.id)) {
    if (attempt.phase === 'deciding') continue;
    if (attempt.phase === 'sent' && !attempt.atMostOnce)
      calls.dropStart(state, attempt);
    else
      finishAttempt(
        state,
        undefined,
        attempt,
        attempt.atMostOnce ? 'unknown' : 'lost',
        undefined,
      );
  }
}

/** Ends an attempt; `entry` is the worker that still reports it. */
function finishAttempt(
  state: states.ShardState,
  entry: states.WorkerEntry | undefined,
  attempt: types.Attempt,
  result: core.jobs.TaskResult,
  checkpoint: number | undefined,
): void {
  const { job, index, attemptId } = attempt;
  state.attempts.remove(attempt);
  state.apply({
    event: 'task.ended',
    attemptId,
    result,
    ...(checkpoint === undefined ? {} : { checkpoint }),
  });
  const forget = () => {
    entry?.handled.set(attemptId, 'forgettable');
    entry?.session.forget(attemptId);
  };
  entry?.handled.set(attemptId, 'recording');
  const kind = state.parts.jobs.table.jobs.get(job)?.spec.kind;
  const final = attempt.atMostOnce || (result === 'done' && kind !== 'service');
  if (final) state.recorder.record({ job, index, result }, forget);
  else state.undecided.push({ job, index, forget });
}

/** Records the ends of tasks that the scheduler won't try again; the others need no record. */
export function recordUndecided(state: states.ShardState): void {
  const undecided = state.undecided;
  if (undecided.length === 0) return;
  state.undecided = [];
  // The states are read once per job, because a large job may end all at once.
  const tasksOf = new Map<
    core.ids.JobId,
    readonly core.jobs.TaskState[] | undefined
  >();
  for (const { job, index, forget } of undecided) {
    if (!tasksOf.has(job)) tasksOf.set(job, state.scheduler.readTasks(job));
    const task = tasksOf.get(job)?.[index];
    if (task?.state === 'ended')
      state.recorder.record({ job, index, result: task.result }, forget);
    else forget();
  }
}
