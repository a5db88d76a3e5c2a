/**
 * Plans the start of a starving job: finds the workers on which its members fit soonest,
 * assuming that the tasks there end when expected.
 */
import type * as ids from '../types/ids.js';
import type * as fleet from './fleet.js';
import * as placer from './placer.js';
import type * as rows from './rows.js';
import * as vector from './vector.js';

/** The job to plan for. */
export interface PlanRequest {
  readonly shape: rows.Shape;
  readonly jobId: ids.JobId;
  readonly canUse: (worker: rows.WorkerRow) => boolean;
  /** Estimates when the capacity of an attempt becomes free; infinite for never. */
  readonly estimateFreeMs: (attempt: rows.Attempt) => number;
}

/** Workers to reserve, one entry per member, and the expected start. */
export interface Plan {
  readonly workers: readonly rows.WorkerRow[];
  readonly beginsMs: number;
}

/** From `atMs` on, `fits` members fit on a worker. */
interface CapacityStep {
  readonly atMs: number;
  readonly fits: number;
}

interface Candidate {
  readonly worker: rows.WorkerRow;
  readonly steps: readonly CapacityStep[];
}

function buildSteps(
  worker: rows.WorkerRow,
  request: PlanRequest,
  nowMs: number,
): CapacityStep[] {
  const room = { ...worker.free };
  for (const claim of worker.claims.values())
    if (claim.jobId !== request.jobId) vector.addTo(room, claim.amount, -1);
  const steps: CapacityStep[] = [];
  let fits = vector.countFits(request.shape.size, room);
  if (fits > 0) steps.push({ atMs: nowMs, fits });
  const ends = [...worker.attempts.values()]
    .map((attempt) => ({ attempt, atMs: request.estimateFreeMs(attempt) }))
    .filter((end) => Number.isFinite(end.atMs))
    .sort((a, b) => a.atMs - b.atMs);
  for (const { attempt, atMs } of ends) {
    vector.addTo(room, attempt.held, 1);
    const more = vector.countFits(request.shape.size, room);
    if (more > fits) steps.push({ atMs, fits: more });
    fits = more;
  }
  return steps;
}

function collectCandidates(
  table: fleet.Fleet,
  request: PlanRequest,
  nowMs: number,
): Candidate[] {
  const candidates: Candidate[] = [];
  const { size, availabilityZone } = request.shape;
  for (const worker of table.workers.values()) {
    if (!vector.isWithin(size, worker.size) || !request.canUse(worker))
      continue;
    const zone = availabilityZone ?? worker.record.availabilityZone;
    if (zone !== worker.record.availabilityZone) continue;
    const steps = buildSteps(worker, request, nowMs);
    if (steps.length > 0) candidates.push({ worker, steps });
  }
  return candidates;
}

function buildRooms(
  candidates: readonly Candidate[],
  atMs: number,
): placer.RackRoom[] {
  const rooms = new Map<ids.RackName, placer.RackRoom>();
  for (const { worker, steps } of candidates) {
    let fits = 0;
    for (const step of steps) if (step.atMs <= atMs) fits = step.fits;
    if (fits === 0) continue;
    const { rack } = worker.record;
    const room = rooms.get(rack) ?? { rack, workers: [], fits: 0 };
    room.workers.push({ worker, fits });
    room.fits += fits;
    rooms.set(rack, room);
  }
  return [...rooms.values()];
}

/** Plans the soonest start; undefined when the members never fit at the same time. */
export function findPlan(
  table: fleet.Fleet,
  request: PlanRequest,
  nowMs: number,
): Plan | undefined {
  const candidates = collectCandidates(table, request, nowMs);
  const times = [
    ...new Set(candidates.flatMap(({ steps }) => steps.map((s) => s.atMs))),
  ].sort((a, b) => a - b);
  // Capacity only grows over time, so a binary search finds the soonest start.
  let low = 0;
  let high = times.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    const rooms = buildRooms(candidates, times[middle] ?? 0);
    if (placer.pickRacks(rooms, request.shape) === undefined) low = middle + 1;
    else high = middle;
  }
  const beginsMs = times[low];
  if (beginsMs === undefined) return undefined;
  const rooms = buildRooms(candidates, beginsMs);
  const picked = placer.pickRacks(rooms, request.shape);
  if (picked === undefined) return undefined;
  return { workers: placer.placeMembers(picked, request.shape), beginsMs };
}
