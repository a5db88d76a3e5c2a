/**
 * Accounts for the capacity that attempts hold, by worker, team and urgency. Capacity
 * is held from the start command until the end of the attempt is confirmed.
 */
import type * as resources from '../types/resources.js';
import type * as placement from '../placement/rows.js';
import * as vector from '../placement/vector.js';
import * as states from './state.js';

function addUse(
  state: states.State,
  attempt: placement.Attempt,
  by: number,
): void {
  const team = state.queue.getTeam(attempt.urgency, attempt.team);
  vector.addTo(team.used, attempt.held, by);
  if (!attempt.reclaimable) vector.addTo(team.nonReclaimable, attempt.held, by);
  if (attempt.state === 'stopping')
    vector.addTo(team.stopping, attempt.held, by);
  vector.addTo(states.getTeamUse(state, attempt.team), attempt.held, by);
}

function countReclaimable(
  state: states.State,
  attempt: placement.Attempt,
  by: number,
): void {
  if (!attempt.reclaimable) return;
  const { worker } = attempt;
  const count = (state.reclaimableCounts.get(worker) ?? 0) + by;
  if (count > 0) state.reclaimableCounts.set(worker, count);
  else state.reclaimableCounts.delete(worker);
}

/** Adds an attempt and reserves its capacity. */
export function addAttempt(
  state: states.State,
  attempt: placement.Attempt,
): void {
  state.attempts.set(attempt.id, attempt);
  state.fleet.add(attempt);
  countReclaimable(state, attempt, 1);
  addUse(state, attempt, 1);
}

/** Removes an attempt and frees its capacity. */
export function dropAttempt(
  state: states.State,
  attempt: placement.Attempt,
): void {
  if (!state.attempts.delete(attempt.id)) return;
  state.fleet.drop(attempt);
  countReclaimable(state, attempt, -1);
  addUse(state, attempt, -1);
}

/** Changes the amount of capacity that an attempt holds. */
export function updateHeld(
  state: states.State,
  attempt: placement.Attempt,
  held: resources.Resources,
): void {
  addUse(state, attempt, -1);
  state.fleet.resize(attempt, held);
  addUse(state, attempt, 1);
}

/** Marks an attempt as stopping; it holds its capacity until its end is confirmed. */
export function markStopping(
  state: states.State,
  attempt: placement.Attempt,
): void {
  addUse(state, attempt, -1);
  attempt.state = 'stopping';
  addUse(state, attempt, 1);
}

/** Reassigns an attempt to another urgency and team, such as when its job becomes known. */
export function moveAttempt(
  state: states.State,
  attempt: placement.Attempt,
  owner: Pick<placement.Attempt, 'urgency' | 'team' | 'reclaimable'>,
): void {
  addUse(state, attempt, -1);
  countReclaimable(state, attempt, -1);
  Object.assign(attempt, owner);
  countReclaimable(state, attempt, 1);
  addUse(state, attempt, 1);
}
