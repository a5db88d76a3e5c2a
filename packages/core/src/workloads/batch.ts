/**
 * Write-ahead batches: a start is sent once the record with its VM is durable, an end is
 * acknowledged to its VM once its effect is durable, and a job is reported as ended once
 * its final state is durable. One batch is written at a time. It takes all changes since
 * the previous one, so that a slow store gets few writes.
 */
import type * as ids from '../types/ids.js';
import * as ends from './ends.js';
import * as progress from './progress.js';
import * as states from './state.js';
import * as tables from './tables.js';
import type * as types from './types.js';

/**
 * Most starts on their way to one VM. Hundreds at once would wait for a connection, reach
 * their time-outs there, and be sent again all together.
 */
const MAX_STARTS_IN_FLIGHT = 16;

/** Time after which a batch is overdue, in ms; several appends to a slow store. */
const OVERDUE_AFTER_MS = 1_200;

/**
 * Returns whether the open batch has waited so long to become durable that the store may be
 * unavailable. What is stopped now can't start again until the store is back.
 */
export function isOverdue({ batch }: states.State, nowMs: number): boolean {
  return batch !== undefined && nowMs - batch.takenMs >= OVERDUE_AFTER_MS;
}

/** Returns all changes as a new batch; undefined when there are none or a batch is being written. */
export function takeBatch(
  state: states.State,
  nowMs: number,
): types.RecordBatch | undefined {
  if (state.batch !== undefined) return undefined;
  if (state.dirty.size === 0 && state.dropped.length === 0) return undefined;
  const number = state.nextBatch;
  state.nextBatch += 1;
  const progressTexts = new Map<types.ProgressKey, string>();
  const finals = new Map<ids.JobId, types.FinalState>();
  const finalRows: tables.JobRow[] = [];
  const dropped = state.dropped.splice(0);
  for (const job of state.dirty) {
    if (job.durableFinal !== undefined || job.cancelled) {
      if (job.activeRuns === 0) dropped.push(...dropJob(state, job));
    } else if (job.final !== undefined) {
      finals.set(job.job.id, job.final);
      finalRows.push(job);
    } else {
      const change = progress.takeChange(job, state.bounds.maxRecordBytes);
      for (const [key, text] of change.written) progressTexts.set(key, text);
      dropped.push(...change.dropped);
    }
  }
  state.dirty.clear();
  state.batch = {
    number,
    takenMs: nowMs,
    starts: state.newStarts,
    ends: new Map(
      [...state.vms.values()].map(
        (vm) =>
          [
            vm,
            { number: vm.appliedEnd, incarnationKey: vm.incarnationKey },
          ] as const,
      ),
    ),
    finals: finalRows,
  };
  state.newStarts = [];
  return { number, progress: progressTexts, finals, dropped };
}

/** Removes an ended job without runs from the tables and returns the keys of its progress; its end is already stored. */
function dropJob(
  state: states.State,
  job: tables.JobRow,
): readonly types.ProgressKey[] {
  state.jobs.delete(job.job.id);
  return [...new Set([job.job.id, ...job.progressRecords.keys()])];
}

/** Applies that the open batch is durable, and sends its starts. */
export function confirmBatch(state: states.State): void {
  const { batch } = state;
  if (batch === undefined) return;
  state.batch = undefined;
  if (
    state.unrecordedStartsBatch !== undefined &&
    batch.number >= state.unrecordedStartsBatch
  )
    state.unrecordedStartsBatch = undefined;
  for (const [vm, { number, incarnationKey }] of batch.ends)
    // A new incarnation of the VM restarts the numbering of its ends.
    if (incarnationKey === vm.incarnationKey)
      vm.durableEnd = Math.max(vm.durableEnd, number);
  for (const job of batch.finals) {
    job.durableFinal = job.final;
    if (job.activeRuns === 0) state.dropped.push(...dropJob(state, job));
  }
  sendStarts(state, batch.starts);
}

/** Fails the jobs of records of the open batch that can't be written, and adds their final states to it. */
export function failUnrecorded(
  state: states.State,
  keys: readonly types.ProgressKey[],
  nowMs: number,
): ReadonlyMap<ids.JobId, types.FinalState> {
  const failed = new Map<ids.JobId, types.FinalState>();
  if (state.batch === undefined) return failed;
  const rows: tables.JobRow[] = [];
  for (const key of keys) {
    const job = state.jobs.get(progress.parseKey(key).job);
    if (job === undefined || states.isJobOver(job)) continue;
    ends.finishJob(state, job, 'failed', nowMs);
    states.countEvent(state, 'job.unrecorded');
    failed.set(job.job.id, 'failed');
    rows.push(job);
  }
  state.batch = { ...state.batch, finals: [...state.batch.finals, ...rows] };
  return failed;
}

function sendStarts(
  state: states.State,
  starts: readonly tables.RunRow[],
): void {
  for (const run of starts) run.vm.waitingStarts.push(run);
  for (const vm of new Set(starts.map((run) => run.vm)))
    sendWaitingStarts(state, vm);
}

/** Sends starts that wait for others on their way to the same VM to be answered. */
export function sendWaitingStarts(state: states.State, vm: tables.VmRow): void {
  let inFlight = 0;
  for (const { phase } of vm.runs) if (phase === 'sent') inFlight += 1;
  while (inFlight < MAX_STARTS_IN_FLIGHT) {
    const run = vm.waitingStarts.shift();
    if (run === undefined) return;
    // The run may have been removed meanwhile.
    if (!vm.runs.has(run)) continue;
    run.phase = 'sent';
    run.task.latestRun = run.number;
    inFlight += 1;
    states.countEvent(state, 'start.released');
    state.commands.push({
      command: 'start',
      vm: vm.id,
      task: tables.getTaskKey(run.task),
      run: run.number,
      payload: run.task.step.occurrence.job.job.payload,
      saved: run.task.saved,
      ticket: run.ticket,
    });
  }
}
