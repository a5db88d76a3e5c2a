/**
 * Preemption: checkpoints and stops less urgent tasks on one worker so that a waiting
 * task can start there, choosing the tasks that lose the least work, up to a limit for each.
 * Urgent jobs may always preempt, other jobs only while their urgency is below its floor.
 */
import * as ids from '../types/ids.js';
import * as resources from '../types/resources.js';
import type * as placement from '../placement/rows.js';
import * as vector from '../placement/vector.js';
import * as ends from './ends.js';
import * as reserve from './reserve.js';
import type * as rows from './rows.js';
import * as start from './start.js';
import type * as states from './state.js';

/** Longest run time that preempting one task may lose, restart included. */
const MAX_LOSS_MS = 60_000;
/** Estimated cost of stopping, checkpointing and restarting a task. */
const RESTART_COST_MS = 2_000;
/** A task that is expected to end within this time is not preempted. */
const ENDING_SOON_MS = 500;
/** Workers with enough preemptible capacity that are compared per preemption. */
const MAX_WORKERS_COMPARED = 32;

/** A worker and the attempts to preempt there, with the work that is lost. */
interface PreemptionChoice {
  readonly worker: placement.WorkerRow;
  readonly victims: readonly placement.Attempt[];
  readonly lossMs: number;
}

function estimateLossMs(
  state: states.State,
  attempt: placement.Attempt,
  nowMs: number,
): number {
  const jobClass = state.jobs.get(attempt.jobId)?.spec.jobClass ?? '';
  const kept = state.checkpointRetention.get(jobClass) ?? 1;
  return RESTART_COST_MS + (nowMs - attempt.sinceMs) * (1 - kept);
}

/** Returns whether the urgency of a job stays within its floor with one more task of the job. */
function isBelowFloor(
  state: states.State,
  row: rows.JobRow,
  context: start.TickContext,
): boolean {
  const use = context.floors[row.urgency];
  return resources.resourceNames.every(
    (name) =>
      row.spec.size[name] === 0 ||
      use.used[name] + row.spec.size[name] <=
        use.floor[name] * state.fleet.total[name],
  );
}

/** Returns whether the urgency of an attempt still reaches its floor without the attempt. */
function isFloorKeptWithout(
  state: states.State,
  attempt: placement.Attempt,
  need: resources.Resources,
  context: start.TickContext,
): boolean {
  const use = context.floors[attempt.urgency];
  return resources.resourceNames.every(
    (name) =>
      need[name] === 0 ||
      use.used[name] - use.stopping[name] - attempt.held[name] >=
        use.floor[name] * state.fleet.total[name],
  );
}

/** Computes the free capacity of a worker, ignoring claims of less urgent jobs. */
function computeRoom(
  row: rows.JobRow,
  worker: placement.WorkerRow,
): vector.Amount {
  const room = { ...worker.unclaimed };
  const own = ids.urgencies.indexOf(row.urgency);
  for (const claim of worker.claims.values())
    if (own < ids.urgencies.indexOf(claim.urgency))
      vector.addTo(room, claim.amount, 1);
  return room;
}

function findVictims(
  state: states.State,
  row: rows.JobRow,
  worker: placement.WorkerRow,
  context: start.TickContext,
): PreemptionChoice | undefined {
  const { nowMs } = context;
  const need = row.spec.size;
  const candidates: { attempt: placement.Attempt; lossMs: number }[] = [];
  const room = computeRoom(row, worker);
  for (const attempt of worker.attempts.values()) {
    // Capacity of stopping attempts will be freed; claims on it are already deducted
    // from `unclaimed`.
    if (attempt.state === 'stopping') vector.addTo(room, attempt.held, 1);
    if (!reserve.canPreempt(row, attempt)) continue;
    if (attempt.endsMs > nowMs && attempt.endsMs - nowMs < ENDING_SOON_MS)
      continue;
    if (!isFloorKeptWithout(state, attempt, need, context)) continue;
    const lossMs = estimateLossMs(state, attempt, nowMs);
    if (lossMs <= MAX_LOSS_MS) candidates.push({ attempt, lossMs });
  }
  candidates.sort((a, b) => a.lossMs - b.lossMs);
  const victims: placement.Attempt[] = [];
  let lossMs = 0;
  for (const candidate of candidates) {
    if (vector.isWithin(need, room)) break;
    vector.addTo(room, candidate.attempt.held, 1);
    victims.push(candidate.attempt);
    lossMs += candidate.lossMs;
  }
  if (!vector.isWithin(need, room)) return undefined;
  return { worker, victims, lossMs };
}

function canPlaceOn(row: rows.JobRow, worker: placement.WorkerRow): boolean {
  const zone = row.spec.availabilityZone ?? worker.record.availabilityZone;
  return (
    worker.usable &&
    !worker.quarantined &&
    worker.record.state === 'live' &&
    zone === worker.record.availabilityZone &&
    !row.avoidedWorkers.has(worker.id)
  );
}

function chooseVictims(
  state: states.State,
  row: rows.JobRow,
  context: start.TickContext,
): PreemptionChoice | undefined {
  let best: PreemptionChoice | undefined;
  let compared = 0;
  for (const worker of state.reclaimableCounts.keys()) {
    if (!canPlaceOn(row, worker)) continue;
    const choice = findVictims(state, row, worker, context);
    if (choice === undefined) continue;
    if (best === undefined || choice.lossMs < best.lossMs) best = choice;
    compared += 1;
    if (compared >= MAX_WORKERS_COMPARED) break;
  }
  return best;
}

/** Returns whether preemption already frees capacity for all waiting tasks of a job. */
export function isFreeingCapacity(
  state: states.State,
  row: rows.JobRow,
): boolean {
  const known = state.reservations.get(row.id);
  return known?.why === 'preemption' && known.members >= row.waitingTasks;
}

/** Preempts tasks so that the next waiting task of a job can start. */
export function preemptFor(
  state: states.State,
  row: rows.JobRow,
  context: start.TickContext,
): 'preempted' | 'none' {
  if (row.spec.kind === 'gang') return 'none';
  if (row.urgency !== 'urgent' && !isBelowFloor(state, row, context))
    return 'none';
  const known = state.reservations.get(row.id);
  if (known?.why === 'starving' || isFreeingCapacity(state, row)) return 'none';
  const choice = chooseVictims(state, row, context);
  if (choice === undefined) return 'none';
  const { nowMs } = context;
  for (const victim of choice.victims) {
    ends.stopAttempt(state, victim, 'preempted', true);
    ends.recordPreemption(state, victim, row.id);
    const use = context.floors[victim.urgency];
    vector.addTo(use.stopping, victim.held, 1);
  }
  if (known === undefined)
    state.reservations.set(row.id, {
      job: row.id,
      why: 'preemption',
      workers: new Map([[choice.worker.id, choice.worker]]),
      madeMs: nowMs,
      beginsMs: nowMs,
      members: 1,
      untilMs: nowMs + reserve.PREEMPTION_RESERVATION_MS,
    });
  else {
    known.workers.set(choice.worker.id, choice.worker);
    known.members += 1;
    known.untilMs = nowMs + reserve.PREEMPTION_RESERVATION_MS;
  }
  reserve.addClaim(state, row, choice.worker, nowMs);
  vector.addTo(context.floors[row.urgency].used, row.spec.size, 1);
  return 'preempted';
}
