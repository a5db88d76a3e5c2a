/** State of the workload scheduler, and the changes to runs that several of its modules make. */
import type * as ids from '../types/ids.js';
import * as adviceSlots from './adviceSlots.js';
import * as blame from './blame.js';
import * as names from './names.js';
import type * as openVms from './openVms.js';
import type * as ranking from './ranking.js';
import * as removals from './removals.js';
import * as runTimes from './runTimes.js';
import type * as shares from './shares.js';
import * as speeds from './speed.js';
import * as tables from './tables.js';
import type * as types from './types.js';
import * as workspaceLimits from './workspaceLimits.js';

/** Timeout and run numbers that depend on the platform and on this owner's fence. */
export interface Bounds {
  /** Time after which runs that a previous owner recorded on VMs without a report count as ended, in ms. */
  readonly inheritedRunTimeoutMs: number;
  /** Longest time that a VM takes to stop a run, in ms. A run that is being stopped may not be listed. */
  readonly longestStopMs: number;
  /** First run number of this owner; each further run gets the next number. */
  readonly firstRun: number;
  /** Largest key and text of one progress record, in bytes. */
  readonly maxRecordBytes: number;
}

/** A batch of records that is being written. */
export interface OpenBatch {
  readonly number: number;
  readonly takenMs: number;
  readonly starts: readonly tables.RunRow[];
  /** Number of the latest end that was applied, by VM, and the incarnation that listed it. */
  readonly ends: ReadonlyMap<
    tables.VmRow,
    { readonly number: number; readonly incarnationKey: string }
  >;
  readonly finals: readonly tables.JobRow[];
}

/** A run that has left the tables: each one of a service task, others only if their end wasn't reported. */
export interface EndedRun {
  readonly task: types.TaskKey;
  readonly run: number;
  readonly vm: ids.VmId;
  readonly how: RunRemoval;
  /** Whether the task is one of a service. */
  readonly lasts: boolean;
  /** What shows that it is over; undefined when its end was reported or its start wasn't sent. */
  readonly removal: removals.Removal | undefined;
}

/** What shows that a VM has crashed. */
export type CrashEvidence =
  /** Its lease has expired, and connections to it are refused. */
  | 'terminated'
  /** Another VM answers at its address. */
  | 'replaced'
  /** It reports a new incarnation. */
  | 'restarted';

/** A run that may have been running when its VM crashed. */
export interface CrashedRun {
  readonly task: types.TaskKey;
  readonly run: number;
  readonly vm: ids.VmId;
  readonly evidence: CrashEvidence;
  /** Time for which the VM is known to have lived with the run, in ms. */
  readonly aliveMs: number;
  /** Whether that is too long for the run to be the cause. */
  readonly settled: boolean;
}

/** A task that isn't started any more because it crashes VMs. */
export interface GivenUpTask {
  readonly task: types.TaskKey;
  readonly crashes: number;
  readonly vms: readonly ids.VmId[];
}

/** How a run left the tables: its reported end, the outcome of its start, or a decision of the scheduler. */
export type RunRemoval =
  | types.RunEnd
  | types.StartOutcome
  /** Its VM can't run anything any more. */
  | 'lost'
  /** A report of its VM doesn't list it. */
  | 'not-reported'
  /** Its VM hasn't reported within the timeout for inherited runs. */
  | 'inherited-timeout'
  /** Stopped before its start command was sent. */
  | 'withdrawn'
  /** Its VM reports a later run of the task. */
  | 'superseded';

/** An advice request in flight. */
export interface AdviceRequest {
  readonly slot: adviceSlots.AdviceSlot;
  /** Incarnation keys of the VMs that it names. */
  readonly incarnationKeys: ReadonlyMap<ids.VmId, string>;
}

/** State of the scheduler. */
export interface State {
  readonly bounds: Bounds;
  readonly jobs: Map<ids.JobId, tables.JobRow>;
  readonly vms: Map<ids.VmId, tables.VmRow>;
  /** VMs that may get new runs, as of this round. */
  openVms: openVms.OpenVms;
  policies: ReadonlyMap<types.QueueName, types.QueuePolicy>;
  /** Workspaces of the current configuration; empty when it names none. */
  workspaces: ReadonlyMap<types.WorkspaceName, types.WorkspacePolicy>;
  /** Whether a configuration is known. */
  isConfigured: boolean;
  /** Accounts of the workspaces that a job or a configuration has named. */
  readonly workspaceAccounts: Map<
    types.WorkspaceName,
    workspaceLimits.WorkspaceAccount
  >;
  /** Jobs learned since the last round, which decides whether they are excess. */
  learnedJobs: tables.JobRow[];
  /** Token buckets of the workspaces. */
  readonly buckets: Map<types.WorkspaceName, shares.Bucket>;
  /** Occurrence of an excess job that was promoted last, by pool. */
  readonly promotedExcess: Map<types.PoolName, ranking.PromotedExcess>;
  /** Shares of the workspaces by pool, as of the last round. */
  shares: ReadonlyMap<types.PoolName, shares.PoolShares>;
  /** Monotonic time at which this owner created its scheduler. */
  readonly createdMs: number;
  nextRun: number;
  /** Jobs that have changed since their last record. */
  readonly dirty: Set<tables.JobRow>;
  /** Progress records of ended jobs, which can be deleted. */
  readonly dropped: types.ProgressKey[];
  /** Batch that is being written, if any. */
  batch: OpenBatch | undefined;
  nextBatch: number;
  /** Runs decided since the last batch was taken. */
  newStarts: tables.RunRow[];
  /** Batch whose confirmation makes all starts durable that were sent without a record, and the ends of their runs. */
  unrecordedStartsBatch: number | undefined;
  commands: types.Command[];
  /** Runs that have left the tables since the last tick, other than service tasks only if their end wasn't reported. */
  endedRuns: EndedRun[];
  /** Ends since the last tick of runs whose task has run again. */
  lateEnds: removals.LateEnd[];
  /** Runs removed lately without a report of their end, by task and run, in the order of their removal. */
  readonly removedRuns: Map<string, removals.RemovedRun>;
  /** Runs on crashed VMs since the last tick. */
  crashedRuns: CrashedRun[];
  /** Tasks given up since the last tick. */
  givenUpTasks: GivenUpTask[];
  /** Whether a previous owner may have started tasks without a record. */
  readonly inheritedUnrecordedStarts: boolean;
  /** Time until which VMs with runs may be missing from the VM list. */
  readonly unlistedUntilMs: number;
  /** Time from which runs that a previous owner recorded on VMs without a report count as ended. */
  inheritedUntilMs: number;
  /** VMs that don't answer, each with the time at which its runs have ended at the latest. */
  silentVms: ReadonlyMap<ids.VmId, number>;
  /** Advice requests in flight, by step. */
  readonly adviceRequests: Map<string, AdviceRequest>;
  /** Advice slots of the nodes that send advice requests. */
  readonly adviceSlots: adviceSlots.AdviceSlots;
  /** VMs about which steps of a queue asked for the first time, and those of them that were approved, decaying. */
  readonly approvedShares: Map<
    types.QueueName,
    { readonly asked: number; readonly approved: number }
  >;
  readonly counts: Map<string, number>;
  /** Learned run times of the queues. */
  readonly runTimes: runTimes.RunTimes;
  /** Learned speeds of the kinds of VMs. */
  readonly speeds: speeds.Speeds;
  /** Decaying peak of the cores used by urgent steps, by pool. */
  readonly urgentPeaks: Map<
    types.PoolName,
    { readonly cores: number; readonly atMs: number }
  >;
}

/** Options of a scheduler. */
export interface SchedulerOptions {
  readonly bounds: Bounds;
  /** Whether a previous owner may have started tasks without a record. */
  readonly unrecordedStarts: boolean;
  /** Monotonic time until which VMs with runs may be missing from the VM list; absent when none can be. */
  readonly unlistedUntilMs?: number;
  /** Source of the expected run times of tasks; `declared` when absent. */
  readonly runTimes?: runTimes.RunTimeSource;
  readonly nowMs: number;
}

/** Creates the state of a scheduler without jobs and VMs. */
export function createState(options: SchedulerOptions): State {
  return {
    bounds: options.bounds,
    jobs: new Map(),
    vms: new Map(),
    openVms: { byPool: new Map(), byIncarnationKey: new Map() },
    policies: new Map(),
    workspaces: new Map(),
    isConfigured: false,
    workspaceAccounts: new Map(),
    learnedJobs: [],
    buckets: new Map(),
    promotedExcess: new Map(),
    shares: new Map(),
    createdMs: options.nowMs,
    nextRun: options.bounds.firstRun,
    dirty: new Set(),
    dropped: [],
    batch: undefined,
    nextBatch: 1,
    newStarts: [],
    unrecordedStartsBatch: undefined,
    commands: [],
    endedRuns: [],
    lateEnds: [],
    removedRuns: new Map(),
    crashedRuns: [],
    givenUpTasks: [],
    inheritedUnrecordedStarts: options.unrecordedStarts,
    unlistedUntilMs: options.unlistedUntilMs ?? -Infinity,
    inheritedUntilMs: options.nowMs + options.bounds.inheritedRunTimeoutMs,
    silentVms: new Map(),
    adviceRequests: new Map(),
    adviceSlots: adviceSlots.createAdviceSlots(),
    approvedShares: new Map(),
    counts: new Map(),
    runTimes: runTimes.createRunTimes(options.runTimes ?? 'declared'),
    speeds: speeds.createSpeeds(),
    urgentPeaks: new Map(),
  };
}

/** Adds to the counter of an event in the metrics. */
export function countEvent(state: State, name: string, by = 1): void {
  state.counts.set(name, (state.counts.get(name) ?? 0) + by);
}

/** Returns the row of a task, or undefined when its job, occurrence, step or index is unknown. */
export function findTask(
  state: State,
  key: types.TaskKey,
): tables.TaskRow | undefined {
  return state.jobs
    .get(key.job)
    ?.occurrences.find((occurrence) => occurrence.number === key.occurrence)
    ?.steps[key.step]?.tasks[key.index];
}

/** Returns the row of a VM; adds one if there is none. */
export function ensureVm(
  state: State,
  id: ids.VmId,
  nowMs: number,
): tables.VmRow {
  const existing = state.vms.get(id);
  if (existing !== undefined) return existing;
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
    /** Incarnation of the VM that a previous owner recorded; by default the one that reported last. */
    readonly incarnation?: types.VmIncarnation | undefined;
    /** Whether a previous owner recorded that the run has begun. */
    readonly hasBegun?: boolean;
  },
  nowMs: number,
): tables.RunRow {
  const row: tables.RunRow = {
    task,
    vm,
    number: run.number,
    phase: run.phase,
    addedMs: nowMs,
    confirmedMs: undefined,
    closedMs: undefined,
    startUntilMs: undefined,
    stopSentMs: undefined,
    stoppingSinceMs: undefined,
    stopsSent: 0,
    runningSinceMs: undefined,
    listedMs: undefined,
    percent: 0,
    progressChangedMs: nowMs,
    load: 0,
    // A run of a previous owner may have been slowed by that owner.
    pace: run.phase === 'recording' ? 100 : undefined,
    paceSentMs: 0,
    incarnation: run.incarnation ?? vm.incarnation,
    startedEarlier: run.phase !== 'recording',
    resumed: task.saved !== '',
    hasBegun: run.hasBegun ?? false,
    settled: false,
    ticket: run.ticket,
  };
  task.step.waitingCount -= 1;
  task.state = 'active';
  task.run = row;
  if (run.phase !== 'recording') task.latestRun = run.number;
  task.step.occurrence.job.activeRuns += 1;
  task.step.occurrence.job.startDecidedMs ??= nowMs;
  vm.runs.add(row);
  if (blame.isOnTrial(task)) vm.trial = row;
  if (blame.isSuspect(row)) vm.hasSuspect = true;
  tables.addAmount(vm.used, tables.getNeed(task.step.spec), 1);
  workspaceLimits.addRun(row);
  return row;
}

/**
 * Removes a run that has ended or will never begin. Its task waits again unless it is done.
 * Without a report of the end, `grounds` says what shows that the run is over.
 */
export function removeRun(
  state: State,
  run: tables.RunRow,
  how: RunRemoval,
  nowMs: number,
  grounds?: removals.RemovalGrounds,
): void {
  if (!run.vm.runs.delete(run)) return;
  const { task } = run;
  if (run.runningSinceMs !== undefined)
    task.idleSinceMs = computeIdleSince(run, nowMs);
  const removal = grounds && removals.buildRemoval(run, how, grounds, nowMs);
  if (removal !== undefined) {
    state.removedRuns.set(formatRun(run), { task, removal });
    countEvent(state, `removed.${removal.evidence}`);
  }
  const { lasts } = task.step.spec;
  if (lasts || removal !== undefined)
    state.endedRuns.push({
      task: tables.getTaskKey(task),
      run: run.number,
      vm: run.vm.id,
      how,
      lasts,
      removal,
    });
  tables.addAmount(run.vm.used, tables.getNeed(task.step.spec), -1);
  workspaceLimits.removeRun(run);
  task.step.occurrence.job.activeRuns -= 1;
  state.dirty.add(task.step.occurrence.job);
  if (task.run !== run) return;
  task.run = undefined;
  if (task.state === 'done') return;
  if (canHaveBegun(run, how)) blame.markEarlyEnd(state, run);
  task.state = 'waiting';
  task.step.waitingCount += 1;
}

/** Returns whether a run that has left the tables may have begun. */
function canHaveBegun(run: tables.RunRow, how: RunRemoval): boolean {
  if (run.phase === 'recording') return false;
  switch (how) {
    case 'old':
    case 'late':
    case 'no-room':
    case 'ticket':
    case 'malformed':
    case 'unhealthy':
    case 'unreachable':
    case 'other-life':
    case 'fenced':
    case 'withdrawn':
    case 'done':
      return false;
    case 'failed':
    case 'stopped':
    case 'lapsed':
    case 'broken':
    case 'alone':
    case 'started':
    case 'unknown':
    case 'lost':
    case 'not-reported':
    case 'inherited-timeout':
    case 'superseded':
      return true;
  }
}

/** Computes the time at which a run that isn't running now is last known to have run. */
export function computeIdleSince(run: tables.RunRow, nowMs: number): number {
  const { vm } = run;
  const reportedMs = vm.reportedMs ?? run.runningSinceMs ?? nowMs;
  return Math.min(vm.usable ? nowMs : reportedMs, run.stoppingSinceMs ?? nowMs);
}

/** Stops a run. A run whose start command hasn't been sent is removed at once. */
export function stopRun(
  state: State,
  run: tables.RunRow,
  why: string,
  nowMs: number,
): void {
  switch (run.phase) {
    case 'recording':
      removeRun(state, run, 'withdrawn', nowMs);
      return;
    case 'stopping':
      return;
    case 'sent':
    case 'running':
    case 'unknown':
    case 'inherited':
      run.phase = 'stopping';
      run.confirmedMs = undefined;
      sendStop(state, run, why, nowMs);
      return;
  }
}

/** Sends the stop command of a run, for the first time or as a retry. */
export function sendStop(
  state: State,
  run: tables.RunRow,
  why: string,
  nowMs: number,
): void {
  run.stopSentMs = nowMs;
  run.stoppingSinceMs ??= nowMs;
  run.stopsSent += 1;
  countEvent(state, `stop.${why}`);
  state.commands.push({
    command: 'stop',
    vm: run.vm.id,
    task: tables.getTaskKey(run.task),
    run: run.number,
    why,
  });
}

/** Returns the next run number. Numbers also rise from owner to owner, because the first one is derived from the fence. */
export function createRunNumber(state: State): number {
  const number = state.nextRun;
  state.nextRun += 1;
  return number;
}

/** What an owner must allow for while an earlier one may have started tasks without a record. */
export interface UnrecordedStarts {
  /** Monotonic time until which accepted jobs may have been started. */
  readonly acceptedUntilMs: number;
  /** VMs that haven't reported yet; none once no such start can be running. */
  readonly vms: readonly tables.VmRow[];
  /** Whether there may be others that aren't listed. */
  readonly awaitsEntries: boolean;
}

/** Finds the VMs on which an earlier owner may have started tasks without a record. */
export function findUnrecordedStarts(
  state: State,
  nowMs: number,
): UnrecordedStarts {
  return {
    acceptedUntilMs: state.createdMs,
    awaitsEntries:
      state.inheritedUnrecordedStarts && nowMs <= state.unlistedUntilMs,
    vms: state.inheritedUnrecordedStarts
      ? [...state.vms.values()].filter(
          (vm) =>
            tables.canHaveUnknownRuns(vm) &&
            // A VM that answers has had its lease renewed, and may have ends that it hasn't listed.
            (nowMs <= state.inheritedUntilMs || vm.reportedMs !== undefined),
        )
      : [],
  };
}

/** Returns whether an earlier owner may have started a job without a record, on a VM of its pool that hasn't reported yet. */
export function canHaveUnrecordedStart(
  job: tables.JobRow,
  unrecorded: UnrecordedStarts,
): boolean {
  return (
    job.acceptedMs <= unrecorded.acceptedUntilMs &&
    (unrecorded.awaitsEntries ||
      unrecorded.vms.some((vm) =>
        tables.canHaveUnknownRunsOf(vm, job.policy.pool),
      ))
  );
}

/** Returns whether a job is cancelled or has ended, so that none of its tasks may start. */
export function isJobOver(job: tables.JobRow): boolean {
  return job.cancelled || job.final !== undefined;
}

/** Returns whether a run that was over or being stopped at `closedMs` is over at `atMs`, as the longest stop has passed. */
export function isStopOver(
  state: State,
  closedMs: number | undefined,
  atMs: number,
): boolean {
  return (
    closedMs !== undefined && atMs >= closedMs + state.bounds.longestStopMs
  );
}

/** Formats a run for logs. */
export function formatRun(run: tables.RunRow): string {
  return names.formatRun(tables.getTaskKey(run.task), run.number);
}
