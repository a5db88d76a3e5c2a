/**
 * One tick of the scheduler: requeues due tasks, starts waiting ones, preempts and
 * reserves. The numbers of starts, preemptions and failed lookups per tick are bounded.
 */
import * as ids from '../types/ids.js';
import * as resources from '../types/resources.js';
import type * as scheduler from '../types/scheduler.js';
import type * as placer from '../placement/placer.js';
import type * as placement from '../placement/rows.js';
import * as vector from '../placement/vector.js';
import * as floors from '../queue/floors.js';
import type * as queue from '../queue/queue.js';
import * as accept from './accept.js';
import * as ends from './ends.js';
import * as preempt from './preempt.js';
import * as reserve from './reserve.js';
import type * as rows from './rows.js';
import * as start from './start.js';
import type * as states from './state.js';
import * as waiting from './waiting.js';

/** Failed lookups allowed per tick and urgency. */
const MAX_FAILED_LOOKUPS = 256;
/** Preemptions allowed per tick. */
const MAX_PREEMPTIONS_PER_TICK = 64;
/** Time that a new owner has to find all members of a gang before the gang is restarted. */
const INCOMPLETE_GANG_GRACE_MS = 2_000;

function findScarceResource(state: states.State): resources.ResourceName {
  const demand = vector.createAmount();
  for (const byTeam of state.queue.teams.values())
    for (const team of byTeam.values()) vector.addTo(demand, team.demand, 1);
  vector.addTo(demand, state.fleet.held, 1);
  const { total } = state.fleet;
  const cores = total.cores > 0 ? demand.cores / total.cores : 0;
  const memory = total.memoryMb > 0 ? demand.memoryMb / total.memoryMb : 0;
  return memory > cores ? 'memoryMb' : 'cores';
}

function computePerGpu(state: states.State): resources.Resources {
  if (state.averagePerGpu !== undefined) return state.averagePerGpu;
  // Until the first GPU job its needs are unknown, so workers with free GPUs keep all
  // their cores and memory for GPU tasks.
  return {
    cores: Number.POSITIVE_INFINITY,
    memoryMb: Number.POSITIVE_INFINITY,
    gpus: 0,
  };
}

function collectClaimedWorkers(
  state: states.State,
): Map<ids.VmId, placement.WorkerRow> {
  const claimed = new Map<ids.VmId, placement.WorkerRow>();
  for (const reservation of state.reservations.values())
    for (const [id, worker] of reservation.workers)
      if (worker.claims.size > 0) claimed.set(id, worker);
  return claimed;
}

/** Builds the context that all decisions of one tick share. */
export function buildContext(
  state: states.State,
  nowMs: number,
): start.TickContext {
  const placeContext: placer.PlaceContext = {
    table: state.fleet,
    scarceResource: findScarceResource(state),
    averagePerGpu: computePerGpu(state),
    claimedWorkers: collectClaimedWorkers(state),
  };
  let hasGpuDemand = false;
  for (const byTeam of state.queue.teams.values())
    for (const team of byTeam.values())
      if (team.demand.gpus > 0) hasGpuDemand = true;
  const table = floors.buildFloorTable(
    state.queue,
    state.floors,
    state.gpuUrgencies,
    (team) => accept.computeAllowedDemand(state, team),
  );
  return {
    nowMs,
    placeContext,
    floors: table,
    hasGpuDemand,
    starvingJob: undefined,
  };
}

function updateStarvingJob(row: rows.JobRow, context: start.TickContext): void {
  if (!reserve.isStarving(row, context.nowMs)) return;
  const { starvingJob } = context;
  const isFirst =
    starvingJob === undefined ||
    (starvingJob.urgency === row.urgency && row.order < starvingJob.order);
  if (isFirst) context.starvingJob = row;
}

/** Computes a stamp that changes whenever a refused shape might fit. */
function computeRefusalStamp(
  state: states.State,
  row: rows.JobRow,
  context: start.TickContext,
): number {
  const waited = start.hasWaitedForGpuWorkers(row, context.nowMs) ? 2 : 0;
  return (
    state.fleet.getFreedVersion() * 4 + waited + (context.hasGpuDemand ? 1 : 0)
  );
}

/** Preempts tasks for the jobs of a refused shape, in queue order. */
function preemptShape(
  state: states.State,
  shape: queue.ShapeQueue,
  context: start.TickContext,
  budget: Budget,
): void {
  for (const jobs of [shape.requeued, shape.fresh])
    for (const row of jobs.values()) {
      while (
        budget.preemptions > 0 &&
        preempt.preemptFor(state, row, context) === 'preempted'
      )
        budget.preemptions -= 1;
      if (budget.preemptions === 0 || !preempt.isFreeingCapacity(state, row))
        return;
    }
}

function refuseShape(
  state: states.State,
  shape: queue.ShapeQueue,
  row: rows.JobRow,
  result: Extract<start.StartResult, { started: 0; reason: unknown }>,
  context: start.TickContext,
  budget: Budget,
): void {
  row.reason = result.reason;
  if (result.reason.reason === 'no-candidate') {
    const listVersion = state.fleet.getListVersion();
    if (
      shape.fittingListVersion !== listVersion &&
      !accept.canFitIdleFleet(state, row)
    ) {
      waiting.removeUnplaceable(state, row);
      return;
    }
    if (shape.fittingListVersion !== listVersion)
      accept.updateAvoidedWorkers(state, row);
    shape.fittingListVersion = listVersion;
    shape.refusalStamp = computeRefusalStamp(state, row, context);
    updateStarvingJob(row, context);
    preemptShape(state, shape, context, budget);
  }
  state.queue.refuse(shape);
}

/** Numbers of actions that the tick may still take. */
interface Budget {
  starts: number;
  preemptions: number;
  failedLookups: number;
}

function tryShape(
  state: states.State,
  shape: queue.ShapeQueue,
  row: rows.JobRow,
  context: start.TickContext,
): start.StartResult {
  const isUnchanged =
    shape.refusalStamp === computeRefusalStamp(state, row, context);
  if (isUnchanged) {
    const { size } = state.fleet.workers;
    const reason = { reason: 'no-candidate', total: size, counts: [] } as const;
    return { started: 0, reason };
  }
  return start.tryStart(state, row, context);
}

function placeNext(
  state: states.State,
  urgency: ids.Urgency,
  context: start.TickContext,
  budget: Budget,
): boolean {
  const team = state.queue.chooseTeam(urgency, state.fleet.total);
  if (team === undefined) return false;
  const shape = state.queue.chooseShape(team);
  const row = shape === undefined ? undefined : state.queue.getHead(shape);
  if (shape === undefined || row === undefined) return false;
  // A gang starts whole, so one that exceeds the remaining budget waits for the next tick.
  // With the full budget it starts in any case, or it would never start.
  const isFirst = budget.starts === state.options.maxStartsPerTick;
  if (shape.shape.members > budget.starts && !isFirst) {
    state.queue.refuse(shape);
    return true;
  }
  const result = tryShape(state, shape, row, context);
  if ('reason' in result) {
    budget.failedLookups -= 1;
    refuseShape(state, shape, row, result, context, budget);
  } else budget.starts -= result.started;
  return true;
}

/** Starts jobs on the capacity reserved for them, regardless of their place in the queue. */
function startReserved(
  state: states.State,
  context: start.TickContext,
  budget: Budget,
): void {
  for (const { job, workers } of [...state.reservations.values()]) {
    const row = state.jobs.get(job);
    if (row === undefined) continue;
    let tries = workers.size;
    while (tries > 0 && budget.starts > 0 && row.waitingTasks > 0) {
      tries -= 1;
      if (!reserve.hasReservedRoom(state, row)) break;
      const result = start.tryStart(state, row, context);
      budget.starts -= result.started;
      if (result.started === 0) break;
    }
  }
}

function placeAll(state: states.State, context: start.TickContext): void {
  const budget: Budget = {
    starts: state.options.maxStartsPerTick,
    preemptions: MAX_PREEMPTIONS_PER_TICK,
    failedLookups: 0,
  };
  startReserved(state, context, budget);
  for (const urgency of ids.urgencies) {
    budget.failedLookups = MAX_FAILED_LOOKUPS;
    while (budget.starts > 0 && budget.failedLookups > 0)
      if (!placeNext(state, urgency, context, budget)) break;
  }
}

function stopIncompleteGangs(state: states.State, nowMs: number): void {
  for (const [row, sinceMs] of state.incompleteGangs) {
    if (nowMs - sinceMs < INCOMPLETE_GANG_GRACE_MS) continue;
    const hasHeldTask = [...row.tasks.values()].some(
      (task) => task.state === 'held',
    );
    if (hasHeldTask) continue;
    state.incompleteGangs.delete(row);
    if (row.closed || waiting.countReady(state, row) === 0) continue;
    if (row.liveTasks > 0) ends.stopGang(state, row);
    else if (row.endedTasks > 0 && !ends.endUnrepeatableGang(state, row))
      waiting.resetGang(state, row, nowMs);
  }
}

/** Runs one tick and returns its commands. */
export function runTick(
  state: states.State,
  nowMs: number,
): readonly scheduler.SchedulerCommand[] {
  waiting.releaseDelayed(state, nowMs);
  stopIncompleteGangs(state, nowMs);
  reserve.sweepReservations(state, nowMs);
  state.queue.restore();
  start.startTrials(state, nowMs);
  const context = buildContext(state, nowMs);
  placeAll(state, context);
  if (context.starvingJob !== undefined)
    reserve.reserveFor(state, context.starvingJob, context);
  return state.pendingCommands.splice(0);
}
