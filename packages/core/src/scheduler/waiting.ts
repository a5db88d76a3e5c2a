/** Which tasks of a job wait, and the next one to start. */
import type * as ids from '../types/ids.js';
import type * as resources from '../types/resources.js';
import type * as rows from './rows.js';
import type * as states from './state.js';

/** Returns the row of a task, which stops being a fresh one. */
export function touchTask(row: rows.JobRow, index: number): rows.TaskRow {
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
      kept: 0,
      failures: 0,
      failedOn: new Set(),
    };
    row.tasks.set(index, task);
  }
  return task;
}

/** Changes the number of tasks that may start, also while the job fits nowhere. */
export function applyReady(
  state: states.State,
  row: rows.JobRow,
  by: number,
): void {
  if (by === 0) return;
  const parked = row.unfit ? state.unfit.get(row) : undefined;
  if (parked === undefined) state.queue.applyWaiting(row, by);
  else state.unfit.set(row, parked + by);
}

/** Counts the tasks that may start now or wait for a worker that is large enough. */
export function countReady(state: states.State, row: rows.JobRow): number {
  if (!row.unfit) return row.waiting;
  return state.unfit.get(row) ?? row.waiting;
}

/** Takes a job out of the queue while no worker could hold its tasks. */
export function removeUnfit(state: states.State, row: rows.JobRow): void {
  if (state.unfit.has(row)) return;
  const waiting = row.waiting;
  row.unfit = true;
  state.queue.applyWaiting(row, -waiting);
  state.unfit.set(row, waiting);
}

/** Puts the jobs that fitted nowhere back into the queue after the fleet changed. */
export function restoreUnfit(state: states.State): void {
  for (const [row, waiting] of state.unfit) {
    state.unfit.delete(row);
    row.unfit = false;
    state.queue.applyWaiting(row, waiting);
  }
}

/** Takes a particular task out of the waiting ones; false when it doesn't wait. */
export function takeTask(
  state: states.State,
  row: rows.JobRow,
  index: number,
): boolean {
  const task = row.tasks.get(index);
  if (task === undefined) {
    touchTask(row, index);
    applyReady(state, row, -1);
    return true;
  }
  if (task.state !== 'waiting') return false;
  row.again = row.again.filter((other) => other !== index);
  applyReady(state, row, -1);
  return true;
}

/** Takes the next task to start. */
export function takeNext(
  state: states.State,
  row: rows.JobRow,
): rows.TaskRow | undefined {
  const again = row.again.shift();
  if (again !== undefined) {
    applyReady(state, row, -1);
    return row.tasks.get(again);
  }
  while (row.nextFresh < row.spec.count && row.tasks.has(row.nextFresh))
    row.nextFresh += 1;
  if (row.nextFresh >= row.spec.count) return undefined;
  const task = touchTask(row, row.nextFresh);
  applyReady(state, row, -1);
  return task;
}

/** Makes a task wait again. */
export function putBack(
  state: states.State,
  row: rows.JobRow,
  task: rows.TaskRow,
  nowMs: number,
): void {
  task.state = 'waiting';
  task.attempt = undefined;
  task.sinceMs = nowMs;
  if (row.waiting === 0) row.progressMs = nowMs;
  row.again.push(task.index);
  applyReady(state, row, 1);
}

/** Lets a task wait again after a delay. */
export function requeueLater(
  state: states.State,
  row: rows.JobRow,
  task: rows.TaskRow,
  dueMs: number,
): void {
  task.state = 'delayed';
  task.attempt = undefined;
  state.delayed.push({ dueMs, job: row.id, index: task.index });
}

/** Puts tasks whose delay is over back into the queue. */
export function releaseDelayed(state: states.State, nowMs: number): void {
  for (;;) {
    const next = state.delayed.peek();
    if (next === undefined || next.dueMs > nowMs) return;
    state.delayed.pop();
    const row = state.jobs.get(next.job);
    if (row === undefined || row.closed || row.ending !== undefined) continue;
    if (next.index === undefined) resetGang(state, row, nowMs);
    else {
      const task = row.tasks.get(next.index);
      if (task?.state === 'delayed') putBack(state, row, task, nowMs);
    }
  }
}

/** Makes all members of a gang wait again. */
export function resetGang(
  state: states.State,
  row: rows.JobRow,
  nowMs: number,
): void {
  if (row.live > 0) return;
  applyReady(state, row, -countReady(state, row));
  for (const task of row.tasks.values()) {
    task.state = 'waiting';
    task.attempt = undefined;
    task.result = undefined;
  }
  row.again = [...row.tasks.keys()].sort((a, b) => a - b);
  row.ended = 0;
  row.done = 0;
  row.failed = 0;
  row.unknown = 0;
  row.restarting = false;
  row.sinceMs = nowMs;
  row.progressMs = nowMs;
  applyReady(state, row, row.spec.count);
}

/** Need of all tasks that a placement of this job starts in one step. */
export function computeStep(row: rows.JobRow): {
  readonly need: resources.Resources;
  readonly times: number;
} {
  return { need: row.spec.size, times: row.shape.members };
}

/** Adds one to or takes one from the replicas at a place. */
export function countSpread(
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
    const count = (row.spread.get(place) ?? 0) + by;
    if (count > 0) row.spread.set(place, count);
    else row.spread.delete(place);
  }
}
