/**
 * The workload scheduler: decides on which VMs tasks run. It has no clock and does no
 * I/O. The runtime passes in the time, jobs, VM reports and configuration, and carries
 * out the commands that each tick returns, so a recorded load can be replayed.
 */
import type * as ids from '../types/ids.js';
import * as admission from './admission.js';
import * as advice from './advice.js';
import * as batches from './batch.js';
import * as begins from './begins.js';
import * as ends from './ends.js';
import * as jobs from './jobs.js';
import * as owed from './owed.js';
import * as progress from './progress.js';
import * as removals from './removals.js';
import * as reports from './reports.js';
import * as resizing from './resizing.js';
import * as shares from './shares.js';
import * as states from './state.js';
import * as ticks from './tick.js';
import type * as tables from './tables.js';
import type * as types from './types.js';
import * as views from './views.js';
import * as workspaceLimits from './workspaceLimits.js';

/** Result of a tick. */
export interface Decision {
  readonly commands: readonly types.Command[];
  readonly batch: types.RecordBatch | undefined;
  /** Runs that have left the tables since the last tick, other than service tasks only if their end wasn't reported. */
  readonly endedRuns: readonly states.EndedRun[];
  /** Ends since the last tick of runs that aren't in the tables and whose task has run again. */
  readonly lateEnds: readonly removals.LateEnd[];
  /** Runs on VMs that are known since the last tick to have crashed. */
  readonly crashedRuns: readonly states.CrashedRun[];
  /** Tasks that were given up since the last tick. */
  readonly givenUpTasks: readonly states.GivenUpTask[];
}

/** The scheduler of workloads. */
export interface WorkloadScheduler {
  /** Sets the queue policies of the current configuration. */
  setPolicies(policies: ReadonlyMap<types.QueueName, types.QueuePolicy>): void;
  /** Sets the workspaces of the current configuration; none when it names none. Jobs of workspaces don't start before the first call. */
  setWorkspaces(
    workspaces: ReadonlyMap<types.WorkspaceName, types.WorkspacePolicy>,
  ): void;
  /** Adds an accepted job unless it is already known. `ageMs` is the time since its acceptance. */
  acceptJob(
    job: types.Job,
    ageMs: number,
    nowMs: number,
    nowUnixMs: number,
  ): void;
  /** Adds a job that a previous owner may have started, with its stored progress. */
  restoreJob(
    job: types.Job,
    progress: types.ProgressRecords | undefined,
    ageMs: number,
    nowMs: number,
    nowUnixMs: number,
  ): void;
  /** Returns why the limit of the workspace or the listed VMs can never cover a job; undefined when they can. */
  checkAdmission(
    steps: readonly types.StepSpec[],
    pool: types.PoolName,
    nowMs: number,
    workspace?: types.WorkspaceName,
  ): string | undefined;
  cancelJob(job: ids.JobId, nowMs: number): void;
  /** Sets the other nodes that can send advice requests. */
  setHelpers(names: readonly types.HelperName[]): void;
  /** Sets the entry of a VM in the VM list; undefined when it was removed from the list. */
  setVmEntry(
    id: ids.VmId,
    entry: types.VmEntry | undefined,
    nowMs: number,
  ): void;
  /** Applies a report; returns whether it changes what can start: runs have ended or are new, or the VM didn't report before. */
  applyReport(id: ids.VmId, report: types.VmReport, nowMs: number): boolean;
  /** Handles an unresponsive VM: it gets no new runs until it reports again. */
  suspendVm(id: ids.VmId): void;
  /** Sets the VMs that don't answer, each with the time at which its runs have ended at the latest. */
  setSilentVms(ends: ReadonlyMap<ids.VmId, number>): void;
  /**
   * Handles a lost VM: nothing can run there any more, so its runs are removed. Without
   * evidence of a crash, only its lease has expired.
   */
  loseVm(id: ids.VmId, nowMs: number, evidence?: states.CrashEvidence): void;
  /** Lists the VMs with runs of a previous owner that haven't reported to this one. */
  listInheritedVms(): readonly ids.VmId[];
  /** Sets the time at which the last lease of earlier owners ends, so that their runs on VMs without a report are over. */
  setInheritedUntil(untilMs: number): void;
  applyStart(
    vm: ids.VmId,
    task: types.TaskKey,
    run: number,
    outcome: types.StartOutcome,
    nowMs: number,
    /** Time on the VM's clock from which it refuses the command; used for the outcome `unknown` only. */
    untilMs?: number,
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
    askedVms: readonly ids.VmId[],
    tickets: readonly types.Ticket[] | undefined,
    nowMs: number,
  ): void;
  /** Decides which runs to start, stop and pace; returns the commands and the records to write. */
  tick(nowMs: number, nowUnixMs: number): Decision;
  /** Applies that the last batch is durable; returns the commands that waited for it. */
  confirmBatch(): readonly types.Command[];
  /**
   * Fails the jobs whose records in the open batch the store will never take; returns their
   * final states, which must be durable before the batch is confirmed.
   */
  failUnrecorded(
    keys: readonly types.ProgressKey[],
    nowMs: number,
  ): ReadonlyMap<ids.JobId, types.FinalState>;
  /**
   * Sends starts that waited for others on their way to a VM, as far as they needn't wait any
   * more; returns their commands after all that were decided since the last tick.
   */
  sendWaitingStarts(vm: ids.VmId): readonly types.Command[];
  /** Returns whether starts may have been sent, by this owner or one before it, whose record isn't durable yet. */
  hasUnrecordedStarts(nowMs: number): boolean;
  /** Returns the number of the latest end of a VM whose effect is durable. */
  getDurableEnd(vm: ids.VmId): number;
  /** Returns the state of a job: `unresolved` while this owner can't know whether it has begun, undefined for an unknown job. */
  getJobState(
    job: ids.JobId,
    nowMs: number,
  ): types.JobState | 'unresolved' | undefined;
  hasJob(job: ids.JobId): boolean;
  /** Returns the time that a job has taken and the time that its objective allows. */
  getTiming(job: ids.JobId, nowMs: number): views.JobTiming | undefined;
  /** Counts the jobs per queue of which no VM has shown that a task was started; scheduled jobs don't count. */
  countWaiting(
    nowMs: number,
  ): ReadonlyMap<types.QueueName, begins.UnstartedJobs>;
  /** Measures, by queue, the jobs whose decided start no VM has confirmed. */
  measureStarts(nowMs: number): readonly begins.StartSummary[];
  getCounts(): ReadonlyMap<string, number>;
  /** Returns the use and the limit of each workspace that a job or a configuration has named. */
  listWorkspaceUse(): readonly workspaceLimits.WorkspaceUse[];
  /** Returns the tasks that should run and don't, with the cause of each, and counts them by cause. */
  findOwed(query: owed.OwedQuery): readonly owed.OwedTask[];
  /** Lists the workspaces of the configuration with their jobs, and their shares as of the last round. */
  listWorkspaces(): readonly shares.WorkspaceSummary[];
  /** Returns a plain copy of the tables for operators. */
  dump(nowMs: number): unknown;
}

/** Creates a scheduler. A caller that passes in its state can examine the tables. */
export function createWorkloadScheduler(
  options: states.SchedulerOptions,
  state: states.State = states.createState(options),
): WorkloadScheduler {
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
    setWorkspaces(workspaces) {
      state.workspaces = workspaces;
      state.isConfigured = true;
      workspaceLimits.setLimits(state.workspaceAccounts, workspaces);
    },
    acceptJob(job, ageMs, nowMs, nowUnixMs) {
      if (!state.jobs.has(job.id))
        jobs.addJob(state, job, nowMs - ageMs, nowMs, nowUnixMs);
    },
    restoreJob(job, recordsByKey, ageMs, nowMs, nowUnixMs) {
      if (state.jobs.has(job.id)) return;
      // The age depends on the clock of the node that accepted the job.
      const acceptedMs = Math.min(nowMs - ageMs, state.createdMs);
      const row = jobs.addJob(state, job, acceptedMs, nowMs, nowUnixMs);
      if (recordsByKey === undefined) return;
      const restored = progress.restoreProgress(
        state,
        row,
        recordsByKey,
        (number) => jobs.computeDueMs(job, number, nowMs, nowUnixMs),
        nowMs,
      );
      if (!restored) states.countEvent(state, 'progress.unreadable');
      ends.decideFinal(state, row, nowMs);
    },
    checkAdmission: (steps, pool, nowMs, workspace) =>
      admission.checkAdmission(state, steps, pool, nowMs, workspace),
    cancelJob(id, nowMs) {
      const job = state.jobs.get(id);
      if (job === undefined || job.cancelled) return;
      job.cancelled = true;
      state.dirty.add(job);
      states.countEvent(state, 'job.cancelled');
      ends.stopJob(state, job, 'cancelled', nowMs);
    },
    setHelpers(names) {
      state.adviceSlots.setHelpers(names);
    },
    setVmEntry(id, entry, nowMs) {
      const vm = states.ensureVm(state, id, nowMs);
      vm.entry = entry;
      if (entry === undefined) return;
      vm.leaving = entry.draining;
      if (entry.draining)
        vm.drainedIncarnation = entry.incarnation ?? vm.incarnation;
      vm.pool = entry.pool;
      resizing.cancelUnfitStarts(state, vm, nowMs);
    },
    applyReport: (id, report, nowMs) =>
      reports.applyReport(state, id, report, nowMs),
    suspendVm(id) {
      const vm = state.vms.get(id);
      if (vm !== undefined) vm.usable = false;
    },
    setSilentVms(ends) {
      state.silentVms = ends;
    },
    loseVm(id, nowMs, evidence) {
      const vm = state.vms.get(id);
      if (vm === undefined) return;
      vm.usable = false;
      vm.knownEmpty = true;
      reports.loseRuns(state, vm, evidence, nowMs);
      if (vm.entry === undefined) state.vms.delete(id);
    },
    setInheritedUntil(untilMs) {
      state.inheritedUntilMs = untilMs;
    },
    applyStart(vm, task, number, outcome, nowMs, untilMs) {
      if (outcome === 'started') begins.recordBegin(state, task.job);
      const run = findRun(vm, task, number);
      if (run === undefined) return;
      if (outcome === 'unknown') run.startUntilMs = untilMs;
      reports.applyStart(state, run, outcome, nowMs);
    },
    applyStop(vm, task, number, answered, nowMs) {
      const run = findRun(vm, task, number);
      if (run !== undefined) reports.applyStop(state, run, answered, nowMs);
    },
    applyAdvice(step, askedVms, tickets, nowMs) {
      advice.applyAdvice(state, step, askedVms, tickets, nowMs);
    },
    tick(nowMs, nowUnixMs) {
      ticks.runRound(state, nowMs, nowUnixMs);
      removals.expireRemovedRuns(state.removedRuns, nowMs);
      const { endedRuns, lateEnds, crashedRuns, givenUpTasks } = state;
      state.endedRuns = [];
      state.lateEnds = [];
      state.crashedRuns = [];
      state.givenUpTasks = [];
      return {
        commands: takeCommands(),
        batch: batches.takeBatch(state, nowMs),
        endedRuns,
        lateEnds,
        crashedRuns,
        givenUpTasks,
      };
    },
    confirmBatch() {
      batches.confirmBatch(state);
      return takeCommands();
    },
    failUnrecorded: (keys, nowMs) => batches.failUnrecorded(state, keys, nowMs),
    sendWaitingStarts(id) {
      const vm = state.vms.get(id);
      if (vm !== undefined) batches.sendWaitingStarts(state, vm);
      return takeCommands();
    },
    listInheritedVms: () => reports.listInheritedVms(state),
    hasUnrecordedStarts: (nowMs) =>
      state.unrecordedStartsBatch !== undefined ||
      reports.isAwaitingUnrecorded(state, nowMs),
    getDurableEnd: (vm) => state.vms.get(vm)?.durableEnd ?? 0,
    getJobState(id, nowMs) {
      const job = state.jobs.get(id);
      return job === undefined
        ? undefined
        : views.describeJob(job, begins.findUnknownBegins(state, nowMs), nowMs);
    },
    hasJob: (id) => state.jobs.has(id),
    getTiming(id, nowMs) {
      const job = state.jobs.get(id);
      return job === undefined
        ? undefined
        : views.measureTiming(state, job, nowMs);
    },
    countWaiting: (nowMs) => begins.countUnstarted(state, nowMs),
    measureStarts: (nowMs) => begins.measureStarts(state, nowMs),
    getCounts() {
      views.countRunTimes(state);
      return state.counts;
    },
    listWorkspaceUse: () => workspaceLimits.listUse(state.workspaceAccounts),
    listWorkspaces: () => shares.listWorkspaces(state),
    findOwed(query) {
      const found = owed.findOwed(state, query);
      for (const { cause } of found)
        states.countEvent(state, `owed.${cause.why}`);
      return found;
    },
    dump: (nowMs) => views.dumpState(state, nowMs),
  };
}
