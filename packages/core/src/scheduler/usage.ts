/**
 * Compares declared with reported resource use. A task that reports more than it
 * declared holds the reported amount. Unused declared capacity isn't lent to other
 * tasks, because all tasks of a worker may grow to their declarations at once and a
 * throttle takes effect only after the next report.
 */
import * as ids from '../types/ids.js';
import type * as resources from '../types/resources.js';
import type * as worker from '../types/worker.js';
import type * as placement from '../placement/rows.js';
import * as ends from './ends.js';
import * as heldCapacity from './heldCapacity.js';
import type * as states from './state.js';

/** Allowance for growth until the next report, as a share of the declared memory. */
const GROWTH_MARGIN = 0.05;
/** Use of cores above the declaration that is tolerated as measurement noise, as a share. */
const CORES_TOLERANCE = 0.05;

function computeHeld(
  attempt: placement.Attempt,
  used: resources.Resources,
): resources.Resources {
  const { size } = attempt;
  const grown =
    used.memoryMb > size.memoryMb
      ? used.memoryMb + size.memoryMb * GROWTH_MARGIN
      : size.memoryMb;
  const held = {
    // Rounded up, because amounts of capacity are rounded to thousandths.
    cores: Math.max(size.cores, Math.ceil(used.cores * 1000) / 1000),
    memoryMb: grown,
    gpus: Math.max(size.gpus, used.gpus),
  };
  return held;
}

function throttle(state: states.State, attempt: placement.Attempt): void {
  state.pendingCommands.push({
    command: 'throttle',
    attemptId: attempt.id,
    worker: attempt.worker.id,
  });
}

/** Orders attempts to stop: least urgent first, then furthest above the declared memory. */
function compareVictims(a: placement.Attempt, b: placement.Attempt): number {
  const urgency =
    ids.urgencies.indexOf(b.urgency) - ids.urgencies.indexOf(a.urgency);
  if (urgency !== 0) return urgency;
  const excess = (attempt: placement.Attempt) =>
    attempt.used.memoryMb - attempt.size.memoryMb;
  return excess(b) - excess(a) || (a.id < b.id ? -1 : 1);
}

/** Stops tasks, least urgent first, until the reported memory of the others fits the worker. */
function stopExcess(state: states.State, row: placement.WorkerRow): void {
  let used = 0;
  const running: placement.Attempt[] = [];
  for (const attempt of row.attempts.values()) {
    if (attempt.state === 'stopping') continue;
    used += Math.max(attempt.used.memoryMb, 0);
    running.push(attempt);
  }
  if (used <= row.size.memoryMb) return;
  for (const attempt of running.sort(compareVictims)) {
    if (used <= row.size.memoryMb) return;
    used -= attempt.used.memoryMb;
    ends.stopAttempt(state, attempt, 'overuse', true);
  }
}

/** Applies the resource use that a worker reports for its attempts. */
export function applyReport(
  state: states.State,
  row: placement.WorkerRow,
  reports: readonly worker.AttemptReport[],
): void {
  for (const report of reports) {
    const attempt = row.attempts.get(report.attemptId);
    if (attempt === undefined || report.state === 'ended') continue;
    attempt.used = report.used;
    attempt.reported = true;
    const held = computeHeld(attempt, report.used);
    if (
      held.cores !== attempt.held.cores ||
      held.memoryMb !== attempt.held.memoryMb ||
      held.gpus !== attempt.held.gpus
    )
      heldCapacity.updateHeld(state, attempt, held);
    const limit = attempt.size.cores * (1 + CORES_TOLERANCE);
    if (report.used.cores > limit && attempt.state !== 'stopping')
      throttle(state, attempt);
  }
  stopExcess(state, row);
}
