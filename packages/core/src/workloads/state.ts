/** State of the workload scheduler and the changes to runs that its systems share. */
import type * as ids from '../types/ids.js';
import type * as lanes from './adviceSlots.js';
import * as names from './names.js';
import * as tables from './tables.js';
import type * as types from './types.js';

/** Bounds of the platform and of this owner. */
export interface Bounds {
  /** Time after which runs that a previous owner recorded on silent VMs are over, in ms. */
  readonly inheritMs: number;
  /** First run number of this owner; later ones rise by one. */
  readonly firstRun: number;
}

/** A batch of records that is being written. */
export interface OpenBatch {
  readonly number: number;
  readonly starts: readonly tables.RunRow[];
  readonly ends: ReadonlyMap<tables.VmRow, number>;
  readonly finals: readonly tables.JobRow[];
}

/** State of the scheduler. */
export interface State {
  readonly bounds: Bounds;
  readonly jobs: Map<ids.JobId, tables.JobRow>;
  readonly vms: Map<ids.VmId, tables.VmRow>;
  policies: ReadonlyMap<types.QueueName, types.QueuePolicy>;
  readonly createdMs: number;
  nextRun: number;
  /** Jobs whose records are behind. */
  readonly dirty: Set<tables.JobRow>;
  /** Final jobs whose progress record may be dropped. */
  readonly dropped: ids.JobId[];
  batch: OpenBatch | undefined;
  nextBatch: number;
  /** Starts decided since the last batch was taken. */
  newStarts: tables.RunRow[];
  /** Number of the batch that records the last start that went out without its record. */
  coveredBy: number | undefined;
  commands: types.Command[];
  /** Whether a previous owner may have started tasks without a record. */
  unrecordedStarts: boolean;
  /** Questions for advice that are under way, by step. */
  readonly questions: Map<string, lanes.Choice>;
  /** Nodes that ask for advice. */
  readonly lanes: lanes.Lanes;
  readonly counts: Map<string, number>;
  /** Recent peak of cores that urgent work used, by pool. */
  readonly urgentPeaks: Map<
    types.PoolName,
    { readonly cores: number; readonly atMs: number }
  >;
}

/** Counts an event for the metrics. */
export function countEvent(state: State, name: string, by = 1): void {
  state.counts.set(name, (state.counts.get(name) ?? 0) + by);
}

/** Finds a task row. */
export function findTask(
  state: State,
  key: types.TaskKey,
): tables.TaskRow | undefined {
  return state.jobs
    .get(key.job)
    ?.occurrences.find((occurrence) => occurrence.number === key.occurrence)
    ?.steps[key.step]?.tasks[key.index];
}

/** Returns the row of a VM, a new one if there is none. */
export function ensureVm(
  state: State,
  id: ids.VmId,
  nowMs: number,
): tables.VmRow {
  const known = state.vms.get(id);
  if (known !== undefined) return known;
  const vm = tables.createVm(id, nowMs);
  state.vms.set(id, vm);
  return vm;
}

/** Adds a run to its task and its VM. */
export function addRun(
  task: tables.TaskRow,
  vm: tables.VmRow,
  run: {
    readonly number: number;
    readonly phase: tables.RunPhase;
    readonly ticket?: string | undefined;
  },
  nowMs: number,
): tables.RunRow {
  const row: tables.RunRow = {
    task,
    vm,
    number: run.number,
    phase: run.phase,
    settledMs: undefined,
    stopSentMs: undefined,
    runningSinceMs: undefined,
    percent: 0,
    movedMs: nowMs,
    load: 0,
    pace: 100,
    paceSentMs: 0,
    ticket: run.ticket,
  };
  task.step.waitingCount -= 1;
  task.state = 'active';
  task.run = row;
  task.step.occurrence.job.activeRuns += 1;
  task.step.occurrence.job.begun = true;
  vm.runs.add(row);
  tables.addAmount(vm.used, tables.readNeed(task.step.spec), 1);
  return row;
}

/** Removes a run that is known to be over or never to begin; its task waits again. */
export function removeRun(state: State, run: tables.RunRow): void {
  if (!run.vm.runs.delete(run)) return;
  const { task } = run;
  tables.addAmount(run.vm.used, tables.readNeed(task.step.spec), -1);
  task.step.occurrence.job.activeRuns -= 1;
  state.dirty.add(task.step.occurrence.job);
  if (task.run !== run) return;
  task.run = undefined;
  if (task.state === 'done') return;
  task.state = 'waiting';
  task.step.waitingCount += 1;
}

/** Asks for the stop of a run. A run that wasn't ordered yet is simply dropped. */
export function stopRun(
  state: State,
  run: tables.RunRow,
  why: string,
  nowMs: number,
): void {
  switch (run.phase) {
    case 'recording':
      removeRun(state, run);
      return;
    case 'stopping':
      return;
    case 'sent':
    case 'running':
    case 'unknown':
    case 'inherited':
      run.phase = 'stopping';
      run.settledMs = undefined;
      sendStop(state, run, why, nowMs);
      return;
  }
}

/** Issues the stop order of a run, also again when it wasn't answered. */
export function sendStop(
  state: State,
  run: tables.RunRow,
  why: string,
  nowMs: number,
): void {
  run.stopSentMs = nowMs;
  countEvent(state, `stop.${why}`);
  state.commands.push({
    command: 'stop',
    vm: run.vm.id,
    task: tables.readTaskKey(run.task),
    run: run.number,
    why,
  });
}

/** Returns the next run number; numbers rise over owners because the first is made of the fence. */
export function createRunNumber(state: State): number {
  const number = state.nextRun;
  state.nextRun += 1;
  return number;
}

/** Tells whether nothing of a job may be started. */
export function isJobOver(job: tables.JobRow): boolean {
  return job.cancelled || job.final !== undefined;
}

/** Formats a run for logs. */
export function formatRun(run: tables.RunRow): string {
  return `${names.formatTask(tables.readTaskKey(run.task))}#${run.number}`;
}
