/** Tracks which tasks of a job wait, and takes the next one to start. */
import type * as ids from '../types/ids.js';
import type * as resources from '../types/resources.js';
import type * as rows from './rows.js';
import type * as states from './state.js';

/** Returns the row of a task, creating it for a fresh task, which then is no longer fresh. */
export function ensureTaskRow(row: rows.JobRow, index: number): rows.TaskRow {
  let task = row.tasks.get(index);
  if (task === undefined) {
    task = {
      index,
      state: 'waiting',
      attempt: undefined,
      result: undefined,
      reason: undefined,
      sinceMs: row.sinceMs,
      attempts: 0,
      preemptions: 0,
      checkpointedShare: 0,
      failures: 0,
      failedWorkers: new Set(),
    };
    row.tasks.set(index, task);
  }
  return task;
}

/** Changes the number of waiting tasks of a job, in the queue or while it is unplaceable. */
export function updateReadyCount(
  state: states.State,
  row: rows.JobRow,
  by: number,
): void {
  if (by === 0) return;
  const unplaceable = row.isUnplaceable
    ? state.unplaceableJobs.get(row)
    : undefined;
  if (unplaceable === undefined) state.queue.updateWaitingCount(row, by);
  else state.unplaceableJobs.set(row, unplaceable + by);
}

/** Counts the waiting tasks of a job, also while it is unplaceable. */
export function countReady(state: states.State, row: rows.JobRow): number {
  if (!row.isUnplaceable) return row.waitingTasks;
  return state.unplaceableJobs.get(row) ?? row.waitingTasks;
}

/** Takes a job out of the queue that even an idle fleet could not hold. */
export function removeUnplaceable(state: states.State, row: rows.JobRow): void {
  if (state.unplaceableJobs.has(row)) return;
  const waiting = row.waitingTasks;
  row.isUnplaceable = true;
  state.queue.updateWaitingCount(row, -waiting);
  state.unplaceableJobs.set(row, waiting);
}

/** Puts unplaceable jobs back into the queue after the fleet changed. */
export function restoreUnplaceable(state: states.State): void {
  for (const [row, waiting] of state.unplaceableJobs) {
    state.unplaceableJobs.delete(row);
    row.isUnplaceable = false;
    state.queue.updateWaitingCount(row, waiting);
  }
}

/** Takes a given task out of the queue; returns false when it isn't waiting. */
export function takeTask(
  state: states.State,
  row: rows.JobRow,
  index: number,
): boolean {
  const task = row.tasks.get(index);
  if (task === undefined) {
    ensureTaskRow(row, index);
    updateReadyCount(state, row, -1);
    return true;
  }
  if (task.state !== 'waiting') return false;
  row.requeued = row.requeued.filter((other) => other !== index);
  updateReadyCount(state, row, -1);
  return true;
}

/** Takes the next task to start out of the queue: requeued tasks first, then fresh ones. */
export function takeNext(
  state: states.State,
  row: rows.JobRow,
): rows.TaskRow | undefined {
  const requeuedIndex = row.requeued.shift();
  if (requeuedIndex !== undefined) {
    updateReadyCount(state, row, -1);
    return row.tasks.get(requeuedIndex);
  }
  while (
    row.nextFreshIndex < row.spec.count &&
    row.tasks.has(row.nextFreshIndex)
  )
    row.nextFreshIndex += 1;
  if (row.nextFreshIndex >= row.spec.count) return undefined;
  const task = ensureTaskRow(row, row.nextFreshIndex);
  updateReadyCount(state, row, -1);
  return task;
}

/** Requeues a task, which may start at once. */
export function requeueTask(
  state: states.State,
  row: rows.JobRow,
  task: rows.TaskRow,
  nowMs: number,
): void {
  task.state = 'waiting';
  task.attempt = undefined;
  task.sinceMs = nowMs;
  if (row.waitingTasks === 0) row.lastProgressMs = nowMs;
  row.requeued.push(task.index);
  updateReadyCount(state, row, 1);
}

/** Requeues a task after a delay. */
export function requeueAfterDelay(
  state: states.State,
  row: rows.JobRow,
  task: rows.TaskRow,
  dueMs: number,
): void {
  task.state = 'delayed';
  task.attempt = undefined;
  state.delayedTasks.push({ dueMs, job: row.id, index: task.index });
}

/** Requeues the tasks and gangs whose delay is over. */
export function releaseDelayed(state: states.State, nowMs: number): void {
  for (;;) {
    const next = state.delayedTasks.peek();
    if (next === undefined || next.dueMs > nowMs) return;
    state.delayedTasks.pop();
    const row = state.jobs.get(next.job);
    if (row === undefined || row.closed || row.ending !== undefined) continue;
    if (next.index === undefined) resetGang(state, row, nowMs);
    else {
      const task = row.tasks.get(next.index);
      if (task?.state === 'delayed') requeueTask(state, row, task, nowMs);
    }
  }
}

/** Requeues all members of a gang, ended ones included. */
export function resetGang(
  state: states.State,
  row: rows.JobRow,
  nowMs: number,
): void {
  if (row.liveTasks > 0) return;
  updateReadyCount(state, row, -countReady(state, row));
  for (const task of row.tasks.values()) {
    task.state = 'waiting';
    task.attempt = undefined;
    task.result = undefined;
  }
  row.requeued = [...row.tasks.keys()].sort((a, b) => a - b);
  row.endedTasks = 0;
  row.doneTasks = 0;
  row.failedTasks = 0;
  row.unknownTasks = 0;
  row.restarting = false;
  row.sinceMs = nowMs;
  row.lastProgressMs = nowMs;
  updateReadyCount(state, row, row.spec.count);
}

/** Computes the size and number of the tasks that one placement of a job starts together. */
export function computeStep(row: rows.JobRow): {
  readonly need: resources.Resources;
  readonly times: number;
} {
  return { need: row.spec.size, times: row.shape.members };
}

/** Changes the replica counts of a service in the zone, the rack and on the worker. */
export function updateReplicaCounts(
  row: rows.JobRow,
  worker: {
    readonly id: ids.VmId;
    readonly record: {
      readonly availabilityZone: string;
      readonly rack: string;
    };
  },
  by: number,
): void {
  if (row.spec.kind !== 'service') return;
  const { availabilityZone, rack } = worker.record;
  const places = [
    `zone ${availabilityZone}`,
    `rack ${rack}`,
    `worker ${worker.id}`,
  ];
  for (const place of places) {
    const count = (row.replicaCounts.get(place) ?? 0) + by;
    if (count > 0) row.replicaCounts.set(place, count);
    else row.replicaCounts.delete(place);
  }
}
