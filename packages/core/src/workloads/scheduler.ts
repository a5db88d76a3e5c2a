/**
 * The workload scheduler: tables in, commands out. It knows no clock and does no
 * I/O; the runtime applies what VMs, callers and the configuration say and carries
 * out what each tick returns, so a recorded load can be replayed through it.
 */
import type * as ids from '../types/ids.js';
import * as advice from './advice.js';
import * as batches from './batch.js';
import * as ends from './ends.js';
import * as headroom from './headroom.js';
import * as pacing from './pacing.js';
import * as placement from './placement.js';
import * as preemption from './preemption.js';
import * as progress from './progress.js';
import * as ranking from './ranking.js';
import * as reports from './reports.js';
import * as reservation from './reservation.js';
import * as stalls from './stalls.js';
import * as states from './state.js';
import * as tables from './tables.js';
import type * as types from './types.js';

/** What a tick returns. */
export interface Decision {
  readonly commands: readonly types.Command[];
  readonly batch: types.RecordBatch | undefined;
}

/** Steps without room, per pool, for which advice is asked ahead of time. */
const ADVICE_AHEAD_STEPS = 3;
/** Time before a scheduled occurrence from which it may start, in ms. */
const OCCURRENCE_EARLY_MS = 0;

/** The scheduler of workloads. */
export interface WorkloadScheduler {
  /** Sets the queues of the configuration in force. */
  setPolicies(
    policies: ReadonlyMap<types.QueueName, types.QueuePolicy>,
    version: number,
  ): void;
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
  cancelJob(job: ids.JobId, nowMs: number): void;
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
  /** Highest end of a VM whose effect is durable. */
  readDurableEnd(vm: ids.VmId): number;
  readJob(job: ids.JobId): types.JobState | undefined;
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
  /** Questions for advice that may be under way at the same time. */
  readonly readAdviceSlots: () => number;
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
    configVersion: 0,
    createdMs: options.nowMs,
    nextRun: options.bounds.firstRun,
    dirty: new Set(),
    dropped: [],
    batch: undefined,
    nextBatch: 1,
    newStarts: [],
    commands: [],
    unrecordedStarts: options.unrecordedStarts,
    pendingAdvice: 0,
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
    setPolicies(policies, version) {
      state.policies = policies;
      state.configVersion = version;
      for (const job of state.jobs.values())
        job.policy = policies.get(job.job.queue) ?? job.policy;
    },
    acceptJob(job, ageMs, nowMs, nowDate) {
      if (!state.jobs.has(job.id))
        addJob(state, job, nowMs - ageMs, nowMs, nowDate);
    },
    restoreJob(job, text, ageMs, nowMs, nowDate) {
      if (state.jobs.has(job.id)) return;
      const row = addJob(state, job, nowMs - ageMs, nowMs, nowDate);
      if (text === undefined) return;
      progress.restoreProgress(
        state,
        row,
        text,
        (number) => computeDue(job, number, nowMs, nowDate),
        nowMs,
      );
      ends.decideFinal(state, row, nowMs);
    },
    cancelJob(id, nowMs) {
      const job = state.jobs.get(id);
      if (job === undefined || job.cancelled) return;
      job.cancelled = true;
      state.dirty.add(job);
      states.countEvent(state, 'job.cancelled');
      ends.stopJob(state, job, 'cancelled', nowMs);
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
      if (run !== undefined) reports.applyStop(run, answered, nowMs);
    },
    applyAdvice(step, asked, good, nowMs) {
      advice.applyAdvice(state, step, asked, good, nowMs);
    },
    tick(nowMs, nowDate) {
      runSystems(state, options, nowMs, nowDate);
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
    readDurableEnd: (vm) => state.vms.get(vm)?.durableEnd ?? 0,
    readJob(id) {
      const job = state.jobs.get(id);
      return job === undefined ? undefined : describeJob(job);
    },
    countWaiting: () => countWaiting(state),
    readCounts: () => state.counts,
    dump: () => dumpState(state),
  };
}

function describeJob(job: tables.JobRow): types.JobState {
  if (job.shown !== undefined) return job.shown;
  if (job.cancelled) return 'cancelled';
  return job.begun ? 'running' : 'pending';
}

function addJob(
  state: states.State,
  job: types.Job,
  acceptedMs: number,
  nowMs: number,
  nowDate: number,
): tables.JobRow {
  const row: tables.JobRow = {
    job,
    policy: state.policies.get(job.queue) ?? job.policy,
    acceptedMs,
    occurrences: [],
    occurrencesLeft: job.schedule?.times ?? 0,
    begun: false,
    cancelled: false,
    final: undefined,
    shown: undefined,
    activeRuns: 0,
  };
  state.jobs.set(job.id, row);
  if (job.schedule === undefined) tables.createOccurrence(row, 0, acceptedMs);
  else createDue(row, nowMs, nowDate);
  return row;
}

function computeDue(
  job: types.Job,
  occurrence: number,
  nowMs: number,
  nowDate: number,
): number {
  if (job.schedule === undefined) return nowMs;
  const dueDate = job.schedule.firstAtMs + occurrence * job.schedule.intervalMs;
  return nowMs + dueDate - nowDate;
}

function createDue(job: tables.JobRow, nowMs: number, nowDate: number): void {
  const { schedule } = job.job;
  if (schedule === undefined) return;
  while (job.occurrencesLeft > 0) {
    const number = schedule.times - job.occurrencesLeft;
    const dueMs = computeDue(job.job, number, nowMs, nowDate);
    if (dueMs - OCCURRENCE_EARLY_MS > nowMs) return;
    job.occurrencesLeft -= 1;
    if (!job.occurrences.some((occurrence) => occurrence.number === number))
      tables.createOccurrence(job, number, dueMs);
  }
}

function runSystems(
  state: states.State,
  options: SchedulerOptions,
  nowMs: number,
  nowDate: number,
): void {
  reports.expireRuns(state, nowMs);
  stalls.stopStalled(state, nowMs);
  pacing.paceRuns(state, nowMs);
  const ranked: ranking.RankedStep[] = [];
  for (const job of state.jobs.values()) {
    if (states.isJobOver(job)) continue;
    createDue(job, nowMs, nowDate);
    collectSteps(state, job, ranked, nowMs);
  }
  ranked.sort(ranking.compareRanked);
  startSteps(state, options, ranked, nowMs);
}

function collectSteps(
  state: states.State,
  job: tables.JobRow,
  ranked: ranking.RankedStep[],
  nowMs: number,
): void {
  if (isHeldBack(state, job, nowMs)) return;
  for (const occurrence of job.occurrences) {
    if (occurrence.done) continue;
    for (const step of occurrence.steps)
      if (step.waitingCount > 0 && tables.isStepOpen(step))
        ranked.push(ranking.rankStep(step, nowMs));
  }
}

/** Tasks of older jobs may run unrecorded on VMs that haven't reported yet. */
function isHeldBack(
  state: states.State,
  job: tables.JobRow,
  nowMs: number,
): boolean {
  if (!state.unrecordedStarts || job.acceptedMs > state.createdMs) return false;
  if (nowMs > state.createdMs + state.bounds.inheritMs) {
    state.unrecordedStarts = false;
    return false;
  }
  for (const vm of state.vms.values())
    if (!vm.usable && vm.entry?.pool === job.policy.pool) return true;
  return false;
}

function startSteps(
  state: states.State,
  options: SchedulerOptions,
  ranked: readonly ranking.RankedStep[],
  nowMs: number,
): void {
  const ahead = new Map<types.PoolName, number>();
  const slots = options.readAdviceSlots();
  const rooms = headroom.measureRooms(state, nowMs);
  const reserved = new Set<types.PoolName>();
  for (const { step } of ranked) {
    const { pool } = step.occurrence.job.policy;
    const before = step.waitingCount;
    const room = rooms.get(pool);
    if (room === undefined) continue;
    placeStep(state, step, room, nowMs);
    if (step.waitingCount === 0) continue;
    const short = ahead.get(pool) ?? 0;
    if (state.pendingAdvice < slots)
      advice.askForStep(state, step, short < ADVICE_AHEAD_STEPS, nowMs);
    if (step.waitingCount === before && !advice.isPending(step, nowMs)) {
      ahead.set(pool, short + 1);
      if (short < ADVICE_AHEAD_STEPS) preemption.preemptFor(state, step, nowMs);
      if (
        step.spec.gang &&
        !reserved.has(pool) &&
        reservation.reserveFor(state, step, nowMs)
      )
        reserved.add(pool);
    }
  }
}

function placeStep(
  state: states.State,
  step: tables.StepRow,
  room: headroom.PoolRoom,
  nowMs: number,
): void {
  const candidates = collectCandidates(state, step, nowMs);
  if (candidates.length === 0) return;
  if (step.spec.gang) {
    placeGang(state, step, candidates, room, nowMs);
    return;
  }
  for (const task of step.tasks) {
    if (task.state !== 'waiting' || task.elsewhere.size > 0) continue;
    if (!headroom.canTake(room, step)) return;
    const chosen = placement.chooseCandidate(candidates, step, task, nowMs);
    if (chosen === undefined) return;
    room.freeCores -= tables.readNeed(step.spec).cores;
    placement.takeRoom(chosen, step);
    startTask(state, task, chosen, states.createRunNumber(state), nowMs);
  }
}

function collectCandidates(
  state: states.State,
  step: tables.StepRow,
  nowMs: number,
): placement.Candidate[] {
  const needsTicket = step.occurrence.job.policy.advice !== undefined;
  const candidates: placement.Candidate[] = [];
  for (const vm of state.vms.values()) {
    if (!placement.isEligible(vm, step, nowMs)) continue;
    if (
      placement.isReserved(vm, step, nowMs) &&
      !reservation.isOverBefore(vm, step, nowMs)
    )
      continue;
    const ticket = needsTicket ? advice.findTicket(step, vm, nowMs) : undefined;
    if (needsTicket && ticket === undefined) continue;
    candidates.push({
      vm,
      ticket,
      free: { ...tables.readFree(vm) },
      sameStep: placement.countSameStep(vm, step),
    });
  }
  return candidates;
}

function placeGang(
  state: states.State,
  step: tables.StepRow,
  candidates: readonly placement.Candidate[],
  room: headroom.PoolRoom,
  nowMs: number,
): void {
  // Members of the previous run must be gone before the next one begins.
  if (step.waitingCount !== step.spec.count) return;
  if (step.tasks.some(({ elsewhere }) => elsewhere.size > 0)) return;
  const places = placement.chooseGang(candidates, step, nowMs);
  if (places === undefined) return;
  room.freeCores -= tables.readNeed(step.spec).cores * step.spec.count;
  step.gangRun = states.createRunNumber(state);
  step.tasks.forEach((task, index) => {
    const chosen = places[index];
    if (chosen !== undefined)
      startTask(state, task, chosen, step.gangRun, nowMs);
  });
}

function startTask(
  state: states.State,
  task: tables.TaskRow,
  chosen: placement.Candidate,
  number: number,
  nowMs: number,
): void {
  const run = states.addRun(
    task,
    chosen.vm,
    { number, phase: 'recording', ticket: chosen.ticket },
    nowMs,
  );
  state.newStarts.push(run);
  state.dirty.add(task.step.occurrence.job);
  states.countEvent(state, 'start.decided');
}

function countWaiting(
  state: states.State,
): ReadonlyMap<types.QueueName, number> {
  const counts = new Map<types.QueueName, number>();
  for (const job of state.jobs.values()) {
    if (job.begun || states.isJobOver(job) || job.job.schedule !== undefined)
      continue;
    counts.set(job.job.queue, (counts.get(job.job.queue) ?? 0) + 1);
  }
  return counts;
}

function dumpState(state: states.State): unknown {
  return {
    vms: [...state.vms.values()].map((vm) => ({
      id: vm.id,
      pool: vm.entry?.pool,
      usable: vm.usable,
      draining: vm.entry?.draining,
      used: vm.used,
      capacity: vm.entry?.capacity,
      runs: [...vm.runs].map(
        (run) => `${states.formatRun(run)} ${run.phase} ${run.percent}%`,
      ),
    })),
    jobs: [...state.jobs.values()]
      .filter((job) => job.shown === undefined && !job.cancelled)
      .map((job) => ({
        id: job.job.id,
        queue: job.job.queue,
        state: describeJob(job),
        steps: job.occurrences.flatMap((occurrence) =>
          occurrence.steps.map((step) => ({
            step: `${occurrence.number}.${step.index}`,
            done: step.doneCount,
            waiting: step.waitingCount,
            count: step.spec.count,
            open: tables.isStepOpen(step),
          })),
        ),
      })),
    counts: Object.fromEntries(state.counts),
  };
}
