/**
 * How long service tasks wait. A service task that waits for long comes first where that
 * costs other work little: for advice, and for room that is kept for a gang.
 */
import type * as tables from './tables.js';

/** Wait after which a service task is overdue, in ms: a third of the time within which it must run again. */
const OVERDUE_AFTER_MS = 2_000;

/** Returns whether a waiting task of a service is overdue. */
export function isServiceOverdue(step: tables.StepRow, nowMs: number): boolean {
  if (!step.spec.lasts || step.waitingCount === 0) return false;
  return nowMs - computeWaitingSinceMs(step) >= OVERDUE_AFTER_MS;
}

/** Returns the time since which the longest-waiting task of a step has waited; Infinity when none waits. */
export function computeWaitingSinceMs(step: tables.StepRow): number {
  const turnMs = computeTurnMs(step);
  let sinceMs = Infinity;
  for (const { state, idleSinceMs } of step.tasks)
    if (state === 'waiting') sinceMs = Math.min(sinceMs, idleSinceMs ?? turnMs);
  return sinceMs;
}

/** Returns the time from which the tasks of a step may run, as far as this owner knows. */
export function computeTurnMs(step: tables.StepRow): number {
  const { occurrence } = step;
  let turnMs = occurrence.dueMs;
  for (const index of step.spec.after)
    turnMs = Math.max(turnMs, occurrence.steps[index]?.doneMs ?? turnMs);
  return turnMs;
}
