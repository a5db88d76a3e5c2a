/** Applies events to the scheduler state. Repeated and late events have no further effect. */
import type * as ids from '../types/ids.js';
import type * as scheduler from '../types/scheduler.js';
import type * as worker from '../types/worker.js';
import * as health from '../health/health.js';
import * as floors from '../queue/floors.js';
import * as accept from './accept.js';
import * as ends from './ends.js';
import * as reserve from './reserve.js';
import type * as states from './state.js';
import * as usage from './usage.js';
import * as waiting from './waiting.js';

function listWorker(state: states.State, record: worker.VmRecord): void {
  const before = state.fleet.workers.get(record.id)?.record.state;
  const row = state.fleet.list(record);
  if (row === undefined) return;
  waiting.restoreUnplaceable(state);
  if (record.state !== 'leaving' || before === 'leaving') return;
  // Tasks that can restart on another worker are checkpointed while this one still runs.
  for (const attempt of row.attempts.values()) {
    const job = state.jobs.get(attempt.jobId);
    const isMovable =
      job?.classEntry.idempotent === true &&
      (job.spec.kind === 'service' || job.classEntry.preemptible);
    if (isMovable) ends.stopAttempt(state, attempt, 'withdrawn', true);
  }
}

function removeWorker(state: states.State, id: ids.VmId, nowMs: number): void {
  const row = state.fleet.workers.get(id);
  if (row === undefined) return;
  for (const attempt of [...row.attempts.values()])
    ends.endAttempt(state, attempt, 'lost', undefined, nowMs);
  for (const job of [...row.claims.keys()]) reserve.dropReservation(state, job);
  state.fleet.remove(id);
  health.dropWorker(state.health, id);
}

function markStarted(state: states.State, id: ids.AttemptId): void {
  const attempt = state.attempts.get(id);
  if (attempt?.state === 'starting') attempt.state = 'running';
}

function returnStart(
  state: states.State,
  id: ids.AttemptId,
  nowMs: number,
): void {
  const attempt = state.attempts.get(id);
  if (attempt === undefined) return;
  ends.endNotStarted(state, attempt, nowMs);
}

function applyRelease(
  state: states.State,
  event: Extract<scheduler.SchedulerEvent, { event: 'release.changed' }>,
): void {
  state.release = event.release;
  state.classes = new Map(event.classes.map((entry) => [entry.name, entry]));
  state.teams = new Map(event.teams.map((entry) => [entry.name, entry]));
  state.floors = floors.computeFloors(event.classes);
  for (const byTeam of state.queue.teams.values())
    for (const team of byTeam.values())
      team.weight = state.teams.get(team.team)?.weight ?? team.weight;
  // A job keeps the last known entry of a class that the new release no longer contains.
  for (const row of state.jobs.values())
    row.classEntry = state.classes.get(row.spec.jobClass) ?? row.classEntry;
}

/** Applies one event to the state. */
export function applyEvent(
  state: states.State,
  event: scheduler.SchedulerEvent,
  nowMs: number,
): void {
  switch (event.event) {
    case 'worker.listed':
      listWorker(state, event.worker);
      return;
    case 'worker.removed':
      removeWorker(state, event.worker, nowMs);
      return;
    case 'worker.usable': {
      const row = state.fleet.workers.get(event.worker);
      if (row !== undefined) state.fleet.setUsable(row, event.usable);
      return;
    }
    case 'worker.reported': {
      const row = state.fleet.workers.get(event.worker);
      if (row !== undefined) usage.applyReport(state, row, event.attempts);
      return;
    }
    case 'job.accepted':
      accept.addJob(state, event.job, event.ended, nowMs);
      return;
    case 'job.cancelled':
      accept.cancelJob(state, event.job, event.by);
      return;
    case 'task.held':
      accept.holdTask(state, event, nowMs);
      return;
    case 'task.freed':
      accept.releaseTask(state, event, nowMs);
      return;
    case 'task.adopted':
      accept.adoptAttempt(state, event, nowMs);
      return;
    case 'task.started':
      markStarted(state, event.attemptId);
      return;
    case 'task.not-started':
      returnStart(state, event.attemptId, nowMs);
      return;
    case 'task.ended': {
      const attempt = state.attempts.get(event.attemptId);
      if (attempt !== undefined)
        ends.endAttempt(state, attempt, event.result, event.checkpoint, nowMs);
      return;
    }
    case 'release.changed':
      applyRelease(state, event);
      return;
    case 'team.quota':
      state.quotas.set(event.team, event.quota);
      return;
  }
}
