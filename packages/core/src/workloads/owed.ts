/**
 * Finds owed tasks: tasks whose turn has come and that have not been running for longer
 * than they may, each with the cause in the tables. It also checks the tables themselves,
 * because a task that their counts leave out is never looked at by a scheduling round. It
 * changes nothing, and it walks all tasks, so callers run it about once a second.
 */
import type * as ids from '../types/ids.js';
import * as advice from './advice.js';
import * as jobs from './jobs.js';
import * as names from './names.js';
import * as placement from './placement.js';
import * as ranking from './ranking.js';
import * as shares from './shares.js';
import * as states from './state.js';
import * as tables from './tables.js';
import type * as types from './types.js';
import * as trials from './trials.js';
import * as waits from './waits.js';
import * as workspaceLimits from './workspaceLimits.js';

/** Time for which a task may be due without running before it counts as owed, in ms. Other tasks than those of services and gangs must also be past their objective. */
export const OWED_AFTER_MS = 3_000;
/** Maximum number of waiting steps for which the VMs are examined in one call. */
const MAX_EXAMINED_STEPS = 50;
/** Largest rounding error of the used cores or memory of a VM; each start and end adds to it. */
const USED_TOLERANCE = 1e-3;

/** VMs of a step's pool, as the step sees them. */
export interface PoolView {
  readonly poolVms: number;
  readonly silent: number;
  readonly draining: number;
  /** VMs that get no new runs for now: a stray run is there, or runs failed, stalled or were refused. */
  readonly avoided: number;
  readonly eligible: number;
  readonly withRoom: number;
  readonly approved: number;
  readonly approvedWithRoom: number;
  /** VMs with room that are reserved for another step. */
  readonly reserved: number;
}

/** What the tables contradict. */
export type Inconsistency =
  /** The count of waiting tasks differs from their states. */
  | 'waiting-count'
  /** The count of done tasks differs from their states. */
  | 'done-count'
  /** The task is active and has no run. */
  | 'run-missing'
  /** The task is waiting and has a run. */
  | 'run-of-waiting-task'
  /** The run isn't in the set of its VM's runs. */
  | 'run-not-at-vm'
  /** The run's VM isn't in the table of VMs. */
  | 'vm-missing'
  /** Nothing asks the VM of the run for reports. */
  | 'vm-without-session'
  /** The used resources of the VM differ from the sum of its runs. */
  | 'vm-used'
  /** The occurrence is marked as done and has open tasks. */
  | 'occurrence-done'
  /** The occurrence is due and has no row. */
  | 'occurrence-missing';

/** A run as the tables show it. */
export interface RunView {
  readonly run: number;
  readonly vm: ids.VmId;
  readonly phase: tables.RunPhase;
}

/** Why a step whose tasks may start at once has no place for them. */
export type WaitingReason =
  /** No VM of the pool may run the step now. */
  | 'no-vm'
  /** No VM has room. */
  | 'no-room'
  /** VMs have room, but not for all members of the gang. */
  | 'no-room-for-gang'
  /** Only VMs that are reserved for other steps have room. */
  | 'room-reserved'
  /** VMs with room are known that weren't named in a request yet, and a node could send one. */
  | 'advice-not-requested'
  /** An advice request is in flight. */
  | 'advice-pending'
  /** All nodes are busy with other advice requests. */
  | 'no-advice-slot'
  /** Approved VMs have no room, and all others have been named in a request. */
  | 'no-approved-room'
  /** Approved VMs have room, but their tickets have expired. */
  | 'ticket-expired'
  /** Suspected of crashing VMs, its tasks start alone on VMs without other new runs, a few at a time. */
  | 'trial'
  /** VMs have room and tickets, so the next round starts the task, unless cores are kept free for urgent steps. */
  | 'not-placed';

/** Why an owed task isn't running. */
export type OwedCause =
  /** Its run is on a VM that doesn't answer. */
  | {
      readonly why: 'vm-silent';
      readonly run: RunView;
      /** Time of the VM's last report; undefined when it has never reported to this owner. */
      readonly silentSinceMs: number | undefined;
    }
  /** A previous owner recorded its run, and the VM hasn't reported yet. */
  | {
      readonly why: 'inherited';
      readonly run: RunView;
      readonly untilMs: number;
    }
  /** The record of its start isn't durable yet. */
  | { readonly why: 'start-recording'; readonly run: RunView }
  /** Its start command has no outcome yet. */
  | { readonly why: 'start-sent'; readonly run: RunView }
  /** Its run is being stopped. */
  | {
      readonly why: 'stopping';
      readonly run: RunView;
      readonly stoppingSinceMs: number;
      readonly stopsSent: number;
      /** Whether the VM has confirmed the stop; the run is over when a later report shows it. */
      readonly confirmed: boolean;
    }
  /** VMs report a run of the task that must end first. */
  | { readonly why: 'stray-run'; readonly vms: readonly ids.VmId[] }
  /** Runs of the gang's previous attempt must end first. */
  | { readonly why: 'gang-ending'; readonly runs: readonly RunView[] }
  /** After a change of owner, VMs that may run the task without a record haven't reported. */
  | {
      readonly why: 'reports-awaited';
      readonly vms: readonly ids.VmId[];
      readonly untilMs: number;
    }
  | {
      readonly why: WaitingReason;
      readonly pool: PoolView;
      /** Steps for which VMs with room are reserved. */
      readonly reservedFor: readonly types.StepKey[];
      /** Timeout of the advice request in flight. */
      readonly adviceUntilMs: number | undefined;
      /** What its workspace adds to its order; absent without one. */
      readonly workspace?: shares.WorkspaceView;
    }
  /** The limit of its workspace covers no further task, or not the whole gang, or is reserved for a gang. */
  | {
      readonly why: 'workspace-limit';
      readonly use: workspaceLimits.WorkspaceUse;
    }
  /** Too many other steps wait, so the VMs weren't examined for this one. */
  | { readonly why: 'not-examined' }
  | {
      readonly why: 'inconsistent';
      readonly what: Inconsistency;
      /** VM that decides it, if any. */
      readonly vm: ids.VmId | undefined;
    };

/** Name of a cause. */
export type OwedReason = OwedCause['why'];

/** An owed task. */
export interface OwedTask {
  readonly task: types.TaskKey;
  readonly queue: types.QueueName;
  readonly lasts: boolean;
  readonly gang: boolean;
  /** Monotonic time since which it has not been running although it should. */
  readonly sinceMs: number;
  readonly cause: OwedCause;
}

/** Facts that the check needs besides the tables. */
export interface OwedQuery {
  readonly nowMs: number;
  readonly nowUnixMs: number;
  /** Returns whether reports are requested from a VM. */
  readonly hasSession: (vm: ids.VmId) => boolean;
}

/** A step whose waiting tasks are examined together. */
interface WaitingStep {
  readonly step: tables.StepRow;
  readonly tasks: { readonly row: tables.TaskRow; readonly sinceMs: number }[];
}

/** Returns all owed tasks: those of services first, then those of gangs, the longest-waiting first. */
export function findOwed(state: states.State, query: OwedQuery): OwedTask[] {
  const found: OwedTask[] = [];
  const waiting: WaitingStep[] = [];
  for (const job of state.jobs.values()) {
    if (states.isJobOver(job)) continue;
    checkOccurrences(job, query, found);
    const reportsCause = explainAwaitedReports(state, job, query.nowMs);
    for (const occurrence of job.occurrences) {
      if (occurrence.dueMs > query.nowMs) continue;
      for (const step of occurrence.steps)
        checkStep(state, step, reportsCause, query, { found, waiting });
    }
  }
  explainWaiting(state, waiting, query.nowMs, found);
  return found.sort(compareOwed);
}

function compareOwed(a: OwedTask, b: OwedTask): number {
  return (
    Number(b.lasts) - Number(a.lasts) ||
    Number(b.gang) - Number(a.gang) ||
    a.sinceMs - b.sinceMs
  );
}

function buildOwed(
  step: tables.StepRow,
  index: number,
  sinceMs: number,
  cause: OwedCause,
): OwedTask {
  return {
    task: { ...tables.getStepKey(step), index },
    queue: step.occurrence.job.job.queue,
    lasts: step.spec.lasts,
    gang: step.spec.gang,
    sinceMs,
    cause,
  };
}

function checkOccurrences(
  job: tables.JobRow,
  { nowMs, nowUnixMs }: OwedQuery,
  found: OwedTask[],
): void {
  const { schedule, id, queue } = job.job;
  const [spec] = job.job.steps;
  const times = schedule?.times ?? 1;
  if (job.occurrences.length >= times || spec === undefined) return;
  const known = new Set(job.occurrences.map(({ number }) => number));
  for (let number = 0; number < times; number += 1) {
    const dueMs =
      schedule === undefined
        ? job.acceptedMs
        : jobs.computeDueMs(job.job, number, nowMs, nowUnixMs);
    if (dueMs + OWED_AFTER_MS > nowMs) return;
    if (known.has(number)) continue;
    found.push({
      task: { job: id, occurrence: number, step: 0, index: 0 },
      queue,
      lasts: spec.lasts,
      gang: spec.gang,
      sinceMs: dueMs,
      cause: {
        why: 'inconsistent',
        what: 'occurrence-missing',
        vm: undefined,
      },
    });
  }
}

function checkStep(
  state: states.State,
  step: tables.StepRow,
  reportsCause: OwedCause | undefined,
  query: OwedQuery,
  results: { readonly found: OwedTask[]; readonly waiting: WaitingStep[] },
): void {
  const { found, waiting } = results;
  const { nowMs } = query;
  const turnMs = Math.max(state.createdMs, waits.computeTurnMs(step));
  checkCounts(step, turnMs, found);
  const isOwed =
    !step.occurrence.done &&
    tables.isStepOpen(step) &&
    isBoundOver(state, step, turnMs, nowMs);
  const waitingTasks: WaitingStep['tasks'] = [];
  for (const row of step.tasks) {
    if (row.state === 'done') continue;
    const what = checkTask(state, row, query);
    if (what !== undefined)
      found.push(
        buildOwed(step, row.index, turnMs, {
          why: 'inconsistent',
          what,
          vm: row.run?.vm.id,
        }),
      );
    if (what !== undefined || !isOwed) continue;
    const sinceMs = computeSinceMs(row, turnMs, nowMs);
    if (sinceMs === undefined || sinceMs + OWED_AFTER_MS > nowMs) continue;
    const cause =
      explainRun(state, row, nowMs) ??
      explainStray(row) ??
      explainGang(step) ??
      reportsCause;
    if (cause !== undefined)
      found.push(buildOwed(step, row.index, sinceMs, cause));
    else if (row.state === 'waiting') waitingTasks.push({ row, sinceMs });
  }
  if (waitingTasks.length > 0) waiting.push({ step, tasks: waitingTasks });
}

function isBoundOver(
  state: states.State,
  step: tables.StepRow,
  turnMs: number,
  nowMs: number,
): boolean {
  if (turnMs + OWED_AFTER_MS > nowMs) return false;
  return (
    step.spec.lasts ||
    step.spec.gang ||
    nowMs > ranking.computeObjectiveMs(state.runTimes, step.occurrence, nowMs)
  );
}

/** Returns the time since which a task has not been running; undefined when it is running. */
function computeSinceMs(
  task: tables.TaskRow,
  turnMs: number,
  nowMs: number,
): number | undefined {
  const { run } = task;
  if (run?.phase === 'running' && isReporting(run.vm, nowMs)) return undefined;
  return Math.max(turnMs, findIdleSince(task, nowMs) ?? turnMs);
}

function findIdleSince(
  { run, idleSinceMs }: tables.TaskRow,
  nowMs: number,
): number | undefined {
  if (run?.runningSinceMs === undefined) return idleSinceMs;
  return isReporting(run.vm, nowMs)
    ? states.computeIdleSince(run, nowMs)
    : run.vm.reportedMs;
}

/** Returns whether a VM has reported lately. One that only counts as usable may have stopped being asked. */
function isReporting(vm: tables.VmRow, nowMs: number): boolean {
  return (
    vm.usable &&
    vm.reportedMs !== undefined &&
    nowMs - vm.reportedMs < OWED_AFTER_MS
  );
}

function checkCounts(
  step: tables.StepRow,
  turnMs: number,
  found: OwedTask[],
): void {
  let waitingTasks = 0;
  let doneTasks = 0;
  let firstOpen: tables.TaskRow | undefined;
  for (const task of step.tasks) {
    if (task.state === 'waiting') waitingTasks += 1;
    if (task.state === 'done') doneTasks += 1;
    else firstOpen ??= task;
  }
  const add = (what: Inconsistency): void => {
    found.push(
      buildOwed(step, firstOpen?.index ?? 0, turnMs, {
        why: 'inconsistent',
        what,
        vm: undefined,
      }),
    );
  };
  if (waitingTasks !== step.waitingCount) add('waiting-count');
  if (doneTasks !== step.doneCount) add('done-count');
  if (step.occurrence.done && firstOpen !== undefined) add('occurrence-done');
}

/** Returns what a task's row contradicts; undefined when it is sound. */
function checkTask(
  state: states.State,
  task: tables.TaskRow,
  { hasSession }: OwedQuery,
): Inconsistency | undefined {
  const { run } = task;
  if (run === undefined)
    return task.state === 'active' ? 'run-missing' : undefined;
  if (task.state === 'waiting') return 'run-of-waiting-task';
  if (!run.vm.runs.has(run)) return 'run-not-at-vm';
  if (state.vms.get(run.vm.id) !== run.vm) return 'vm-missing';
  // The VM of an inherited run may have been removed from the list before this owner read it.
  if (run.phase !== 'inherited' && !hasSession(run.vm.id))
    return 'vm-without-session';
  return undefined;
}

function buildRunView({ number, vm, phase }: tables.RunRow): RunView {
  return { run: number, vm: vm.id, phase };
}

function explainRun(
  state: states.State,
  { run: row }: tables.TaskRow,
  nowMs: number,
): OwedCause | undefined {
  if (row === undefined) return undefined;
  const run = buildRunView(row);
  switch (row.phase) {
    case 'inherited':
      return {
        why: 'inherited',
        run,
        untilMs: state.inheritedUntilMs,
      };
    case 'recording':
    case 'sent':
    case 'running':
    case 'unknown':
    case 'stopping':
      if (!row.vm.usable)
        return { why: 'vm-silent', run, silentSinceMs: row.vm.reportedMs };
      break;
  }
  switch (row.phase) {
    case 'recording':
      return { why: 'start-recording', run };
    case 'sent':
    case 'unknown':
      return { why: 'start-sent', run };
    case 'stopping':
      return {
        why: 'stopping',
        run,
        stoppingSinceMs: row.stoppingSinceMs ?? 0,
        stopsSent: row.stopsSent,
        confirmed: row.confirmedMs !== undefined,
      };
    case 'running':
      return isReporting(row.vm, nowMs)
        ? undefined
        : { why: 'vm-silent', run, silentSinceMs: row.vm.reportedMs };
  }
}

function explainStray(task: tables.TaskRow): OwedCause | undefined {
  if (task.strayRunVms.size === 0) return undefined;
  return { why: 'stray-run', vms: [...task.strayRunVms].map(({ id }) => id) };
}

function explainGang(step: tables.StepRow): OwedCause | undefined {
  if (!step.spec.gang) return undefined;
  const runs = step.tasks.flatMap(({ run }) =>
    run === undefined ? [] : [buildRunView(run)],
  );
  if (runs.length > 0) return { why: 'gang-ending', runs };
  for (const task of step.tasks) {
    const cause = explainStray(task);
    if (cause !== undefined) return cause;
  }
  return undefined;
}

/** Explains a wait for reports after a change of owner. */
function explainAwaitedReports(
  state: states.State,
  job: tables.JobRow,
  nowMs: number,
): OwedCause | undefined {
  const unrecorded = states.findUnrecordedStarts(state, nowMs);
  if (!states.canHaveUnrecordedStart(job, unrecorded)) return undefined;
  return {
    why: 'reports-awaited',
    vms: unrecorded.vms
      .filter((vm) => tables.canHaveUnknownRunsOf(vm, job.policy.pool))
      .map(({ id }) => id),
    untilMs: state.inheritedUntilMs,
  };
}

function explainWaiting(
  state: states.State,
  waiting: readonly WaitingStep[],
  nowMs: number,
  found: OwedTask[],
): void {
  const order = [...waiting].sort(
    (a, b) =>
      Number(b.step.spec.lasts) - Number(a.step.spec.lasts) ||
      Number(b.step.spec.gang) - Number(a.step.spec.gang) ||
      (a.tasks[0]?.sinceMs ?? 0) - (b.tasks[0]?.sinceMs ?? 0),
  );
  const wrongVms =
    waiting.length === 0
      ? []
      : [...state.vms.values()].filter((vm) => !isUsedRight(vm));
  let examined = 0;
  for (const { step, tasks } of order) {
    const { pool } = step.occurrence.job.policy;
    const wrongVm = wrongVms.find(({ entry }) => entry?.pool === pool);
    const use = workspaceLimits.findBlockingUse(step);
    let cause: OwedCause = { why: 'not-examined' };
    if (wrongVm !== undefined)
      cause = { why: 'inconsistent', what: 'vm-used', vm: wrongVm.id };
    else if (use !== undefined) cause = { why: 'workspace-limit', use };
    else if (examined < MAX_EXAMINED_STEPS) {
      examined += 1;
      cause = explainStep(state, step, nowMs);
    }
    for (const { row, sinceMs } of tasks)
      found.push(buildOwed(step, row.index, sinceMs, cause));
  }
}

function explainStep(
  state: states.State,
  step: tables.StepRow,
  nowMs: number,
): OwedCause {
  const { pool } = step.occurrence.job.policy;
  const vms = [...state.vms.values()].filter(
    ({ entry }) => entry?.pool === pool,
  );
  const eligible = vms.filter((vm) => placement.isEligible(vm, step, nowMs));
  const withRoom = eligible.filter((vm) =>
    placement.canPlaceTask(createCandidate(vm, step), step),
  );
  const reserved = withRoom.filter((vm) =>
    placement.isReservedForOther(vm, step, nowMs),
  );
  const free = withRoom.filter((vm) => !reserved.includes(vm));
  const approvedFree = free.filter((vm) => advice.isApproved(step, vm));
  return {
    why: chooseReason(
      state,
      step,
      { eligible, withRoom, free, approvedFree },
      nowMs,
    ),
    pool: {
      poolVms: vms.length,
      silent: vms.filter(({ usable }) => !usable).length,
      draining: vms.filter(({ entry }) => entry?.draining === true).length,
      avoided: vms.filter(
        ({ strayRuns, avoidUntilMs }) =>
          strayRuns.size > 0 || avoidUntilMs > nowMs,
      ).length,
      eligible: eligible.length,
      withRoom: withRoom.length,
      reserved: reserved.length,
      approved: eligible.filter((vm) => advice.isApproved(step, vm)).length,
      approvedWithRoom: approvedFree.length,
    },
    reservedFor: listReservedFor(reserved, nowMs),
    adviceUntilMs: step.advice.pendingUntilMs,
    ...shares.buildView(state, step.occurrence.job),
  };
}

function chooseReason(
  state: states.State,
  step: tables.StepRow,
  vms: {
    readonly eligible: readonly tables.VmRow[];
    readonly withRoom: readonly tables.VmRow[];
    /** VMs with room that aren't reserved for another step. */
    readonly free: readonly tables.VmRow[];
    readonly approvedFree: readonly tables.VmRow[];
  },
  nowMs: number,
): WaitingReason {
  const placesNeeded = step.spec.gang ? step.spec.count : 1;
  const hasPlaces = (rows: readonly tables.VmRow[]): boolean =>
    countPlaces(rows, step) >= placesNeeded;
  if (vms.eligible.length === 0) return 'no-vm';
  if (vms.withRoom.length === 0) return 'no-room';
  if (!hasPlaces(vms.withRoom)) return 'no-room-for-gang';
  if (!hasPlaces(vms.free)) return 'room-reserved';
  if (trials.hasOnlyTrials(step)) return 'trial';
  const policy = step.occurrence.job.policy.advice;
  if (policy === undefined) return 'not-placed';
  const ticketed = vms.approvedFree.filter(
    (vm) => advice.findTicket(step, vm, nowMs) !== undefined,
  );
  if (hasPlaces(ticketed)) return 'not-placed';
  if (advice.isRequestPending(step, nowMs)) return 'advice-pending';
  if (
    !state.adviceSlots.hasFreeSlot(
      ranking.estimateAdviceMs(policy, 1),
      nowMs,
      advice.chooseSlotUse(step, nowMs),
    )
  )
    return 'no-advice-slot';
  if (hasPlaces(vms.approvedFree)) return 'ticket-expired';
  return vms.free.every((vm) => step.advice.askedVms.has(vm.incarnationKey))
    ? 'no-approved-room'
    : 'advice-not-requested';
}

function createCandidate(
  vm: tables.VmRow,
  step: tables.StepRow,
): placement.Candidate {
  return {
    vm,
    free: { ...tables.getFree(vm) },
    ticket: undefined,
    sameStep: placement.countSameStep(vm, step),
  };
}

/** Counts the tasks of a step for which VMs have room, up to the size of the step. */
function countPlaces(
  vms: readonly tables.VmRow[],
  step: tables.StepRow,
): number {
  let places = 0;
  for (const vm of vms) {
    const candidate = createCandidate(vm, step);
    while (
      places < step.spec.count &&
      placement.canPlaceTask(candidate, step)
    ) {
      placement.takeRoom(candidate, step);
      places += 1;
    }
  }
  return places;
}

function listReservedFor(
  vms: readonly tables.VmRow[],
  nowMs: number,
): readonly types.StepKey[] {
  const steps = new Map<string, types.StepKey>();
  for (const vm of vms) {
    const step = placement.getReservedStep(vm, nowMs);
    if (step === undefined) continue;
    const key = tables.getStepKey(step);
    steps.set(names.formatStep(key), key);
  }
  return [...steps.values()];
}

/** Returns whether the used resources of a VM are the sum of its runs, apart from rounding errors. */
function isUsedRight(vm: tables.VmRow): boolean {
  const left = { ...vm.used };
  for (const run of vm.runs)
    tables.addAmount(left, tables.getNeed(run.task.step.spec), -1);
  return (
    Math.abs(left.cores) < USED_TOLERANCE &&
    Math.abs(left.memoryMb) < USED_TOLERANCE &&
    left.gpus === 0
  );
}
