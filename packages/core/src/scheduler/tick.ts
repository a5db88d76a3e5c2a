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
import type * as rows from './rows.js';
import * as start from './start.js';
import type * as states from './state.js';
import * as waiting from './waiting.js';

/** Failed lookups that one tick makes per urgency. */
const MISSES_PER_TICK = 256;
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
  const table = floors.buildFloorTable(state.queue, state.floors, (team) =>
    accept.computeWanted(state, team),
  );
  return { nowMs, placing, floors: table, gpusWanted };
}

function refuseShape(
  state: states.State,
  shape: queue.ShapeQueue,
  row: rows.JobRow,
  result: Extract<start.StartResult, { started: 0; reason: unknown }>,
): void {
  row.reason = result.reason;
  if (
    result.reason.reason === 'no-candidate' &&
    !accept.isFitting(state, row)
  ) {
    waiting.removeUnfit(state, row);
    return;
  }
  state.queue.refuse(shape);
}

interface Budget {
  starts: number;
  misses: number;
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
  const result = start.tryStart(state, row, context);
  if ('reason' in result) {
    budget.misses -= 1;
    refuseShape(state, shape, row, result);
  } else budget.starts -= result.started;
  return true;
}

function placeAll(state: states.State, context: start.TickContext): void {
  const budget: Budget = { starts: state.options.maxStartsPerTick, misses: 0 };
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
    if (row.waiting > 0 && row.live > 0) ends.stopGang(state, row);
  }
}

/** Runs one round and returns the commands. */
export function runTick(
  state: states.State,
  nowMs: number,
): readonly scheduler.SchedulerCommand[] {
  waiting.releaseDelayed(state, nowMs);
  stopBrokenGangs(state, nowMs);
  state.queue.restore();
  start.startTrials(state, nowMs);
  const context = buildContext(state, nowMs);
  placeAll(state, context);
  return state.outbox.splice(0);
}
