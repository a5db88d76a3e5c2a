/**
 * Handles the ends of attempts and jobs: decides from the result and the class whether
 * a task is retried, a gang is restarted or a job ends, and with which result.
 */
import type * as ids from '../types/ids.js';
import type * as job from '../types/job.js';
import * as health from '../health/health.js';
import type * as placement from '../placement/rows.js';
import * as heldCapacity from './heldCapacity.js';
import type * as rows from './rows.js';
import type * as states from './state.js';
import * as waiting from './waiting.js';

/** Number of different workers on which a task or job must fail before the job ends as failed. */
const MAX_FAILED_WORKERS = 3;
const RETRY_MIN_MS = 1_000;
const RETRY_MAX_MS = 60_000;
/** A service replica that ran longer than this before it failed doesn't count against its job. */
const SERVICE_STABLE_MS = 60_000;
/** Ended jobs that are kept for explanations. */
const MAX_CLOSED_JOBS = 1_000;
const MAX_HISTORY_LINES = 20;
/** Share of the expected progress that a checkpoint must save to count as successful. */
const MIN_CHECKPOINT_RATIO = 0.25;
/** Weight of the newest value in exponential moving averages. */
const AVERAGE_WEIGHT = 0.2;

/** Appends a line to the history of a job, dropping the oldest beyond the limit. */
export function appendHistory(row: rows.JobRow, line: string): void {
  row.history.push(line);
  if (row.history.length > MAX_HISTORY_LINES) row.history.shift();
}

function updateAverage(
  map: Map<string, number>,
  key: string,
  value: number,
  initial: number,
): void {
  const before = map.get(key) ?? initial;
  map.set(key, before + AVERAGE_WEIGHT * (value - before));
}

/** Issues a stop command for an attempt unless it is already stopping. */
export function stopAttempt(
  state: states.State,
  attempt: placement.Attempt,
  why: placement.StopCause,
  checkpoint: boolean,
): void {
  if (attempt.state === 'stopping') return;
  heldCapacity.markStopping(state, attempt);
  attempt.why = why;
  state.pendingCommands.push({
    command: 'stop',
    attemptId: attempt.id,
    worker: attempt.worker.id,
    why,
    checkpoint,
  });
}

/** Records in the history of a preempted job which job it made room for. */
export function recordPreemption(
  state: states.State,
  attempt: placement.Attempt,
  by: ids.JobId,
): void {
  const row = state.jobs.get(attempt.jobId);
  if (row !== undefined)
    appendHistory(
      row,
      `task ${attempt.index} was checkpointed on ${attempt.worker.id} to make room for job ${by}`,
    );
}

/** Lists the live attempts of a job; linear in the number of tasks that have a row. */
export function listLiveAttempts(row: rows.JobRow): placement.Attempt[] {
  const live: placement.Attempt[] = [];
  for (const task of row.tasks.values())
    if (task.attempt !== undefined) live.push(task.attempt);
  return live;
}

/** Stops the live attempts of a job; the job ends once they have stopped. */
export function beginJobEnd(
  state: states.State,
  row: rows.JobRow,
  end: NonNullable<rows.JobRow['ending']>,
): void {
  if (row.closed || row.ending !== undefined) return;
  row.ending = end;
  waiting.updateReadyCount(state, row, -waiting.countReady(state, row));
  if (row.liveTasks > 0) {
    const why = end.state === 'cancelled' ? 'cancelled' : 'withdrawn';
    for (const attempt of listLiveAttempts(row))
      stopAttempt(state, attempt, why, false);
  }
  finishJob(state, row);
}

function closeJob(
  state: states.State,
  row: rows.JobRow,
  end: NonNullable<rows.JobRow['ending']>,
): void {
  row.ending = end;
  row.closed = true;
  waiting.updateReadyCount(state, row, -waiting.countReady(state, row));
  if (row.isUnplaceable) state.unplaceableJobs.delete(row);
  if (row.spec.kind === 'gang') state.incompleteGangs.delete(row);
  if (row.tasks.size > 0) health.dropJob(state.health, row.id);
  state.pendingCommands.push({
    command: 'end-job',
    job: row.id,
    state: end.state,
    reason: end.reason,
  });
  state.closedJobs.add(row.id);
  if (state.closedJobs.size <= MAX_CLOSED_JOBS) return;
  for (const oldest of state.closedJobs) {
    state.closedJobs.delete(oldest);
    state.jobs.delete(oldest);
    break;
  }
}

/** Ends a job that has no live attempts and no tasks left to run. */
export function finishJob(state: states.State, row: rows.JobRow): void {
  if (row.closed || row.liveTasks > 0) return;
  if (row.ending !== undefined) {
    closeJob(state, row, row.ending);
    return;
  }
  if (row.endedTasks < row.spec.count || row.restarting) return;
  if (row.unknownTasks > 0)
    closeJob(state, row, {
      state: 'unknown',
      reason: `${row.unknownTasks} of ${row.spec.count} tasks ended without a known result and may not run twice`,
    });
  else if (row.failedTasks > 0)
    closeJob(state, row, {
      state: 'failed',
      reason: `${row.failedTasks} of ${row.spec.count} tasks failed`,
    });
  else
    closeJob(state, row, {
      state: 'done',
      reason: `all ${row.spec.count} tasks are done`,
    });
}

/** Marks a task as ended; it is not started again unless its whole gang is reset. */
export function endTask(
  row: rows.JobRow,
  task: rows.TaskRow,
  result: job.TaskResult,
): void {
  task.state = 'ended';
  task.attempt = undefined;
  task.result = result;
  row.endedTasks += 1;
  if (result === 'done') row.doneTasks += 1;
  else if (result === 'unknown' || result === 'lost') row.unknownTasks += 1;
  else row.failedTasks += 1;
}

function computeRetryMs(failures: number): number {
  return Math.min(RETRY_MAX_MS, RETRY_MIN_MS * 2 ** Math.max(0, failures - 1));
}

/** Stops the remaining members of a gang; the gang restarts as a whole once all have stopped. */
export function stopGang(state: states.State, row: rows.JobRow): void {
  if (row.restarting || row.ending !== undefined || row.closed) return;
  row.restarting = true;
  for (const attempt of listLiveAttempts(row))
    stopAttempt(state, attempt, 'gang', true);
}

/**
 * Ends an incomplete gang as failed when some of its members have ended and its class
 * is not idempotent; returns whether it did.
 */
export function endUnrepeatableGang(
  state: states.State,
  row: rows.JobRow,
): boolean {
  if (row.classEntry.idempotent || row.endedTasks === 0) return false;
  beginJobEnd(state, row, {
    state: 'failed',
    reason:
      'the gang broke after some members had run, and its class may not run twice',
  });
  return true;
}

function scheduleGangRestart(
  state: states.State,
  row: rows.JobRow,
  nowMs: number,
): void {
  if (!row.restarting || row.liveTasks > 0 || row.ending !== undefined) return;
  if (endUnrepeatableGang(state, row)) return;
  const dueMs = nowMs + (row.failedWorkers.size > 0 ? RETRY_MIN_MS : 0);
  state.delayedTasks.push({ dueMs, job: row.id, index: undefined });
}

function countLargeEnoughWorkers(
  state: states.State,
  row: rows.JobRow,
): number {
  let count = 0;
  for (const group of state.fleet.sizeGroups.values())
    if (
      group.size.cores >= row.spec.size.cores &&
      group.size.memoryMb >= row.spec.size.memoryMb &&
      group.size.gpus >= row.spec.size.gpus
    )
      for (const workers of group.workersByRack.values()) count += workers;
  return count;
}

/** Records a worker on which a job failed, so that the job avoids it. */
function recordFailedWorker(
  state: states.State,
  row: rows.JobRow,
  worker: ids.VmId,
): void {
  const ready = waiting.countReady(state, row);
  waiting.updateReadyCount(state, row, -ready);
  row.failedWorkers.add(worker);
  row.avoidedWorkers.add(worker);
  // A job with finished tasks forgets the oldest entry, so that sporadic failures of a
  // large job don't exclude the whole fleet.
  if (row.doneTasks > 0 && row.failedWorkers.size >= MAX_FAILED_WORKERS)
    for (const oldest of row.failedWorkers) {
      row.failedWorkers.delete(oldest);
      row.avoidedWorkers.delete(oldest);
      break;
    }
  // Only this job avoids the worker, so it gets a shape of its own and no longer shares
  // failed lookups with other jobs.
  if (!row.shape.key.endsWith(row.id))
    row.shape = { ...row.shape, key: `${row.shape.key} ${row.id}` };
  waiting.updateReadyCount(state, row, ready);
}

function handleFailed(
  state: states.State,
  row: rows.JobRow,
  task: rows.TaskRow,
  attempt: placement.Attempt,
  nowMs: number,
): void {
  if (!row.classEntry.idempotent) {
    endTask(row, task, 'failed');
    if (row.spec.kind === 'gang')
      beginJobEnd(state, row, { state: 'failed', reason: 'a member failed' });
    return;
  }
  const isStable =
    row.spec.kind === 'service' && nowMs - attempt.sinceMs > SERVICE_STABLE_MS;
  // Failures on a quarantined worker are attributed to the worker, not to the job.
  if (!isStable && !health.isQuarantined(state.health, attempt.worker.id)) {
    task.failures += 1;
    task.failedWorkers.add(attempt.worker.id);
    recordFailedWorker(state, row, attempt.worker.id);
  }
  const limit = Math.min(
    MAX_FAILED_WORKERS,
    Math.max(1, countLargeEnoughWorkers(state, row)),
  );
  if (task.failedWorkers.size >= limit || row.failedWorkers.size >= limit) {
    endTask(row, task, 'failed');
    beginJobEnd(state, row, {
      state: 'failed',
      reason: `task ${task.index} failed on ${limit} different workers`,
    });
    return;
  }
  if (row.spec.kind === 'gang') {
    markDelayed(task);
    stopGang(state, row);
  } else
    waiting.requeueAfterDelay(
      state,
      row,
      task,
      nowMs + computeRetryMs(task.failures),
    );
}

/** Detaches a gang member from its attempt; it is requeued together with its gang. */
function markDelayed(task: rows.TaskRow): void {
  task.state = 'delayed';
  task.attempt = undefined;
}

function requeueOrRestartGang(
  state: states.State,
  row: rows.JobRow,
  task: rows.TaskRow,
  nowMs: number,
): void {
  if (row.spec.kind !== 'gang') {
    waiting.requeueTask(state, row, task, nowMs);
    return;
  }
  markDelayed(task);
  stopGang(state, row);
}

function handleLost(
  state: states.State,
  row: rows.JobRow,
  task: rows.TaskRow,
  nowMs: number,
): void {
  if (row.classEntry.idempotent) {
    requeueOrRestartGang(state, row, task, nowMs);
    return;
  }
  endTask(row, task, 'unknown');
  if (row.spec.kind === 'gang')
    beginJobEnd(state, row, {
      state: 'unknown',
      reason: 'a member was lost and may not run twice',
    });
}

function handleStopped(
  state: states.State,
  row: rows.JobRow,
  task: rows.TaskRow,
  attempt: placement.Attempt,
  nowMs: number,
): void {
  switch (attempt.why) {
    case undefined:
      handleLost(state, row, task, nowMs);
      return;
    case 'cancelled':
      endTask(row, task, 'stopped');
      return;
    case 'preempted':
    case 'withdrawn':
    case 'gang':
    case 'overuse':
      if (row.classEntry.idempotent)
        requeueOrRestartGang(state, row, task, nowMs);
      else endTask(row, task, 'stopped');
      return;
  }
}

function handleDone(
  state: states.State,
  row: rows.JobRow,
  task: rows.TaskRow,
  attempt: placement.Attempt,
  nowMs: number,
): void {
  row.failedWorkers.delete(attempt.worker.id);
  row.avoidedWorkers.delete(attempt.worker.id);
  // A replica of an at-most-once class isn't replaced, because that would run it twice.
  if (row.spec.kind === 'service' && row.classEntry.idempotent) {
    waiting.requeueAfterDelay(state, row, task, nowMs + RETRY_MIN_MS);
    return;
  }
  if (row.spec.declaredMs > 0 && attempt.state === 'running') {
    const share = Math.max(0.05, 1 - task.checkpointedShare);
    const actual = nowMs - attempt.sinceMs;
    const ratio = actual / (row.spec.declaredMs * share);
    updateAverage(
      state.runTimeRatios,
      row.spec.jobClass,
      Math.min(10, Math.max(0.1, ratio)),
      1,
    );
  }
  endTask(row, task, 'done');
}

function recordHealth(
  state: states.State,
  attempt: placement.Attempt,
  result: job.TaskResult,
  nowMs: number,
): void {
  const worker = attempt.worker;
  if (attempt.trial) {
    const passed = result === 'done' ? 'passed' : 'open';
    const outcome = result === 'failed' ? 'failed' : passed;
    if (health.finishTrial(state.health, worker.id, outcome, nowMs))
      state.fleet.setQuarantined(worker, false);
    return;
  }
  if (result !== 'done' && result !== 'failed') return;
  // The counts of a job were dropped when it closed; adding one would leak memory.
  if (state.jobs.get(attempt.jobId)?.closed !== false) return;
  const quarantined = health.recordOutcome(
    state.health,
    worker.id,
    { job: attempt.jobId, failed: result === 'failed' },
    state.fleet.workers.size,
    nowMs,
  );
  if (!quarantined) return;
  state.fleet.setQuarantined(worker, true);
  // Failures on a worker that is now quarantined no longer count against the jobs.
  for (const row of state.jobs.values()) {
    if (row.closed || !row.failedWorkers.delete(worker.id)) continue;
    row.avoidedWorkers.delete(worker.id);
    for (const task of row.tasks.values()) task.failedWorkers.delete(worker.id);
  }
}

function recordCheckpoint(
  state: states.State,
  row: rows.JobRow,
  task: rows.TaskRow,
  attempt: placement.Attempt,
  checkpoint: number | undefined,
  nowMs: number,
): void {
  if (attempt.why === 'preempted') {
    task.preemptions += 1;
    const ran = nowMs - attempt.sinceMs;
    const expected = row.spec.declaredMs > 0 ? ran / row.spec.declaredMs : 0;
    const gained = (checkpoint ?? 0) - task.checkpointedShare;
    // Declared run times are too inaccurate for a finer measure than saved or not saved.
    const isSaved = gained >= expected * MIN_CHECKPOINT_RATIO;
    updateAverage(
      state.checkpointRetention,
      row.spec.jobClass,
      isSaved ? 1 : 0,
      1,
    );
  }
  if (checkpoint !== undefined)
    task.checkpointedShare = Math.min(1, Math.max(0, checkpoint));
}

/** Applies the confirmed end of an attempt and frees its capacity. */
export function endAttempt(
  state: states.State,
  attempt: placement.Attempt,
  result: job.TaskResult,
  checkpoint: number | undefined,
  nowMs: number,
): void {
  heldCapacity.dropAttempt(state, attempt);
  recordHealth(state, attempt, result, nowMs);
  const row = state.jobs.get(attempt.jobId);
  const task = row?.tasks.get(attempt.index);
  // An attempt that was adopted while its task had another attempt, or had ended,
  // only held capacity.
  if (row === undefined || task?.attempt !== attempt) return;
  row.liveTasks -= 1;
  waiting.updateReplicaCounts(row, attempt.worker, -1);
  recordCheckpoint(state, row, task, attempt, checkpoint, nowMs);
  if (result !== 'done')
    appendHistory(
      row,
      `task ${attempt.index} on ${attempt.worker.id}: ${attempt.why ?? result}`,
    );
  if (row.ending !== undefined) endTask(row, task, result);
  else applyResult(state, row, task, attempt, result, nowMs);
  scheduleGangRestart(state, row, nowMs);
  finishJob(state, row);
}

function applyResult(
  state: states.State,
  row: rows.JobRow,
  task: rows.TaskRow,
  attempt: placement.Attempt,
  result: job.TaskResult,
  nowMs: number,
): void {
  switch (result) {
    case 'done':
      handleDone(state, row, task, attempt, nowMs);
      return;
    case 'failed':
      handleFailed(state, row, task, attempt, nowMs);
      return;
    case 'lost':
      handleLost(state, row, task, nowMs);
      return;
    case 'stopped':
      handleStopped(state, row, task, attempt, nowMs);
      return;
    case 'unknown':
      endTask(row, task, 'unknown');
      if (row.spec.kind === 'gang')
        beginJobEnd(state, row, {
          state: 'unknown',
          reason: 'a member ended without a known result',
        });
      return;
  }
}

/**
 * Handles a start that didn't happen. The task never ran, so it is requeued even when
 * its class is at-most-once.
 */
export function endNotStarted(
  state: states.State,
  attempt: placement.Attempt,
  nowMs: number,
): void {
  heldCapacity.dropAttempt(state, attempt);
  if (attempt.trial)
    health.finishTrial(state.health, attempt.worker.id, 'open', nowMs);
  const row = state.jobs.get(attempt.jobId);
  const task = row?.tasks.get(attempt.index);
  if (row === undefined || task?.attempt !== attempt) return;
  row.liveTasks -= 1;
  waiting.updateReplicaCounts(row, attempt.worker, -1);
  if (row.ending !== undefined) endTask(row, task, 'stopped');
  else requeueOrRestartGang(state, row, task, nowMs);
  scheduleGangRestart(state, row, nowMs);
  finishJob(state, row);
}
