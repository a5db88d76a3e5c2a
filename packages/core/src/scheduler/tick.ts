/** One round of decisions, with a bounded number of starts and of failed lookups. */
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

/** Failed lookups that one tick makes per urgency. */
const MISSES_PER_TICK = 256;
/** Preemptions that one tick begins. */
const PREEMPTIONS_PER_TICK = 64;
/** Time for a new owner to find all members of a gang before it counts as broken. */
const GANG_GRACE_MS = 2_000;

function findScarce(state: states.State): resources.ResourceName {
  const wanted = vector.createAmount();
  for (const byTeam of state.queue.teams.values())
    for (const team of byTeam.values()) vector.addTo(wanted, team.wanted, 1);
  vector.addTo(wanted, state.fleet.held, 1);
  const { total } = state.fleet;
  const cores = total.cores > 0 ? wanted.cores / total.cores : 0;
  const memory = total.memoryMb > 0 ? wanted.memoryMb / total.memoryMb : 0;
  return memory > cores ? 'memoryMb' : 'cores';
}

function computePerGpu(state: states.State): resources.Resources {
  if (state.perGpu !== undefined) return state.perGpu;
  // Before the first job with GPUs their workers keep everything beside them.
  return {
    cores: Number.POSITIVE_INFINITY,
    memoryMb: Number.POSITIVE_INFINITY,
    gpus: 0,
  };
}

function collectClaimed(
  state: states.State,
): Map<ids.VmId, placement.WorkerRow> {
  const claimed = new Map<ids.VmId, placement.WorkerRow>();
  for (const reservation of state.reservations.values())
    for (const [id, worker] of reservation.workers)
      if (worker.claims.size > 0) claimed.set(id, worker);
  return claimed;
}

/** Builds what the decisions of one tick share. */
export function buildContext(
  state: states.State,
  nowMs: number,
): start.TickContext {
  const placing: placer.PlaceContext = {
    table: state.fleet,
    scarce: findScarce(state),
    perGpu: computePerGpu(state),
    claimed: collectClaimed(state),
  };
  let gpusWanted = false;
  for (const byTeam of state.queue.teams.values())
    for (const team of byTeam.values())
      if (team.wanted.gpus > 0) gpusWanted = true;
  const table = floors.buildFloorTable(
    state.queue,
    state.floors,
    state.withGpus,
    (team) => accept.computeWanted(state, team),
  );
  return { nowMs, placing, floors: table, gpusWanted, starving: undefined };
}

function noteStarving(row: rows.JobRow, context: start.TickContext): void {
  if (!reserve.isStarving(row, context.nowMs)) return;
  const { starving } = context;
  const isFirst =
    starving === undefined ||
    (starving.urgency === row.urgency && row.order < starving.order);
  if (isFirst) context.starving = row;
}

/** Changes whenever a refused shape might fit. */
function computeStamp(
  state: states.State,
  row: rows.JobRow,
  context: start.TickContext,
): number {
  const patient = start.isPatient(row, context.nowMs) ? 2 : 0;
  return state.fleet.readFreed() * 4 + patient + (context.gpusWanted ? 1 : 0);
}

/** Preempts for the jobs of a refused shape, in their order. */
function preemptShape(
  state: states.State,
  shape: queue.ShapeQueue,
  context: start.TickContext,
  budget: Budget,
): void {
  for (const jobs of [shape.again, shape.fresh])
    for (const row of jobs.values()) {
      while (
        budget.preemptions > 0 &&
        preempt.preemptFor(state, row, context) === 'preempted'
      )
        budget.preemptions -= 1;
      if (budget.preemptions === 0 || !preempt.isServed(state, row)) return;
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
    const listed = state.fleet.readListed();
    if (shape.fittingAt !== listed && !accept.isFitting(state, row)) {
      waiting.removeUnfit(state, row);
      return;
    }
    if (shape.fittingAt !== listed) accept.updateAvoid(state, row);
    shape.fittingAt = listed;
    shape.refusedAt = computeStamp(state, row, context);
    noteStarving(row, context);
    preemptShape(state, shape, context, budget);
  }
  state.queue.refuse(shape);
}

interface Budget {
  starts: number;
  preemptions: number;
  misses: number;
}

function tryShape(
  state: states.State,
  shape: queue.ShapeQueue,
  row: rows.JobRow,
  context: start.TickContext,
): start.StartResult {
  const isSame = shape.refusedAt === computeStamp(state, row, context);
  if (isSame) {
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
  const row = shape === undefined ? undefined : state.queue.readHead(shape);
  if (shape === undefined || row === undefined) return false;
  // A gang starts whole, so one that is larger than the rest of the budget waits for a new tick.
  const isFirst = budget.starts === state.options.maxStartsPerTick;
  if (shape.shape.members > budget.starts && !isFirst) {
    state.queue.refuse(shape);
    return true;
  }
  const result = tryShape(state, shape, row, context);
  if ('reason' in result) {
    budget.misses -= 1;
    refuseShape(state, shape, row, result, context, budget);
  } else budget.starts -= result.started;
  return true;
}

/** Starts jobs on capacity that is kept for them, wherever they are in the queue. */
function startReserved(
  state: states.State,
  context: start.TickContext,
  budget: Budget,
): void {
  for (const { job, workers } of [...state.reservations.values()]) {
    const row = state.jobs.get(job);
    if (row === undefined) continue;
    let tries = workers.size;
    while (tries > 0 && budget.starts > 0 && row.waiting > 0) {
      tries -= 1;
      if (!reserve.isReady(state, row)) break;
      const result = start.tryStart(state, row, context);
      budget.starts -= result.started;
      if (result.started === 0) break;
    }
  }
}

function placeAll(state: states.State, context: start.TickContext): void {
  const budget: Budget = {
    starts: state.options.maxStartsPerTick,
    preemptions: PREEMPTIONS_PER_TICK,
    misses: 0,
  };
  startReserved(state, context, budget);
  for (const urgency of ids.urgencies) {
    budget.misses = MISSES_PER_TICK;
    while (budget.starts > 0 && budget.misses > 0)
      if (!placeNext(state, urgency, context, budget)) break;
  }
}

function stopBrokenGangs(state: states.State, nowMs: number): void {
  for (const [row, sinceMs] of state.brokenGangs) {
    if (nowMs - sinceMs < GANG_GRACE_MS) continue;
    const held = [...row.tasks.values()].some((task) => task.state === 'held');
    if (held) continue;
    state.brokenGangs.delete(row);
    if (row.closed || waiting.countReady(state, row) === 0) continue;
    if (row.live > 0) ends.stopGang(state, row);
    else if (row.ended > 0 && !ends.endUnrepeatable(state, row))
      waiting.resetGang(state, row, nowMs);
  }
}

/** Runs one round and returns the commands. */
export function runTick(
  state: states.State,
  nowMs: number,
): readonly scheduler.SchedulerCommand[] {
  waiting.releaseDelayed(state, nowMs);
  stopBrokenGangs(state, nowMs);
  reserve.sweepReservations(state, nowMs);
  state.queue.restore();
  start.startTrials(state, nowMs);
  const context = buildContext(state, nowMs);
  placeAll(state, context);
  if (context.starving !== undefined)
    reserve.reserveFor(state, context.starving, context);
  return state.outbox.splice(0);
}
