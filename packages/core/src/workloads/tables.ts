/** Tables of the workload scheduler: VMs, jobs, occurrences, steps, tasks and runs. */
import type * as ids from '../types/ids.js';
import type * as resources from '../types/resources.js';
import type * as types from './types.js';

/** Where a run stands. */
export type RunPhase =
  /** Decided; its record isn't durable yet. */
  | 'recording'
  /** The order is on its way. */
  | 'sent'
  | 'running'
  /** The order may have been carried out, or may still be. */
  | 'unknown'
  | 'stopping'
  /** A previous owner recorded it; its VM hasn't reported yet. */
  | 'inherited';

/** One start of a task on a VM. */
export interface RunRow {
  readonly task: TaskRow;
  readonly number: number;
  readonly vm: VmRow;
  phase: RunPhase;
  /** Time from which a report without the run means that it isn't there. */
  settledMs: number | undefined;
  /** Whether the stop has been answered. */
  stopSentMs: number | undefined;
  runningSinceMs: number | undefined;
  percent: number;
  /** Time of the last change of `percent`. */
  movedMs: number;
  load: number;
  /** Share of its work that it is allowed, in percent. */
  pace: number;
  paceSentMs: number;
  readonly ticket: string | undefined;
}

/** A task. */
export interface TaskRow {
  readonly step: StepRow;
  readonly index: number;
  state: 'waiting' | 'active' | 'done';
  run: RunRow | undefined;
  /** Runs that ended failed. */
  failedRuns: number[];
  saved: string;
  preemptions: number;
  /** VMs that list a run of it that isn't wanted; it isn't started while there are any. */
  readonly elsewhere: Set<VmRow>;
  /** VMs on which it failed or stood still. */
  avoided: Set<ids.VmId>;
}

/** Advice known about a step. */
export interface AdviceRow {
  /** Time at which an answer is given up, while one is expected. */
  pendingUntilMs: number | undefined;
  /** Tickets by VM and life. */
  readonly good: Map<
    string,
    { readonly ticket: string; readonly untilMs: number }
  >;
  readonly known: Set<string>;
}

/** A step of one occurrence. */
export interface StepRow {
  readonly occurrence: OccurrenceRow;
  readonly index: number;
  readonly spec: types.StepSpec;
  readonly tasks: TaskRow[];
  doneCount: number;
  waitingCount: number;
  readonly advice: AdviceRow;
  /** Run number that all members of the gang share. */
  gangRun: number;
  gangFailures: number[];
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
  policy: types.QueuePolicy;
  /** Monotonic time of acceptance. */
  readonly acceptedMs: number;
  readonly occurrences: OccurrenceRow[];
  /** Occurrences that don't exist yet. */
  occurrencesLeft: number;
  begun: boolean;
  cancelled: boolean;
  /** Decided, perhaps not durable. */
  final: types.FinalState | undefined;
  /** Durable, and so shown. */
  shown: types.FinalState | undefined;
  activeRuns: number;
}

/** A VM. */
export interface VmRow {
  readonly id: ids.VmId;
  entry: types.VmEntry | undefined;
  life: types.VmLife | undefined;
  /** Key of the VM and its life, under which advice about it holds. */
  lifeKey: string;
  /** It answered a hold of this owner and no order or hold is overdue. */
  usable: boolean;
  readonly runs: Set<RunRow>;
  used: { cores: number; memoryMb: number; gpus: number };
  /** Runs that aren't wanted there, some of unknown size. */
  strangers: number;
  /** Tasks that such runs belong to. */
  readonly strangerTasks: Set<TaskRow>;
  /** Highest end applied, by number. */
  appliedEnd: number;
  /** Highest end whose effect is durable. */
  durableEnd: number;
  recentFailures: number;
  /** No new work before this time, because runs failed or stood still there. */
  avoidUntilMs: number;
  /** Measured speed of its runs against their estimates, smoothed; 1 is as estimated. */
  speed: number;
  /** Time of the last measurement of `speed`. */
  speedAtMs: number;
  /** Step that keeps its room while others are stopped for it. */
  reservedFor: StepRow | undefined;
  reservedUntilMs: number;
  /** Time at which the VM is expected to be ready for that step. */
  reservedFromMs: number;
}

/** Tolerance of sums of fractional cores. */
const CORE_TOLERANCE = 1e-6;

/** Need of a task against a VM's room; work that fills counts no cores. */
export function readNeed(spec: types.StepSpec): resources.Resources {
  return spec.fills ? { ...spec.size, cores: 0 } : spec.size;
}

/** Room left on a VM. */
export function readFree(vm: VmRow): resources.Resources {
  const capacity = vm.entry?.capacity;
  if (capacity === undefined) return { cores: 0, memoryMb: 0, gpus: 0 };
  return {
    cores: capacity.cores - vm.used.cores,
    memoryMb: capacity.memoryMb - vm.used.memoryMb,
    gpus: capacity.gpus - vm.used.gpus,
  };
}

/** Tells whether an amount fits into what is free. */
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

/** Adds a multiple of an amount to another. */
export function addAmount(
  to: { cores: number; memoryMb: number; gpus: number },
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
    life: undefined,
    lifeKey: formatLifeKey(id, undefined),
    usable: false,
    runs: new Set(),
    used: { cores: 0, memoryMb: 0, gpus: 0 },
    strangers: 0,
    strangerTasks: new Set(),
    appliedEnd: 0,
    durableEnd: 0,
    recentFailures: 0,
    avoidUntilMs: 0,
    speed: 1,
    speedAtMs: nowMs,
    reservedFor: undefined,
    reservedUntilMs: 0,
    reservedFromMs: 0,
  };
}

/** Formats the key of a VM and its life. */
export function formatLifeKey(
  id: ids.VmId,
  life: types.VmLife | undefined,
): string {
  return `${id}@${life ?? ''}`;
}

/** Creates the rows of an occurrence. */
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
      waitingCount: spec.count,
      advice: {
        pendingUntilMs: undefined,
        good: new Map(),
        known: new Set(),
      },
      gangRun: 0,
      gangFailures: [],
    };
    for (let task = 0; task < spec.count; task += 1)
      step.tasks.push({
        step,
        index: task,
        state: 'waiting',
        run: undefined,
        failedRuns: [],
        saved: '',
        preemptions: 0,
        elsewhere: new Set(),
        avoided: new Set(),
      });
    occurrence.steps.push(step);
  });
  job.occurrences.push(occurrence);
  return occurrence;
}

/** Name of a task row. */
export function readTaskKey(task: TaskRow): types.TaskKey {
  return { ...readStepKey(task.step), index: task.index };
}

/** Name of a step row. */
export function readStepKey(step: StepRow): types.StepKey {
  return {
    job: step.occurrence.job.job.id,
    occurrence: step.occurrence.number,
    step: step.index,
  };
}

/** Tells whether all steps that a step waits for are done. */
export function isStepOpen(step: StepRow): boolean {
  return step.spec.after.every((index) => {
    const earlier = step.occurrence.steps[index];
    return earlier !== undefined && earlier.doneCount === earlier.spec.count;
  });
}
