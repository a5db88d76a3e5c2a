/** Applies the inventories of workers to the table of attempts, and ends attempts. */
import * as core from '@flamingoward/core';
import * as calls from './calls.js';
import * as recorders from './taskEndRecorder.js';
import * as shardJobs from './shardJobs.js';
import type * as states from './state.js';
import type * as types from './types.js';

/** Time after which a stop is sent again when the attempt still runs. */
const STOP_REPEAT_DELAY_MS = 2_000;

/** Applies a complete inventory. */
export function applyReport(
  state: states.ShardState,
  entry: states.WorkerEntry,
  report: core.workers.SyncReport,
): void {
  const reported = new Set<core.ids.AttemptId>();
  entry.strayAttempts = 0;
  entry.unknownJobs.clear();
  for (const task of report.tasks) {
    reported.add(task.attemptId);
    const known = state.attempts.get(entry.vm.id, task.attemptId);
    if (known === undefined || known.phase === 'deciding')
      applyUnknownAttempt(state, entry, task, report.clockMs);
    else updateAttempt(state, entry, known, task, report.clockMs);
  }
  for (const attempt of state.attempts.list(entry.vm.id))
    if (!reported.has(attempt.attemptId))
      applyMissingAttempt(state, attempt, report.clockMs);
  for (const attemptId of entry.handledEnds.keys())
    if (!reported.has(attemptId)) entry.handledEnds.delete(attemptId);
  state.apply({
    event: 'worker.reported',
    worker: entry.vm.id,
    attempts: report.tasks.filter(
      (task) => state.attempts.get(entry.vm.id, task.attemptId) !== undefined,
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
  if (attempt.phase === 'sent') calls.markStarted(state, attempt, clockMs);
  attempt.seenClockMs = clockMs;
  if (task.state === 'ended') {
    const result = getResult(task, attempt.atMostOnce);
    finishAttempt(state, entry, attempt, result, task.checkpoint);
    return;
  }
  const { stopSentMs } = attempt;
  if (stopSentMs === undefined || task.state !== 'running') return;
  const nowMs = state.dependencies.context.timers.getNow();
  if (nowMs - stopSentMs > STOP_REPEAT_DELAY_MS)
    calls.sendStop(state, attempt, false);
}

function getResult(
  task: core.workers.AttemptReport,
  atMostOnce: boolean,
): core.jobs.TaskResult {
  if (task.exit !== undefined && task.exit !== 'lapsed') return task.exit;
  return atMostOnce ? 'unknown' : 'lost';
}

/** Handles an attempt that isn't in the table: an earlier owner's, or one that was dropped. */
function applyUnknownAttempt(
  state: states.ShardState,
  entry: states.WorkerEntry,
  task: core.workers.AttemptReport,
  clockMs: number,
): void {
  if (isHandled(entry, task.attemptId)) return;
  const { jobId, index } = task;
  const job = state.dependencies.jobs.table.jobs.get(jobId);
  const hasNoEnd =
    core.getTaskEnd(state.tasks.table, jobId, index) === undefined &&
    state.recorder.getPendingResult(jobId, index) === undefined;
  const hasOtherAttempt = state.attempts.getByTask(jobId, index) !== undefined;
  const isLiveJob = job?.state === 'accepted' && job.shard === state.shard;
  if (
    isLiveJob &&
    hasNoEnd &&
    !hasOtherAttempt &&
    isAdoptable(state, job, task)
  ) {
    adoptAttempt(state, entry, job, task, clockMs);
    return;
  }
  // Before the take-over is concluded, an unknown job may be one whose record hasn't been read yet.
  const isJobKnown =
    job !== undefined ||
    state.dependencies.jobs.table.ended.has(jobId) ||
    state.isConcluded;
  if (!isJobKnown) entry.unknownJobs.add(jobId);
  if (task.state === 'ended') {
    if (isJobKnown) entry.session.forget(task.attemptId);
    return;
  }
  entry.strayAttempts += 1;
  if (isJobKnown && task.state === 'running')
    calls.stopStray(state, entry.vm.id, task.attemptId);
}

function isHandled(
  entry: states.WorkerEntry,
  attempt: core.ids.AttemptId,
): boolean {
  const handled = entry.handledEnds.get(attempt);
  if (handled === 'forgettable') entry.session.forget(attempt);
  return handled !== undefined;
}

/**
 * Returns whether an attempt that isn't in the table is to be adopted. An attempt of a
 * restartable task that ended without a result doesn't show the state of the task: a later
 * attempt may be running on a worker that hasn't reported. The same holds for a
 * replica of a service, which is started again whatever its result.
 */
function isAdoptable(
  state: states.ShardState,
  job: core.jobs.Job,
  task: core.workers.AttemptReport,
): boolean {
  if (task.state !== 'ended') return true;
  if (task.exit === 'done' && job.spec.kind !== 'service') return true;
  return shardJobs.isAtMostOnce(state, job);
}

function adoptAttempt(
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
  state.heldTasks.delete(recorders.formatTask(task.jobId, task.index));
  state.apply({
    event: 'task.adopted',
    job: task.jobId,
    index: task.index,
    attemptId: task.attemptId,
    worker: entry.vm.id,
    size: task.size,
  });
  if (task.state !== 'ended') return;
  const result = getResult(task, attempt.atMostOnce);
  finishAttempt(state, entry, attempt, result, task.checkpoint);
}

function applyMissingAttempt(
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
      if (clockMs > attempt.seenClockMs)
        void resolveMissingAttempt(state, attempt);
      return;
  }
}

/**
 * Ends an attempt that the worker no longer reports. A worker forgets an attempt only
 * on request of an owner that has recorded its end, so the record is read first.
 */
async function resolveMissingAttempt(
  state: states.ShardState,
  attempt: types.Attempt,
): Promise<void> {
  try {
    await state.tasks.reader.waitForHead();
  } catch {
    return;
  }
  if (state.isClosed || !state.attempts.has(attempt)) return;
  const { job, index, atMostOnce } = attempt;
  const recorded = core.getTaskEnd(state.tasks.table, job, index);
  const result = recorded ?? (atMostOnce ? 'unknown' : 'lost');
  finishAttempt(state, undefined, attempt, result, undefined);
}

/** Ends all attempts on a worker whose leases have all expired. */
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
    entry?.handledEnds.set(attemptId, 'forgettable');
    entry?.session.forget(attemptId);
  };
  entry?.handledEnds.set(attemptId, 'recording');
  const kind = state.dependencies.jobs.table.jobs.get(job)?.spec.kind;
  const final = attempt.atMostOnce || (result === 'done' && kind !== 'service');
  if (final) state.recorder.record({ job, index, result }, forget);
  else state.undecidedEnds.push({ job, index, forget });
}

/** Records the ends of tasks that the scheduler decided not to try again; the others need no record. */
export function recordUndecided(state: states.ShardState): void {
  const undecided = state.undecidedEnds;
  if (undecided.length === 0) return;
  state.undecidedEnds = [];
  // The states are fetched once per job, because all tasks of a large job may end at once.
  const tasksOf = new Map<
    core.ids.JobId,
    readonly core.jobs.TaskState[] | undefined
  >();
  for (const { job, index, forget } of undecided) {
    if (!tasksOf.has(job))
      tasksOf.set(job, state.scheduler.listTaskStates(job));
    const task = tasksOf.get(job)?.[index];
    if (task?.state === 'ended')
      state.recorder.record({ job, index, result: task.result }, forget);
    else forget();
  }
}
