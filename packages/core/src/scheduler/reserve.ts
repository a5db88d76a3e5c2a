/**
 * Reservations: capacity that is kept for a job which would starve otherwise, and
 * capacity that preemption freed for a job. Shorter tasks may use it until then.
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

/** A gang that waits this long gets a reservation. */
export const GANG_RESERVE_MS = 2_000;
/** A task that smaller ones overtake this long gets one too. */
const TASK_RESERVE_MS = 10_000;
/** Time between two plans, which cost a scan of the fleet. */
const PLAN_INTERVAL_MS = 100;
const PLAN_SLACK_MS = 10_000;
/** Longest time that freed capacity waits for the task it was freed for. */
export const PREEMPTION_TERM_MS = 5_000;
/** Share of the time a task ran that is added when it runs past its declared end. */
const OVERRUN_SHARE = 0.25;

/** Tells whether a job has waited so long that it should get a reservation. */
export function isStarving(row: rows.JobRow, nowMs: number): boolean {
  const limitMs = row.spec.kind === 'gang' ? GANG_RESERVE_MS : TASK_RESERVE_MS;
  return nowMs - row.progressMs >= limitMs;
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

/** Ends a reservation and frees what it claimed. */
export function dropReservation(state: states.State, job: ids.JobId): void {
  const reservation = state.reservations.get(job);
  if (reservation === undefined) return;
  state.reservations.delete(job);
  for (const worker of reservation.workers.values())
    state.fleet.unclaim(worker, job);
}

function isWorkerOpen(
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

function isStale(
  state: states.State,
  reservation: states.Reservation,
  nowMs: number,
): boolean {
  const row = state.jobs.get(reservation.job);
  if (row === undefined || row.closed || row.ending !== undefined) return true;
  if (row.waiting === 0 || nowMs >= reservation.untilMs) return true;
  for (const worker of reservation.workers.values())
    if (!isWorkerOpen(state, worker)) return true;
  return false;
}

/** Drops reservations that no longer help, and updates when the others begin. */
export function sweepReservations(state: states.State, nowMs: number): void {
  for (const reservation of [...state.reservations.values()])
    if (isStale(state, reservation, nowMs))
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

/** Estimates when an amount is free on a worker. */
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

/** Tells whether a worker has the room now that a job claimed there. */
export function isReady(state: states.State, row: rows.JobRow): boolean {
  const reservation = state.reservations.get(row.id);
  if (reservation === undefined) return false;
  if (row.spec.kind === 'gang') return true;
  const { id: jobId, urgency } = row;
  const request = { jobId, urgency, endsMs: Number.POSITIVE_INFINITY };
  for (const worker of reservation.workers.values())
    if (
      worker.claims.has(row.id) &&
      vector.isWithin(row.spec.size, placer.computeOpenFor(worker, request))
    )
      return true;
  return false;
}

/** Adds a claim of a job on a worker to what it claims there already. */
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

/** Tells whether an attempt may be stopped for a job. */
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

/** Stops what an urgent job may stop on the workers that it claimed. */
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

/** Makes a reservation for the job that has starved longest, one at a time. */
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
  const found = plan.findPlan(
    state.fleet,
    {
      shape: row.shape,
      jobId: row.id,
      canUse: (worker) =>
        isWorkerOpen(state, worker) && !row.avoid.has(worker.id),
      readFreeMs: (attempt) =>
        mayStop && canPreempt(row, attempt)
          ? nowMs
          : estimateEndMs(attempt, nowMs),
    },
    nowMs,
  );
  if (found === undefined) return;
  const workers = new Map(found.workers.map((worker) => [worker.id, worker]));
  state.reservations.set(row.id, {
    job: row.id,
    why: 'starving',
    workers,
    madeMs: nowMs,
    beginsMs: found.beginsMs,
    members: found.workers.length,
    untilMs: nowMs + 2 * (found.beginsMs - nowMs) + PLAN_SLACK_MS,
  });
  for (const worker of found.workers)
    addClaim(state, row, worker, found.beginsMs);
  if (mayStop) stopForClaims(state, row, workers.values());
}
