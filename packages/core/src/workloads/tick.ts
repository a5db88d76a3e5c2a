/**
 * One round of the systems over the tables: what has run out, stands still or disturbs
 * is dealt with first, then steps are ranked and started as room and advice allow.
 */
import * as advice from './advice.js';
import * as headroom from './headroom.js';
import * as jobs from './jobs.js';
import * as pacing from './pacing.js';
import * as placement from './placement.js';
import * as preemption from './preemption.js';
import * as ranking from './ranking.js';
import * as reports from './reports.js';
import * as reservation from './reservation.js';
import * as stalls from './stalls.js';
import * as states from './state.js';
import * as tables from './tables.js';
import type * as types from './types.js';

/** Steps without room, per pool, for which others are stopped or advice is asked ahead of time. */
const AHEAD_STEPS = 3;
/** VMs of a pool for each further step with advice ahead: more VMs become free within the time of an answer. */
const VMS_PER_AHEAD_STEP = 12;

/** Runs all systems once. */
export function runSystems(
  state: states.State,
  nowMs: number,
  nowDate: number,
): void {
  reports.expireRuns(state, nowMs);
  stalls.stopStalled(state, nowMs);
  pacing.paceRuns(state, nowMs);
  const ranked: ranking.RankedStep[] = [];
  for (const job of state.jobs.values()) {
    if (states.isJobOver(job)) continue;
    jobs.createDue(job, nowMs, nowDate);
    collectSteps(state, job, ranked, nowMs);
  }
  const order = ranking.placeLate(ranked).sort(ranking.compareRanked);
  startSteps(state, order, nowMs);
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
  ranked: readonly ranking.RankedStep[],
  nowMs: number,
): void {
  const ahead = new Map<types.PoolName, number>();
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
    const may = {
      // The VMs that are kept for a gang have room for it soon.
      start:
        headroom.canTake(room, step) &&
        (step.spec.gang || headroom.canFit(room, step)),
      askAhead: short < AHEAD_STEPS + room.vms / VMS_PER_AHEAD_STEP,
    };
    if (may.start || may.askAhead) advice.askForStep(state, step, may, nowMs);
    if (step.waitingCount === before && !advice.isPending(step, nowMs)) {
      ahead.set(pool, short + 1);
      if (short < AHEAD_STEPS) preemption.preemptFor(state, step, nowMs);
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
  if (!headroom.canFit(room, step)) return;
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
  if (needsTicket && step.advice.good.size === 0) return [];
  const candidates: placement.Candidate[] = [];
  for (const vm of state.vms.values()) {
    if (!placement.isEligible(vm, step, nowMs)) continue;
    const ticket = needsTicket ? advice.findTicket(step, vm, nowMs) : undefined;
    if (needsTicket && ticket === undefined) continue;
    if (
      placement.isReserved(vm, step, nowMs) &&
      !reservation.isOverBefore(vm, step, nowMs)
    )
      continue;
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
