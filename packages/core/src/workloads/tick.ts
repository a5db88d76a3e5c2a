/**
 * One scheduling round. It first handles expired and stalled runs and those on draining
 * VMs and paces filler tasks, then ranks the waiting steps and starts their tasks as far as room and advice allow.
 */
import * as advice from './advice.js';
import * as batches from './batch.js';
import * as blame from './blame.js';
import * as crashes from './crashes.js';
import * as draining from './draining.js';
import * as headroom from './headroom.js';
import * as jobs from './jobs.js';
import * as limitPreemption from './limitPreemption.js';
import * as openVms from './openVms.js';
import * as pacing from './pacing.js';
import * as placement from './placement.js';
import * as preemption from './preemption.js';
import * as ranking from './ranking.js';
import * as reports from './reports.js';
import * as reservation from './reservation.js';
import * as shares from './shares.js';
import * as speeds from './speed.js';
import * as stalls from './stalls.js';
import * as states from './state.js';
import * as tables from './tables.js';
import type * as types from './types.js';
import * as trials from './trials.js';
import * as waits from './waits.js';
import * as workspaceLimits from './workspaceLimits.js';

/** Number of blocked steps per pool for which runs are preempted or advice is requested ahead of time. */
const LOOKAHEAD_STEPS = 3;
/** A pool requests advice ahead for one more step per this many VMs: in a larger pool, more VMs become free before an answer arrives. */
const VMS_PER_LOOKAHEAD_STEP = 12;

/** Runs one scheduling round. */
export function runRound(
  state: states.State,
  nowMs: number,
  nowUnixMs: number,
): void {
  reports.expireRuns(state, nowMs);
  reports.pollUnlisted(state, nowMs);
  stalls.stopStalled(state, nowMs);
  if (!batches.isOverdue(state, nowMs)) draining.moveFromDraining(state, nowMs);
  pacing.paceRuns(state, nowMs);
  const unrecorded = states.findUnrecordedStarts(state, nowMs);
  trials.pollTrials(state, nowMs);
  state.openVms = openVms.collectOpenVms(state, nowMs);
  blame.updateSuspectVms(state);
  workspaceLimits.clearRound(state.workspaceAccounts);
  const waitingJobs: tables.JobRow[] = [];
  shares.decideExcess(state, nowMs);
  for (const job of state.jobs.values()) {
    job.yields = job.excess;
    if (states.isJobOver(job)) continue;
    jobs.createDueOccurrences(job, nowMs, nowUnixMs);
    // After a change of owner, its tasks may already run without a record.
    if (states.canHaveUnrecordedStart(job, unrecorded))
      workspaceLimits.addUnrecorded(job);
    else waitingJobs.push(job);
  }
  const ranked: ranking.RankedStep[] = [];
  const blocked: tables.StepRow[] = [];
  for (const job of waitingJobs)
    collectSteps(state, job, { ranked, blocked }, nowMs);
  const rooms = headroom.measureRooms(state, nowMs);
  if (!batches.isOverdue(state, nowMs))
    limitPreemption.preemptForLimits(state, blocked, rooms, nowMs);
  startSteps(state, rankSteps(state, ranked, rooms, nowMs), rooms, nowMs);
  for (const vm of state.vms.values())
    if (vm.waitingStarts.length > 0) batches.sendWaitingStarts(state, vm);
}

function collectSteps(
  state: states.State,
  job: tables.JobRow,
  {
    ranked,
    blocked,
  }: {
    readonly ranked: ranking.RankedStep[];
    /** Steps that the limit of their workspace leaves out. */
    readonly blocked: tables.StepRow[];
  },
  nowMs: number,
): void {
  for (const occurrence of job.occurrences) {
    if (occurrence.done) continue;
    for (const step of occurrence.steps)
      if (step.waitingCount > 0 && tables.isStepOpen(step)) {
        if (workspaceLimits.canRank(step))
          ranked.push(ranking.rankStep(state.runTimes, step, nowMs));
        else {
          workspaceLimits.markBlocked(step);
          blocked.push(step);
        }
      }
  }
}

/** Puts the waiting steps into the order in which they get room and advice. */
function rankSteps(
  state: states.State,
  ranked: readonly ranking.RankedStep[],
  rooms: ReadonlyMap<types.PoolName, headroom.PoolRoom>,
  nowMs: number,
): readonly ranking.RankedStep[] {
  state.shares = shares.measureShares(
    state,
    ranked.map(({ step }) => step),
    rooms.keys(),
  );
  const order = ranking
    .rankOverdue(state, ranking.rankByShares(state, ranked, nowMs), nowMs)
    .sort(ranking.compareRanked);
  for (const { step, isExcess } of order)
    step.occurrence.job.yields &&= isExcess;
  return order;
}

/** Starts steps: first those of jobs within their rate and of promoted ones, then those of excess jobs. */
function startSteps(
  state: states.State,
  ranked: readonly ranking.RankedStep[],
  rooms: ReadonlyMap<types.PoolName, headroom.PoolRoom>,
  nowMs: number,
): void {
  const blocked: BlockedSteps = {
    counts: new Map(),
    poolsWithReservation: new Set(),
  };
  for (const forExcess of [false, true]) {
    const entries = ranked.filter(({ isExcess }) => isExcess === forExcess);
    askForOverdueServices(state, entries, nowMs);
    if (!forExcess) advice.requestForEndingTasks(state, nowMs);
    startInOrder(state, entries, rooms, blocked, nowMs);
  }
}

/** Steps of a round that found no room. */
interface BlockedSteps {
  /** Their number by pool. */
  readonly counts: Map<types.PoolName, number>;
  /** Pools with VMs that are reserved for a gang. */
  readonly poolsWithReservation: Set<types.PoolName>;
}

function startInOrder(
  state: states.State,
  ranked: readonly ranking.RankedStep[],
  rooms: ReadonlyMap<types.PoolName, headroom.PoolRoom>,
  { counts, poolsWithReservation }: BlockedSteps,
  nowMs: number,
): void {
  for (const { step } of ranked) {
    const { pool } = step.occurrence.job.policy;
    const waitingBefore = step.waitingCount;
    const room = rooms.get(pool);
    if (room === undefined) continue;
    placeStep(state, step, room, nowMs);
    if (step.waitingCount === 0) continue;
    const reserveLimit = (vmsReadyMs?: number): void => {
      workspaceLimits.reserveForGang(
        step,
        () =>
          reservation.canHoldGang(state, step, workspaceLimits.isLong, nowMs),
        vmsReadyMs,
      );
    };
    if (!workspaceLimits.canStart(step, nowMs)) {
      workspaceLimits.markBlocked(step);
      reserveLimit();
      continue;
    }
    if (trials.hasOnlyTrials(step) && trials.isLimitReached(state, step, nowMs))
      continue;
    const blocked = counts.get(pool) ?? 0;
    const allowed = {
      // VMs that are reserved for a gang will have room for it soon.
      start:
        headroom.canUseCores(state, room, step, nowMs) &&
        (step.spec.gang || headroom.canFitOnVm(room, step)),
      askAhead: blocked < LOOKAHEAD_STEPS + room.vms / VMS_PER_LOOKAHEAD_STEP,
    };
    if (allowed.start || allowed.askAhead)
      advice.requestAdvice(state, step, allowed, nowMs);
    if (
      step.waitingCount === waitingBefore &&
      !advice.isRequestPending(step, nowMs)
    ) {
      counts.set(pool, blocked + 1);
      if (
        blocked < LOOKAHEAD_STEPS &&
        !batches.isOverdue(state, nowMs) &&
        !trials.isPrepared(state, step, nowMs)
      )
        preemption.preemptForStep(state, step, nowMs);
      const readyMs =
        step.spec.gang && !poolsWithReservation.has(pool)
          ? reservation.reserveForGang(state, step, nowMs)
          : undefined;
      if (readyMs !== undefined) {
        poolsWithReservation.add(pool);
        // Without a reservation under the limit, small tasks use it up again before the VMs are ready.
        reserveLimit(readyMs - nowMs);
      }
    } else reserveLimit();
  }
}

/**
 * Requests advice for overdue services before other steps take the free slots. Services of
 * one rank go by how long their tasks have waited: an old job whose tasks fail now and then
 * would otherwise be asked about before the tasks of a newer one that have never run.
 */
function askForOverdueServices(
  state: states.State,
  ranked: readonly ranking.RankedStep[],
  nowMs: number,
): void {
  const overdue = ranked
    .filter(({ step }) => waits.isServiceOverdue(step, nowMs))
    .map(({ step, rank }) => ({
      step,
      rank,
      sinceMs: waits.computeWaitingSinceMs(step),
    }))
    .sort((a, b) => a.rank - b.rank || a.sinceMs - b.sinceMs);
  for (const { step } of overdue) {
    if (advice.isRequestPending(step, nowMs)) continue;
    const canStart = collectCandidates(state, step, nowMs).some((candidate) =>
      placement.canPlaceTask(candidate, step),
    );
    if (!canStart)
      advice.requestAdvice(
        state,
        step,
        { start: true, askAhead: false },
        nowMs,
      );
  }
}

function placeStep(
  state: states.State,
  step: tables.StepRow,
  room: headroom.PoolRoom,
  nowMs: number,
): void {
  if (!workspaceLimits.canStart(step, nowMs)) return;
  if (!headroom.canFitOnVm(room, step)) return;
  const candidates = collectCandidates(state, step, nowMs);
  if (candidates.length === 0) return;
  if (step.spec.gang) {
    placeGang(state, step, candidates, room, nowMs);
    return;
  }
  let withoutTrial = trials.selectWithoutTrial(candidates, nowMs);
  for (const task of step.tasks) {
    if (task.state !== 'waiting' || task.strayRunVms.size > 0) continue;
    if (!headroom.canUseCores(state, room, step, nowMs)) return;
    if (!workspaceLimits.canStart(step, nowMs)) return;
    if (blame.isOnTrial(task)) {
      if (blame.isGivenUp(task)) {
        crashes.failTask(state, task, nowMs);
        return;
      }
      startTrial(state, task, candidates, room, nowMs);
      withoutTrial = trials.selectWithoutTrial(candidates, nowMs);
      continue;
    }
    const chosen = placement.chooseCandidate(withoutTrial, step, task, nowMs);
    if (chosen === undefined) return;
    room.freeCores -= tables.getNeed(step.spec).cores;
    placement.takeRoom(chosen, step);
    startTask(state, task, chosen, states.createRunNumber(state), nowMs);
  }
}

function startTrial(
  state: states.State,
  task: tables.TaskRow,
  candidates: readonly placement.Candidate[],
  room: headroom.PoolRoom,
  nowMs: number,
): void {
  const chosen = trials.chooseTrialCandidate(state, candidates, task, nowMs);
  if (chosen === undefined) return;
  room.freeCores -= tables.getNeed(task.step.spec).cores;
  placement.takeRoom(chosen, task.step);
  startTask(state, task, chosen, states.createRunNumber(state), nowMs);
}

/** Collects the VMs with room and advice for a step. */
function collectCandidates(
  state: states.State,
  step: tables.StepRow,
  nowMs: number,
): placement.Candidate[] {
  const needsTicket = step.occurrence.job.policy.advice !== undefined;
  if (needsTicket && step.advice.tickets.size === 0) return [];
  const candidates: placement.Candidate[] = [];
  const prefersSpeed = speeds.isSpeedPreferred(state, step, nowMs);
  const vms = needsTicket
    ? openVms.listApproved(state.openVms, step)
    : openVms.listForStep(state.openVms, step);
  for (const vm of vms) {
    if (!placement.hasRoomOn(vm, step)) continue;
    if (!placement.isEligible(vm, step, nowMs)) continue;
    const ticket = needsTicket ? advice.findTicket(step, vm, nowMs) : undefined;
    if (needsTicket && ticket === undefined) continue;
    if (
      placement.isReservedForOther(vm, step, nowMs) &&
      !reservation.isOverBeforeReady(state, vm, step, nowMs)
    )
      continue;
    candidates.push({
      vm,
      ticket,
      free: { ...tables.getFree(vm) },
      sameStep: placement.countSameStep(vm, step),
      ...(prefersSpeed
        ? { speedScore: speeds.scoreLasting(state, vm, nowMs) }
        : {}),
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
  // All runs of the gang's previous attempt must have ended before the next attempt starts.
  if (step.waitingCount !== step.spec.count) return;
  if (step.tasks.some(({ strayRunVms }) => strayRunVms.size > 0)) return;
  const givenUp = step.tasks.find(blame.isGivenUp);
  if (givenUp !== undefined) {
    crashes.failTask(state, givenUp, nowMs);
    return;
  }
  const inTrial = step.tasks.some(blame.isOnTrial);
  if (inTrial && trials.isLimitReached(state, step, nowMs)) return;
  const places = placement.chooseGangPlaces(
    inTrial ? candidates.filter(trials.isQuiet) : candidates,
    step,
    nowMs,
  );
  if (places === undefined) return;
  room.freeCores -= tables.getNeed(step.spec).cores * step.spec.count;
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
