/**
 * Reservations: capacity kept for a job that would otherwise starve, and capacity that
 * preemption freed for a job. Tasks that are expected to end before the reservation
 * begins may use the capacity until then (backfill).
 */
import * as ids from '../types/ids.js';
import type * as resources from '../types/resources.js';
import * as plan from '../placement/plan.js';
import * as placer from '../placement/placer.js';
import type * as placement from '../placement/rows.js';
import * as vector from '../placement/vector.js';
import * as ends from './ends.js';
import type * as rows from './rows.js';
import type * as start from './start.js';
import type * as states from './state.js';

/** Time without a start after which a gang counts as starving. */
export const GANG_STARVATION_MS = 2_000;
/** Time without a start after which any other job counts as starving. */
const TASK_STARVATION_MS = 10_000;
/** Least time between two plans, each of which scans the fleet. */
const PLAN_INTERVAL_MS = 100;
/** Time added to the lifetime of a reservation for a starving job. */
const RESERVATION_SLACK_MS = 10_000;
/** Lifetime of a reservation made by preemption. */
export const PREEMPTION_RESERVATION_MS = 5_000;
/** Share of its run time that a task past its declared end is expected to run on. */
const OVERRUN_SHARE = 0.25;

/** Returns whether a job has gone without a start for so long that it needs a reservation. */
export function isStarving(row: rows.JobRow, nowMs: number): boolean {
  const limitMs =
    row.spec.kind === 'gang' ? GANG_STARVATION_MS : TASK_STARVATION_MS;
  return nowMs - row.lastProgressMs >= limitMs;
}

/** Estimates when an attempt ends. */
export function estimateEndMs(
  attempt: placement.Attempt,
  nowMs: number,
): number {
  if (attempt.state === 'stopping') return nowMs;
  if (attempt.endsMs > nowMs) return attempt.endsMs;
  return nowMs + Math.max(100, (nowMs - attempt.sinceMs) * OVERRUN_SHARE);
}

/** Removes a reservation and its claims on workers. */
export function dropReservation(state: states.State, job: ids.JobId): void {
  const reservation = state.reservations.get(job);
  if (reservation === undefined) return;
  state.reservations.delete(job);
  for (const worker of reservation.workers.values())
    state.fleet.dropClaim(worker, job);
}

function isSchedulable(
  state: states.State,
  worker: placement.WorkerRow,
): boolean {
  return (
    state.fleet.workers.get(worker.id) === worker &&
    worker.usable &&
    !worker.quarantined &&
    worker.record.state === 'live'
  );
}

function isObsolete(
  state: states.State,
  reservation: states.Reservation,
  nowMs: number,
): boolean {
  const row = state.jobs.get(reservation.job);
  if (row === undefined || row.closed || row.ending !== undefined) return true;
  if (row.waitingTasks === 0 || nowMs >= reservation.untilMs) return true;
  for (const worker of reservation.workers.values())
    if (!isSchedulable(state, worker)) return true;
  return false;
}

/** Drops obsolete reservations and updates the expected begin of the others. */
export function sweepReservations(state: states.State, nowMs: number): void {
  for (const reservation of [...state.reservations.values()])
    if (isObsolete(state, reservation, nowMs))
      dropReservation(state, reservation.job);
    else if (reservation.why === 'starving') updateBegin(reservation, nowMs);
}

function updateBegin(reservation: states.Reservation, nowMs: number): void {
  let beginsMs = nowMs;
  for (const worker of reservation.workers.values()) {
    const claim = worker.claims.get(reservation.job);
    if (claim !== undefined)
      beginsMs = Math.max(beginsMs, findBeginMs(worker, claim.amount, nowMs));
  }
  reservation.beginsMs = beginsMs;
  for (const worker of reservation.workers.values()) {
    const claim = worker.claims.get(reservation.job);
    if (claim !== undefined) claim.beginsMs = beginsMs;
  }
}

/** Estimates when a worker will have an amount of capacity free. */
function findBeginMs(
  worker: placement.WorkerRow,
  amount: resources.Resources,
  nowMs: number,
): number {
  const room = { ...worker.free };
  let atMs = nowMs;
  const pending = [...worker.attempts.values()].sort(
    (a, b) => estimateEndMs(a, nowMs) - estimateEndMs(b, nowMs),
  );
  for (const attempt of pending) {
    if (vector.isWithin(amount, room)) return atMs;
    vector.addTo(room, attempt.held, 1);
    atMs = estimateEndMs(attempt, nowMs);
  }
  return atMs;
}

/**
 * Returns whether a task of a job may fit now on a worker that the job claimed. For a
 * gang the placement itself checks this.
 */
export function hasReservedRoom(
  state: states.State,
  row: rows.JobRow,
): boolean {
  const reservation = state.reservations.get(row.id);
  if (reservation === undefined) return false;
  if (row.spec.kind === 'gang') return true;
  const { id: jobId, urgency } = row;
  const request = { jobId, urgency, endsMs: Number.POSITIVE_INFINITY };
  for (const worker of reservation.workers.values())
    if (
      worker.claims.has(row.id) &&
      vector.isWithin(
        row.spec.size,
        placer.computeAvailableFor(worker, request),
      )
    )
      return true;
  return false;
}

/** Adds the size of one task to the claim of a job on a worker. */
export function addClaim(
  state: states.State,
  row: rows.JobRow,
  worker: placement.WorkerRow,
  beginsMs: number,
): void {
  const before = worker.claims.get(row.id)?.amount;
  const amount = { cores: 0, memoryMb: 0, gpus: 0, ...before };
  vector.addTo(amount, row.spec.size, 1);
  const { urgency } = row;
  state.fleet.claim(worker, { jobId: row.id, urgency, amount, beginsMs });
}

/** Returns whether an attempt may be preempted for a job. */
export function canPreempt(
  row: rows.JobRow,
  attempt: placement.Attempt,
): boolean {
  return (
    attempt.reclaimable &&
    attempt.state === 'running' &&
    ids.urgencies.indexOf(attempt.urgency) > ids.urgencies.indexOf(row.urgency)
  );
}

/** Preempts attempts on the workers that an urgent job claimed until its claims fit. */
function stopForClaims(
  state: states.State,
  row: rows.JobRow,
  workers: Iterable<placement.WorkerRow>,
): void {
  for (const worker of workers) {
    const claim = worker.claims.get(row.id);
    if (claim === undefined) continue;
    const room = { ...worker.free };
    for (const attempt of worker.attempts.values()) {
      if (vector.isWithin(claim.amount, room)) break;
      if (attempt.state !== 'stopping' && !canPreempt(row, attempt)) continue;
      vector.addTo(room, attempt.held, 1);
      ends.stopAttempt(state, attempt, 'preempted', true);
    }
  }
}

/** Makes a reservation for a starving job unless another starving job has one. */
export function reserveFor(
  state: states.State,
  row: rows.JobRow,
  context: start.TickContext,
): void {
  const { nowMs } = context;
  if (nowMs < state.nextPlanMs || state.reservations.has(row.id)) return;
  for (const other of state.reservations.values())
    if (other.why === 'starving') return;
  state.nextPlanMs = nowMs + PLAN_INTERVAL_MS;
  const mayStop = row.urgency === 'urgent';
  const planned = plan.findPlan(
    state.fleet,
    {
      shape: row.shape,
      jobId: row.id,
      canUse: (worker) =>
        isSchedulable(state, worker) && !row.avoidedWorkers.has(worker.id),
      estimateFreeMs: (attempt) =>
        mayStop && canPreempt(row, attempt)
          ? nowMs
          : estimateEndMs(attempt, nowMs),
    },
    nowMs,
  );
  if (planned === undefined) return;
  const workers = new Map(planned.workers.map((worker) => [worker.id, worker]));
  state.reservations.set(row.id, {
    job: row.id,
    why: 'starving',
    workers,
    madeMs: nowMs,
    beginsMs: planned.beginsMs,
    members: planned.workers.length,
    untilMs: nowMs + 2 * (planned.beginsMs - nowMs) + RESERVATION_SLACK_MS,
  });
  for (const worker of planned.workers)
    addClaim(state, row, worker, planned.beginsMs);
  if (mayStop) stopForClaims(state, row, workers.values());
}
