/**
 * Records before effects: a start goes out once the record that names its VM is
 * durable, an end is noted at its VM once its effect is, and a job is shown as ended
 * once that is. One batch is being written at a time and takes all that has changed
 * since the one before, so that records are few when the store is slow.
 */
import type * as ids from '../types/ids.js';
import * as progress from './progress.js';
import * as states from './state.js';
import * as tables from './tables.js';
import type * as types from './types.js';

/** Takes what has changed as a batch, unless one is being written or nothing has. */
export function takeBatch(state: states.State): types.RecordBatch | undefined {
  if (state.batch !== undefined) return undefined;
  if (state.dirty.size === 0 && state.dropped.length === 0) return undefined;
  const number = state.nextBatch;
  state.nextBatch += 1;
  const texts = new Map<ids.JobId, string>();
  const finals = new Map<ids.JobId, types.FinalState>();
  const finalRows: tables.JobRow[] = [];
  const dropped = state.dropped.splice(0);
  for (const job of state.dirty) {
    if (job.shown !== undefined || job.cancelled) {
      if (job.activeRuns === 0) dropped.push(dropJob(state, job));
    } else if (job.final !== undefined) {
      finals.set(job.job.id, job.final);
      finalRows.push(job);
    } else texts.set(job.job.id, progress.encodeProgress(job));
  }
  state.dirty.clear();
  state.batch = {
    number,
    starts: state.newStarts,
    ends: new Map(
      [...state.vms.values()].map((vm) => [vm, vm.appliedEnd] as const),
    ),
    finals: finalRows,
  };
  state.newStarts = [];
  return { number, progress: texts, finals, dropped };
}

/** Removes an ended job without runs from the tables; its end is durable elsewhere. */
function dropJob(state: states.State, job: tables.JobRow): ids.JobId {
  state.jobs.delete(job.job.id);
  return job.job.id;
}

/** Applies that the batch is durable. */
export function confirmBatch(state: states.State): void {
  const { batch } = state;
  if (batch === undefined) return;
  state.batch = undefined;
  if (state.coveredBy !== undefined && batch.number >= state.coveredBy)
    state.coveredBy = undefined;
  for (const [vm, number] of batch.ends)
    // A new life of the VM counts its ends anew.
    if (number <= vm.appliedEnd)
      vm.durableEnd = Math.max(vm.durableEnd, number);
  for (const job of batch.finals) {
    job.shown = job.final;
    if (job.activeRuns === 0) state.dropped.push(dropJob(state, job));
  }
  sendStarts(state, batch.starts);
}

/** Sends starts whose records can't be written because the store is away. */
export function releaseStarts(state: states.State): void {
  const waiting = state.newStarts;
  state.newStarts = [];
  const open = state.batch?.starts.some((run) => run.phase === 'recording');
  if (waiting.length > 0) state.coveredBy = state.nextBatch;
  else if (open === true) state.coveredBy = state.batch?.number;
  sendStarts(state, [...(state.batch?.starts ?? []), ...waiting]);
}

function sendStarts(
  state: states.State,
  starts: readonly tables.RunRow[],
): void {
  for (const run of starts) {
    // It may have been dropped meanwhile, or released before.
    if (run.phase !== 'recording' || !run.vm.runs.has(run)) continue;
    run.phase = 'sent';
    state.commands.push({
      command: 'start',
      vm: run.vm.id,
      task: tables.readTaskKey(run.task),
      run: run.number,
      payload: run.task.step.occurrence.job.job.payload,
      saved: run.task.saved,
      ticket: run.ticket,
    });
  }
  if (starts.length > 0)
    states.countEvent(state, 'start.released', starts.length);
}
