/** Rows of the workload scheduler's tables: VMs, jobs, occurrences, steps, tasks and runs. */
import type * as ids from '../types/ids.js';
import type * as resources from '../types/resources.js';
import type * as runTimes from './runTimes.js';
import type * as speeds from './speed.js';
import type * as types from './types.js';
import type * as workspaceLimits from './workspaceLimits.js';

/** State of a run. */
export type RunPhase =
  /** Decided, but its record isn't durable yet. */
  | 'recording'
  /** The start command has been sent; no answer yet. */
  | 'sent'
  | 'running'
  /** The start command got no answer; it may have been carried out or may still be. */
  | 'unknown'
  | 'stopping'
  /** Recorded by a previous owner; its VM hasn't reported it yet. */
  | 'inherited';

/** One start of a task on a VM. */
export interface RunRow {
  readonly task: TaskRow;
  readonly number: number;
  readonly vm: VmRow;
  phase: RunPhase;
  /** Time at which it was decided, restored or adopted. */
  readonly addedMs: number;
  /** Time at which the VM confirmed the run or its stop; undefined until then. */
  confirmedMs: number | undefined;
  /**
   * Time from which it can't begin any more and is over or being stopped, unless the VM
   * lists it as running; undefined while that isn't known.
   */
  closedMs: number | undefined;
  /** Time on the VM's clock from which it refuses the start command, to which it gave no answer; undefined otherwise. */
  startUntilMs: number | undefined;
  /** Time at which the stop command was last sent. */
  stopSentMs: number | undefined;
  /** Time at which the stop command was first sent. */
  stoppingSinceMs: number | undefined;
  /** Number of stop commands sent. */
  stopsSent: number;
  runningSinceMs: number | undefined;
  /** Time of the last report that listed it as running; undefined when none has. */
  listedMs: number | undefined;
  /** Last reported progress, 0 to 100. */
  percent: number;
  /** Time of the last change of `percent`. */
  progressChangedMs: number;
  /** Last reported load; see `ReportedRun.load`. */
  load: number;
  /** Share of its full processor time that the run may use, in percent; undefined while it isn't known. */
  pace: number | undefined;
  paceSentMs: number;
  /** Incarnation of the VM on which the run began or may have begun; undefined while it isn't known. */
  incarnation: types.VmIncarnation | undefined;
  /** Whether a previous owner started it. */
  readonly startedEarlier: boolean;
  /** Whether it resumed from saved progress. */
  readonly resumed: boolean;
  /** Whether its VM has shown, to this owner or an earlier one, that the run began. */
  hasBegun: boolean;
  /** Whether its VM has reported it for so long that it can't be the cause of a later crash. */
  settled: boolean;
  readonly ticket: string | undefined;
}

/** How strongly a crash speaks against a task. */
export type CrashEvidence =
  /** No other run there was as suspect. */
  | 'sole'
  /** Others there were as suspect. */
  | 'shared'
  /** Another task there was more suspect, or has been given up. */
  | 'explained'
  /** The run may not have begun: its start wasn't answered, or an earlier owner may not have sent it. */
  | 'unconfirmed'
  /** The run ended in another way before its VM had lived with it for long. */
  | 'inconclusive';

/** The crash of a VM on which a run of a task had only just started, or another early end of a run after several crashes. */
export interface CrashMark {
  readonly run: number;
  readonly vm: ids.VmId;
  readonly incarnation: types.VmIncarnation | undefined;
  readonly evidence: CrashEvidence;
}

/** A task. */
export interface TaskRow {
  readonly step: StepRow;
  readonly index: number;
  state: 'waiting' | 'active' | 'done';
  run: RunRow | undefined;
  /** Number of the last run whose start was sent; undefined before the first one. */
  latestRun: number | undefined;
  /** Numbers of the runs that failed. */
  failedRuns: number[];
  /** Crashes of VMs for which the task may be to blame; those of a gang are in its step. */
  crashes: CrashMark[];
  /** Last saved progress; empty for none. */
  saved: string;
  preemptions: number;
  /** Time at which its last run is known to have stopped running; undefined while none has. */
  idleSinceMs: number | undefined;
  /** VMs with a stray run of the task that may not have ended yet. The task isn't started while there are any. */
  readonly strayRunVms: Set<VmRow>;
  /** VMs on which a run of the task failed, stalled or was refused as malformed. */
  avoidedVms: Set<ids.VmId>;
}

/** Advice received for a step. */
export interface AdviceRow {
  /** Timeout of the advice request in flight; undefined when there is none. */
  pendingUntilMs: number | undefined;
  /** Tickets by the incarnation key of the VM. Only approved VMs have one. */
  readonly tickets: Map<
    string,
    { readonly ticket: string; readonly untilMs: number }
  >;
  /** Incarnation keys of the VMs that an answered request named. */
  readonly askedVms: Set<string>;
}

/** A step of one occurrence. */
export interface StepRow {
  readonly occurrence: OccurrenceRow;
  readonly index: number;
  readonly spec: types.StepSpec;
  readonly tasks: TaskRow[];
  doneCount: number;
  /** Time at which this owner saw the last task done; undefined until then. */
  doneMs: number | undefined;
  waitingCount: number;
  readonly advice: AdviceRow;
  /** What is known of the run times of its tasks; undefined before the first estimate. */
  times: runTimes.StepTimes | undefined;
  /** Run number of all members of the gang; 0 before the first run. */
  gangRun: number;
  /** Numbers of the gang's runs that failed. */
  gangFailures: number[];
  /** Crashes of VMs for which the gang may be to blame. */
  gangCrashes: CrashMark[];
}

/** One occurrence of a job. */
export interface OccurrenceRow {
  readonly job: JobRow;
  readonly number: number;
  /** Monotonic time at which it is due. */
  readonly dueMs: number;
  readonly steps: StepRow[];
  done: boolean;
}

/** A job. */
export interface JobRow {
  readonly job: types.Job;
  /** Account of its workspace; undefined when it has none. */
  readonly workspace: workspaceLimits.WorkspaceAccount | undefined;
  policy: types.QueuePolicy;
  /** Monotonic time of acceptance. */
  readonly acceptedMs: number;
  readonly occurrences: OccurrenceRow[];
  /** Number of occurrences that aren't due yet. */
  occurrencesLeft: number;
  /** Whether a VM has shown that one of its tasks was started. */
  hasBegun: boolean;
  /** Time at which its first run was decided or restored. */
  startDecidedMs: number | undefined;
  /** Whether it came above the rate of its workspace; decided in the first round after this owner learned of it. */
  excess: boolean;
  /** Whether it is excess and isn't promoted in this round, so that jobs within their rate come first. */
  yields: boolean;
  cancelled: boolean;
  /** Final state, possibly not durable yet. */
  final: types.FinalState | undefined;
  /** Final state once it is durable and may be reported to callers. */
  durableFinal: types.FinalState | undefined;
  /** Number of its runs in the tables. */
  activeRuns: number;
  /** Keys of its progress records that are stored or being written, each with the text if it has several. */
  progressRecords: ReadonlyMap<types.ProgressKey, string | undefined>;
  /** VMs on which recorded runs of earlier owners were over before the VM had reported whether they began. */
  readonly unheardVms: Set<VmRow>;
}

/** A run that its VM has listed as running although it must not run. */
export interface StrayRun {
  /** Its task; undefined when it isn't in the tables. */
  readonly task: TaskRow | undefined;
  /** Time from which its VM hasn't listed it any more, so that it is over or being stopped; undefined before. */
  closedMs: number | undefined;
}

/** A VM. */
export interface VmRow {
  readonly id: ids.VmId;
  entry: types.VmEntry | undefined;
  /** Pool of its last entry, also once that entry has been removed; undefined before the first one. */
  pool: types.PoolName | undefined;
  /** Whether its last entry said that it drains, also once that entry has been removed. */
  leaving: boolean;
  /** Incarnation that its entry last named as draining. */
  drainedIncarnation: types.VmIncarnation | undefined;
  incarnation: types.VmIncarnation | undefined;
  /** Key of the VM and its incarnation. Advice about a VM is valid for one incarnation. */
  incarnationKey: string;
  /** Whether it has reported to this owner and no lease renewal or command is overdue. */
  usable: boolean;
  /** Time of its last report to this owner. */
  reportedMs: number | undefined;
  /** Whether a report to this owner has listed all its runs and ends; it gets no new runs before. */
  hasListedAll: boolean;
  /** Time of its last report or confirmed start. */
  answeredMs: number;
  /** Whether it was lost, so that nothing runs there until it reports again. */
  knownEmpty: boolean;
  readonly runs: Set<RunRow>;
  /** Starts that may be sent once fewer are on their way to it, in the order in which they were decided. */
  waitingStarts: RunRow[];
  used: Amount;
  /** Runs that ended with its lease while it was silent, until it reports again or is known to have crashed. */
  silentRuns: RunRow[];
  /** Incarnation whose crash tasks have been marked for. */
  blamedIncarnation: types.VmIncarnation | undefined;
  /** Run that was started there last as a trial. */
  trial: RunRow | undefined;
  /** Time of the last report that was requested because of a trial. */
  trialPolledMs: number;
  /** Whether it runs a suspect, as of this round. */
  hasSuspect: boolean;
  /** Stray runs that may not have ended yet, by task and run. The size of some is unknown. */
  readonly strayRuns: Map<string, StrayRun>;
  /** Time of the last report that was requested to learn whether runs have ended. */
  endsPolledMs: number;
  /** Number of the latest end that was applied. */
  appliedEnd: number;
  /** Number of the latest end whose effect is durable. */
  durableEnd: number;
  /** Failed runs since the last one that succeeded. */
  recentFailures: number;
  /** Time before which the VM gets no new runs, because runs failed, stalled or were refused there. */
  avoidUntilMs: number;
  /** Measured lasting speed, and the incarnation that it is about. */
  lasting: speeds.MeasuredSpeed;
  lastingIncarnation: types.VmIncarnation | undefined;
  /** Moving average of the passing speed of its runs relative to their expected times; 1 is as expected. */
  speed: number;
  /** Time of the last measurement of `speed`. */
  speedAtMs: number;
  /** Step for which the VM's free room is reserved. */
  reservedFor: StepRow | undefined;
  /** Task of that step for whose trial it is reserved, if any. */
  reservedTask: TaskRow | undefined;
  reservedUntilMs: number;
  /** Whether runs of excess jobs were preempted for that step, which steps of more urgent queues may come before. */
  reservedFromExcess: boolean;
  /** Time at which the VM is expected to have room for that step. */
  reservedReadyMs: number;
}

/** Tolerance for rounding errors in sums of fractional cores and memory. */
export const CORE_TOLERANCE = 1e-6;

/** Returns the resources that a task takes from a VM's capacity. Filler tasks take no cores. */
export function getNeed(spec: types.StepSpec): resources.Resources {
  return spec.fills ? { ...spec.size, cores: 0 } : spec.size;
}

/** Returns whether a VM may have runs or ends that this owner doesn't know: it hasn't listed all to this owner yet. */
export function canHaveUnknownRuns(vm: VmRow): boolean {
  return !vm.hasListedAll && !vm.knownEmpty;
}

/** Returns whether a VM may have runs that this owner doesn't know of jobs that use a pool. */
export function canHaveUnknownRunsOf(vm: VmRow, pool: types.PoolName): boolean {
  return canHaveUnknownRuns(vm) && (vm.pool === undefined || vm.pool === pool);
}

/** Returns whether a previous owner started a run of which its VM hasn't reported anything yet. */
export function isInherited(run: RunRow): boolean {
  // Only VMs that have listed all their runs get new ones.
  return run.phase === 'inherited' || !run.vm.hasListedAll;
}

/**
 * Returns whether the entry of a VM is about the incarnation that reports. A VM may be
 * restarted under its id with another kind, rack or capacity, and its report can be known
 * before its entry, or the other way round.
 */
export function hasCurrentEntry(vm: VmRow): boolean {
  const listed = vm.entry?.incarnation;
  return (
    listed === undefined ||
    vm.incarnation === undefined ||
    listed === vm.incarnation
  );
}

/** Returns the free resources of a VM. */
export function getFree(vm: VmRow): resources.Resources {
  const capacity = vm.entry?.capacity;
  if (capacity === undefined) return { cores: 0, memoryMb: 0, gpus: 0 };
  return {
    cores: capacity.cores - vm.used.cores,
    memoryMb: capacity.memoryMb - vm.used.memoryMb,
    gpus: capacity.gpus - vm.used.gpus,
  };
}

/** Returns whether the free resources cover a need. */
export function hasRoom(
  free: resources.Resources,
  need: resources.Resources,
): boolean {
  return (
    need.cores <= free.cores + CORE_TOLERANCE &&
    need.memoryMb <= free.memoryMb + CORE_TOLERANCE &&
    need.gpus <= free.gpus
  );
}

/** A sum of resources that changes. */
export interface Amount {
  cores: number;
  memoryMb: number;
  gpus: number;
}

/** Adds a multiple of an amount of resources to another amount, in place. */
export function addAmount(
  to: Amount,
  amount: resources.Resources,
  times: number,
): void {
  to.cores += amount.cores * times;
  to.memoryMb += amount.memoryMb * times;
  to.gpus += amount.gpus * times;
}

/** Creates an empty VM row. */
export function createVm(id: ids.VmId, nowMs: number): VmRow {
  return {
    id,
    entry: undefined,
    pool: undefined,
    leaving: false,
    drainedIncarnation: undefined,
    incarnation: undefined,
    incarnationKey: formatIncarnationKey(id, undefined),
    usable: false,
    reportedMs: undefined,
    hasListedAll: false,
    answeredMs: nowMs,
    knownEmpty: false,
    runs: new Set(),
    waitingStarts: [],
    silentRuns: [],
    blamedIncarnation: undefined,
    trial: undefined,
    trialPolledMs: 0,
    hasSuspect: false,
    used: { cores: 0, memoryMb: 0, gpus: 0 },
    strayRuns: new Map(),
    endsPolledMs: -Infinity,
    appliedEnd: 0,
    durableEnd: 0,
    recentFailures: 0,
    avoidUntilMs: 0,
    lasting: { precision: 0, sum: 0, atMs: nowMs },
    lastingIncarnation: undefined,
    speed: 1,
    speedAtMs: nowMs,
    reservedFor: undefined,
    reservedTask: undefined,
    reservedUntilMs: 0,
    reservedFromExcess: false,
    reservedReadyMs: 0,
  };
}

/** Formats the key of a VM and its incarnation. */
export function formatIncarnationKey(
  id: ids.VmId,
  incarnation: types.VmIncarnation | undefined,
): string {
  return `${id}@${incarnation ?? ''}`;
}

/** Creates the rows of an occurrence and adds them to the job. */
export function createOccurrence(
  job: JobRow,
  number: number,
  dueMs: number,
): OccurrenceRow {
  const occurrence: OccurrenceRow = {
    job,
    number,
    dueMs,
    steps: [],
    done: false,
  };
  job.job.steps.forEach((spec, index) => {
    const step: StepRow = {
      occurrence,
      index,
      spec,
      tasks: [],
      doneCount: 0,
      doneMs: undefined,
      waitingCount: spec.count,
      advice: {
        pendingUntilMs: undefined,
        tickets: new Map(),
        askedVms: new Set(),
      },
      times: undefined,
      gangRun: 0,
      gangFailures: [],
      gangCrashes: [],
    };
    for (let task = 0; task < spec.count; task += 1)
      step.tasks.push({
        step,
        index: task,
        state: 'waiting',
        run: undefined,
        latestRun: undefined,
        failedRuns: [],
        crashes: [],
        saved: '',
        preemptions: 0,
        idleSinceMs: undefined,
        strayRunVms: new Set(),
        avoidedVms: new Set(),
      });
    occurrence.steps.push(step);
  });
  job.occurrences.push(occurrence);
  return occurrence;
}

/** Counts the tasks of one occurrence of a job. */
export function countTasks(job: types.Job): number {
  return job.steps.reduce((sum, { count }) => sum + count, 0);
}

/** Returns the key of a task. */
export function getTaskKey(task: TaskRow): types.TaskKey {
  return { ...getStepKey(task.step), index: task.index };
}

/** Returns the key of a step. */
export function getStepKey(step: StepRow): types.StepKey {
  return {
    job: step.occurrence.job.job.id,
    occurrence: step.occurrence.number,
    step: step.index,
  };
}

/** Returns whether all steps that a step depends on are done. */
export function isStepOpen(step: StepRow): boolean {
  return step.spec.after.every((index) => {
    const earlier = step.occurrence.steps[index];
    return earlier !== undefined && earlier.doneCount === earlier.spec.count;
  });
}
