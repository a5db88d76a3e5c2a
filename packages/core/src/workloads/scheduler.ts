/**
 * The workload scheduler: tables in, commands out. It knows no clock and does no
 * I/O; the runtime applies what VMs, callers and the configuration say and carries
 * out what each tick returns, so a recorded load can be replayed through it.
 */
import type * as ids from '../types/ids.js';
import * as admission from './admission.js';
import * as advice from './advice.js';
import * as batches from './batch.js';
import * as ends from './ends.js';
import * as jobs from './jobs.js';
import * as lanes from './adviceSlots.js';
import * as progress from './progress.js';
import * as reports from './reports.js';
import * as states from './state.js';
import * as ticks from './tick.js';
import type * as tables from './tables.js';
import type * as types from './types.js';
import * as views from './views.js';

/** What a tick returns. */
export interface Decision {
  readonly commands: readonly types.Command[];
  readonly batch: types.RecordBatch | undefined;
}

/** The scheduler of workloads. */
export interface WorkloadScheduler {
  /** Sets the queues of the configuration in force. */
  setPolicies(policies: ReadonlyMap<types.QueueName, types.QueuePolicy>): void;
  /** Adds an accepted job; a known one is left as it is. `ageMs` is the time since its acceptance. */
  acceptJob(
    job: types.Job,
    ageMs: number,
    nowMs: number,
    nowDate: number,
  ): void;
  /** Restores a job that a previous owner may have begun. */
  restoreJob(
    job: types.Job,
    progress: string | undefined,
    ageMs: number,
    nowMs: number,
    nowDate: number,
  ): void;
  /** Why a job can never be run; undefined when it can. */
  checkAdmission(
    steps: readonly types.StepSpec[],
    pool: types.PoolName,
    nowMs: number,
  ): string | undefined;
  cancelJob(job: ids.JobId, nowMs: number): void;
  /** Sets the other nodes that can ask for advice. */
  setHelpers(names: readonly types.HelperName[]): void;
  /** Sets a VM's entry, or that it has none any more. */
  listVm(id: ids.VmId, entry: types.VmEntry | undefined, nowMs: number): void;
  applyReport(id: ids.VmId, report: types.VmReport, nowMs: number): void;
  /** The VM doesn't answer; nothing more is started there until it does. */
  suspendVm(id: ids.VmId): void;
  /** Nothing can run on the VM any more. */
  loseVm(id: ids.VmId, nowMs: number): void;
  applyStart(
    vm: ids.VmId,
    task: types.TaskKey,
    run: number,
    outcome: types.StartOutcome,
    nowMs: number,
  ): void;
  applyStop(
    vm: ids.VmId,
    task: types.TaskKey,
    run: number,
    answered: boolean,
    nowMs: number,
  ): void;
  applyAdvice(
    step: types.StepKey,
    asked: readonly ids.VmId[],
    good: readonly types.Ticket[] | undefined,
    nowMs: number,
  ): void;
  /** Decides. */
  tick(nowMs: number, nowDate: number): Decision;
  /** The last batch is durable. */
  confirmBatch(): readonly types.Command[];
  /** The store is away: starts go out without their record. */
  releaseStarts(): readonly types.Command[];
  /** Whether starts went out whose record isn't durable. */
  hasUnrecorded(): boolean;
  /** Highest end of a VM whose effect is durable. */
  readDurableEnd(vm: ids.VmId): number;
  readJob(job: ids.JobId): types.JobState | undefined;
  /** Time of a job in the tables against its objective. */
  readTiming(job: ids.JobId, nowMs: number): views.JobTiming | undefined;
  /** Jobs per queue of which no task has started; scheduled jobs don't count. */
  countWaiting(): ReadonlyMap<types.QueueName, number>;
  readCounts(): ReadonlyMap<string, number>;
  /** Plain copy of the tables for operators. */
  dump(): unknown;
}

/** How to create a scheduler. */
export interface SchedulerOptions {
  readonly bounds: states.Bounds;
  /** Whether a previous owner may have started tasks without a record. */
  readonly unrecordedStarts: boolean;
  readonly nowMs: number;
}

/** Creates a scheduler. */
export function createWorkloadScheduler(
  options: SchedulerOptions,
): WorkloadScheduler {
  const state: states.State = {
    bounds: options.bounds,
    jobs: new Map(),
    vms: new Map(),
    policies: new Map(),
    createdMs: options.nowMs,
    nextRun: options.bounds.firstRun,
    dirty: new Set(),
    dropped: [],
    batch: undefined,
    nextBatch: 1,
    newStarts: [],
    coveredBy: undefined,
    commands: [],
    unrecordedStarts: options.unrecordedStarts,
    questions: new Map(),
    lanes: lanes.createLanes(),
    counts: new Map(),
    urgentPeaks: new Map(),
  };

  function takeCommands(): readonly types.Command[] {
    const taken = state.commands;
    state.commands = [];
    return taken;
  }

  function findRun(
    vm: ids.VmId,
    key: types.TaskKey,
    number: number,
  ): tables.RunRow | undefined {
    const task = states.findTask(state, key);
    for (const run of state.vms.get(vm)?.runs ?? [])
      if (run.task === task && run.number === number) return run;
    return undefined;
  }

  return {
    setPolicies(policies) {
      state.policies = policies;
      for (const job of state.jobs.values())
        job.policy = policies.get(job.job.queue) ?? job.policy;
    },
    acceptJob(job, ageMs, nowMs, nowDate) {
      if (!state.jobs.has(job.id))
        jobs.addJob(state, job, nowMs - ageMs, nowMs, nowDate);
    },
    restoreJob(job, text, ageMs, nowMs, nowDate) {
      if (state.jobs.has(job.id)) return;
      const row = jobs.addJob(state, job, nowMs - ageMs, nowMs, nowDate);
      if (text === undefined) return;
      progress.restoreProgress(
        state,
        row,
        text,
        (number) => jobs.computeDue(job, number, nowMs, nowDate),
        nowMs,
      );
      ends.decideFinal(state, row, nowMs);
    },
    checkAdmission: (steps, pool, nowMs) =>
      admission.checkAdmission(state, steps, pool, nowMs),
    cancelJob(id, nowMs) {
      const job = state.jobs.get(id);
      if (job === undefined || job.cancelled) return;
      job.cancelled = true;
      state.dirty.add(job);
      states.countEvent(state, 'job.cancelled');
      ends.stopJob(state, job, 'cancelled', nowMs);
    },
    setHelpers(names) {
      state.lanes.setHelpers(names);
    },
    listVm(id, entry, nowMs) {
      const vm = states.ensureVm(state, id, nowMs);
      vm.entry = entry;
    },
    applyReport(id, report, nowMs) {
      reports.applyReport(state, id, report, nowMs);
    },
    suspendVm(id) {
      const vm = state.vms.get(id);
      if (vm !== undefined) vm.usable = false;
    },
    loseVm(id, nowMs) {
      const vm = state.vms.get(id);
      if (vm === undefined) return;
      vm.usable = false;
      reports.loseRuns(state, vm, nowMs);
      if (vm.entry === undefined) state.vms.delete(id);
    },
    applyStart(vm, task, number, outcome, nowMs) {
      const run = findRun(vm, task, number);
      if (run !== undefined) reports.applyStart(state, run, outcome, nowMs);
    },
    applyStop(vm, task, number, answered, nowMs) {
      const run = findRun(vm, task, number);
      if (run !== undefined) reports.applyStop(state, run, answered, nowMs);
    },
    applyAdvice(step, asked, good, nowMs) {
      advice.applyAdvice(state, step, asked, good, nowMs);
    },
    tick(nowMs, nowDate) {
      ticks.runSystems(state, nowMs, nowDate);
      return { commands: takeCommands(), batch: batches.takeBatch(state) };
    },
    confirmBatch() {
      batches.confirmBatch(state);
      return takeCommands();
    },
    releaseStarts() {
      batches.releaseStarts(state);
      return takeCommands();
    },
    hasUnrecorded: () => state.coveredBy !== undefined,
    readDurableEnd: (vm) => state.vms.get(vm)?.durableEnd ?? 0,
    readJob(id) {
      const job = state.jobs.get(id);
      return job === undefined ? undefined : views.describeJob(job);
    },
    readTiming(id, nowMs) {
      const job = state.jobs.get(id);
      return job === undefined ? undefined : views.measureTiming(job, nowMs);
    },
    countWaiting: () => views.countWaiting(state),
    readCounts: () => state.counts,
    dump: () => views.dumpState(state),
  };
}
