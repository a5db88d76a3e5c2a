/** Ends of attempts and jobs: what restarts, what ends, and with which result. */
import type * as ids from '../types/ids.js';
import type * as job from '../types/job.js';
import * as health from '../health/health.js';
import type * as placement from '../placement/rows.js';
import * as ledger from './ledger.js';
import type * as rows from './rows.js';
import type * as states from './state.js';
import * as waiting from './waiting.js';

/** A job that fails on this many different workers ends as failed. */
const WORKERS_TO_FAIL = 3;
const RETRY_MIN_MS = 1_000;
const RETRY_MAX_MS = 60_000;
/** A replica that ran this long before it failed doesn't count against its job. */
const SERVICE_SETTLED_MS = 60_000;
const CLOSED_JOBS_KEPT = 1_000;
const HISTORY_KEPT = 20;
/** A checkpoint that keeps this share of the expected progress keeps the work. */
const CHECKPOINT_KEPT = 0.25;
/** Weight of the newest value in running averages. */
const AVERAGE_WEIGHT = 0.2;

/** Adds a line to what happened to a job. */
export function noteHistory(row: rows.JobRow, line: string): void {
  row.history.push(line);
  if (row.history.length > HISTORY_KEPT) row.history.shift();
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

/** Asks for the stop of an attempt, once. */
export function stopAttempt(
  state: states.State,
  attempt: placement.Attempt,
  why: placement.StopCause,
  checkpoint: boolean,
): void {
  if (attempt.state === 'stopping') return;
  ledger.markStopping(state, attempt);
  attempt.why = why;
  state.outbox.push({
    command: 'stop',
    attemptId: attempt.id,
    worker: attempt.worker.id,
    why,
    checkpoint,
  });
}

/** Notes for the job of a preempted attempt which job it made room for. */
export function notePreemption(
  state: states.State,
  attempt: placement.Attempt,
  by: ids.JobId,
): void {
  const row = state.jobs.get(attempt.jobId);
  if (row !== undefined)
    noteHistory(
      row,
      `task ${attempt.index} was checkpointed on ${attempt.worker.id} to make room for job ${by}`,
    );
}

/** Lists the live attempts of a job; the cost is the tasks that ever started. */
export function listLive(row: rows.JobRow): placement.Attempt[] {
  const live: placement.Attempt[] = [];
  for (const task of row.tasks.values())
    if (task.attempt !== undefined) live.push(task.attempt);
  return live;
}

/** Makes a job end as soon as its live attempts have stopped. */
export function beginEnd(
  state: states.State,
  row: rows.JobRow,
  end: NonNullable<rows.JobRow['ending']>,
): void {
  if (row.closed || row.ending !== undefined) return;
  row.ending = end;
  waiting.applyReady(state, row, -waiting.countReady(state, row));
  if (row.live > 0) {
    const why = end.state === 'cancelled' ? 'cancelled' : 'withdrawn';
    for (const attempt of listLive(row))
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
  waiting.applyReady(state, row, -waiting.countReady(state, row));
  if (row.unfit) state.unfit.delete(row);
  if (row.spec.kind === 'gang') state.brokenGangs.delete(row);
  if (row.tasks.size > 0) health.dropJob(state.health, row.id);
  state.outbox.push({
    command: 'end-job',
    job: row.id,
    state: end.state,
    reason: end.reason,
  });
  state.closed.add(row.id);
  if (state.closed.size <= CLOSED_JOBS_KEPT) return;
  for (const oldest of state.closed) {
    state.closed.delete(oldest);
    state.jobs.delete(oldest);
    break;
  }
}

/** Ends a job when nothing of it is live and nothing is left to run. */
export function finishJob(state: states.State, row: rows.JobRow): void {
  if (row.closed || row.live > 0) return;
  if (row.ending !== undefined) {
    closeJob(state, row, row.ending);
    return;
  }
  if (row.ended < row.spec.count || row.restarting) return;
  if (row.unknown > 0)
    closeJob(state, row, {
      state: 'unknown',
      reason: `${row.unknown} of ${row.spec.count} tasks ended without a known result and may not run twice`,
    });
  else if (row.failed > 0)
    closeJob(state, row, {
      state: 'failed',
      reason: `${row.failed} of ${row.spec.count} tasks failed`,
    });
  else
    closeJob(state, row, {
      state: 'done',
      reason: `all ${row.spec.count} tasks are done`,
    });
}

/** Marks a task as ended for good. */
export function endTask(
  row: rows.JobRow,
  task: rows.TaskRow,
  result: job.TaskResult,
): void {
  task.state = 'ended';
  task.attempt = undefined;
  task.result = result;
  row.ended += 1;
  if (result === 'done') row.done += 1;
  else if (result === 'unknown' || result === 'lost') row.unknown += 1;
  else row.failed += 1;
}

function computeRetryMs(failures: number): number {
  return Math.min(RETRY_MAX_MS, RETRY_MIN_MS * 2 ** Math.max(0, failures - 1));
}

/** Stops the rest of a gang; it starts again as a whole when all have stopped. */
export function stopGang(state: states.State, row: rows.JobRow): void {
  if (row.restarting || row.ending !== undefined || row.closed) return;
  row.restarting = true;
  for (const attempt of listLive(row))
    stopAttempt(state, attempt, 'gang', true);
}

/** Ends a gang of which some members ran when none may run twice. */
export function endUnrepeatable(
  state: states.State,
  row: rows.JobRow,
): boolean {
  if (row.policy.idempotent || row.ended === 0) return false;
  beginEnd(state, row, {
    state: 'failed',
    reason:
      'the gang broke after some members had run, and its class may not run twice',
  });
  return true;
}

function resumeGang(
  state: states.State,
  row: rows.JobRow,
  nowMs: number,
): void {
  if (!row.restarting || row.live > 0 || row.ending !== undefined) return;
  if (endUnrepeatable(state, row)) return;
  const dueMs = nowMs + (row.failedOn.size > 0 ? RETRY_MIN_MS : 0);
  state.delayed.push({ dueMs, job: row.id, index: undefined });
}

function countWorkersFor(state: states.State, row: rows.JobRow): number {
  let count = 0;
  for (const group of state.fleet.groups.values())
    if (
      group.size.cores >= row.spec.size.cores &&
      group.size.memoryMb >= row.spec.size.memoryMb &&
      group.size.gpus >= row.spec.size.gpus
    )
      for (const workers of group.racks.values()) count += workers;
  return count;
}

/** Remembers where a job failed; the same workers are avoided. */
function markFailedOn(
  state: states.State,
  row: rows.JobRow,
  worker: ids.VmId,
): void {
  const ready = waiting.countReady(state, row);
  waiting.applyReady(state, row, -ready);
  row.failedOn.add(worker);
  row.avoid.add(worker);
  // Sporadic failures of a large job must not exclude the whole fleet.
  if (row.done > 0 && row.failedOn.size >= WORKERS_TO_FAIL)
    for (const oldest of row.failedOn) {
      row.failedOn.delete(oldest);
      row.avoid.delete(oldest);
      break;
    }
  // Only this job avoids the worker, so it no longer shares refusals with others.
  if (!row.shape.key.endsWith(row.id))
    row.shape = { ...row.shape, key: `${row.shape.key} ${row.id}` };
  waiting.applyReady(state, row, ready);
}

function handleFailure(
  state: states.State,
  row: rows.JobRow,
  task: rows.TaskRow,
  attempt: placement.Attempt,
  nowMs: number,
): void {
  if (!row.policy.idempotent) {
    endTask(row, task, 'failed');
    if (row.spec.kind === 'gang')
      beginEnd(state, row, { state: 'failed', reason: 'a member failed' });
    return;
  }
  const settled =
    row.spec.kind === 'service' && nowMs - attempt.sinceMs > SERVICE_SETTLED_MS;
  // A worker that fails everything says nothing about the job.
  if (!settled && !health.isQuarantined(state.health, attempt.worker.id)) {
    task.failures += 1;
    task.failedOn.add(attempt.worker.id);
    markFailedOn(state, row, attempt.worker.id);
  }
  const limit = Math.min(
    WORKERS_TO_FAIL,
    Math.max(1, countWorkersFor(state, row)),
  );
  if (task.failedOn.size >= limit || row.failedOn.size >= limit) {
    endTask(row, task, 'failed');
    beginEnd(state, row, {
      state: 'failed',
      reason: `task ${task.index} failed on ${limit} different workers`,
    });
    return;
  }
  if (row.spec.kind === 'gang') {
    markDelayed(task);
    stopGang(state, row);
  } else
    waiting.requeueLater(
      state,
      row,
      task,
      nowMs + computeRetryMs(task.failures),
    );
}

/** Members of a gang wait together once all have stopped. */
function markDelayed(task: rows.TaskRow): void {
  task.state = 'delayed';
  task.attempt = undefined;
}

function runAgain(
  state: states.State,
  row: rows.JobRow,
  task: rows.TaskRow,
  nowMs: number,
): void {
  if (row.spec.kind !== 'gang') {
    waiting.putBack(state, row, task, nowMs);
    return;
  }
  markDelayed(task);
  stopGang(state, row);
}

function handleLoss(
  state: states.State,
  row: rows.JobRow,
  task: rows.TaskRow,
  nowMs: number,
): void {
  if (row.policy.idempotent) {
    runAgain(state, row, task, nowMs);
    return;
  }
  endTask(row, task, 'unknown');
  if (row.spec.kind === 'gang')
    beginEnd(state, row, {
      state: 'unknown',
      reason: 'a member was lost and may not run twice',
    });
}

function handleStop(
  state: states.State,
  row: rows.JobRow,
  task: rows.TaskRow,
  attempt: placement.Attempt,
  nowMs: number,
): void {
  switch (attempt.why) {
    case undefined:
      handleLoss(state, row, task, nowMs);
      return;
    case 'cancelled':
      endTask(row, task, 'stopped');
      return;
    case 'preempted':
    case 'withdrawn':
    case 'gang':
    case 'overuse':
      if (row.policy.idempotent) runAgain(state, row, task, nowMs);
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
  row.failedOn.delete(attempt.worker.id);
  row.avoid.delete(attempt.worker.id);
  // A replica of an at-most-once class isn't replaced, since that would run it twice.
  if (row.spec.kind === 'service' && row.policy.idempotent) {
    waiting.requeueLater(state, row, task, nowMs + RETRY_MIN_MS);
    return;
  }
  if (row.spec.declaredMs > 0 && attempt.state === 'running') {
    const share = Math.max(0.05, 1 - task.kept);
    const actual = nowMs - attempt.sinceMs;
    const ratio = actual / (row.spec.declaredMs * share);
    updateAverage(
      state.stretch,
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
  // Outcomes of a job are dropped with it, so none may be added later.
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
  // The failures there were the worker's, so they no longer count against the jobs.
  for (const row of state.jobs.values()) {
    if (row.closed || !row.failedOn.delete(worker.id)) continue;
    row.avoid.delete(worker.id);
    for (const task of row.tasks.values()) task.failedOn.delete(worker.id);
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
    const gained = (checkpoint ?? 0) - task.kept;
    // Declared run times are too far off for a finer measure.
    const isKept = gained >= expected * CHECKPOINT_KEPT;
    updateAverage(state.checkpoints, row.spec.jobClass, isKept ? 1 : 0, 1);
  }
  if (checkpoint !== undefined)
    task.kept = Math.min(1, Math.max(0, checkpoint));
}

/** Applies the known end of an attempt; its capacity is free. */
export function endAttempt(
  state: states.State,
  attempt: placement.Attempt,
  result: job.TaskResult,
  checkpoint: number | undefined,
  nowMs: number,
): void {
  ledger.dropAttempt(state, attempt);
  recordHealth(state, attempt, result, nowMs);
  const row = state.jobs.get(attempt.jobId);
  const task = row?.tasks.get(attempt.index);
  // An attempt that isn't the task's own was found late and only held capacity.
  if (row === undefined || task?.attempt !== attempt) return;
  row.live -= 1;
  waiting.countSpread(row, attempt.worker, -1);
  recordCheckpoint(state, row, task, attempt, checkpoint, nowMs);
  if (result !== 'done')
    noteHistory(
      row,
      `task ${attempt.index} on ${attempt.worker.id}: ${attempt.why ?? result}`,
    );
  if (row.ending !== undefined) endTask(row, task, result);
  else applyResult(state, row, task, attempt, result, nowMs);
  resumeGang(state, row, nowMs);
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
      handleFailure(state, row, task, attempt, nowMs);
      return;
    case 'lost':
      handleLoss(state, row, task, nowMs);
      return;
    case 'stopped':
      handleStop(state, row, task, attempt, nowMs);
      return;
    case 'unknown':
      endTask(row, task, 'unknown');
      if (row.spec.kind === 'gang')
        beginEnd(state, row, {
          state: 'unknown',
          reason: 'a member ended without a known result',
        });
      return;
  }
}

/** Applies that a start didn't happen; the task waits again whatever its class. */
export function endNotStarted(
  state: states.State,
  attempt: placement.Attempt,
  nowMs: number,
): void {
  ledger.dropAttempt(state, attempt);
  if (attempt.trial)
    health.finishTrial(state.health, attempt.worker.id, 'open', nowMs);
  const row = state.jobs.get(attempt.jobId);
  const task = row?.tasks.get(attempt.index);
  if (row === undefined || task?.attempt !== attempt) return;
  row.live -= 1;
  waiting.countSpread(row, attempt.worker, -1);
  if (row.ending !== undefined) endTask(row, task, 'stopped');
  else runAgain(state, row, task, nowMs);
  resumeGang(state, row, nowMs);
  finishJob(state, row);
}
