/**
 * Evidence that a job has begun. A decided start may still be withdrawn, refused or lost
 * on its way, so only what a VM says shows that a task was started: the answer to a start
 * command, a run that it lists, or the end of one.
 */
import type * as ids from '../types/ids.js';
import * as states from './state.js';
import type * as tables from './tables.js';
import type * as types from './types.js';

/** Unscheduled jobs of a queue that haven't ended, by what is known of their first start. */
export interface StartSummary {
  readonly queue: types.QueueName;
  /** Jobs of which no VM has shown that a task was started. */
  readonly waiting: number;
  /** Those of them with a decided start. */
  readonly unconfirmed: number;
  /** Longest time since the first of those starts was decided or restored, in ms. */
  readonly oldestMs: number;
}

/** Records that a VM has shown that a task of a job was started. */
export function recordBegin(state: states.State, id: ids.JobId): void {
  const job = state.jobs.get(id);
  if (job !== undefined) job.hasBegun = true;
}

/** Returns whether a start of a job was decided that no VM has confirmed. */
function isUnconfirmed(job: tables.JobRow): boolean {
  return !job.hasBegun && job.startDecidedMs !== undefined;
}

/** Measures, for each queue with such jobs, the jobs whose decided start no VM has confirmed. */
export function measureStarts(
  state: states.State,
  waiting: ReadonlyMap<types.QueueName, number>,
  nowMs: number,
): readonly StartSummary[] {
  const summaries = new Map<types.QueueName, StartSummary>();
  for (const job of state.jobs.values()) {
    if (job.job.schedule !== undefined || states.isJobOver(job)) continue;
    if (!isUnconfirmed(job)) continue;
    const { queue } = job.job;
    const previous = summaries.get(queue);
    summaries.set(queue, {
      queue,
      waiting: waiting.get(queue) ?? 0,
      unconfirmed: (previous?.unconfirmed ?? 0) + 1,
      oldestMs: Math.max(
        previous?.oldestMs ?? 0,
        nowMs - (job.startDecidedMs ?? nowMs),
      ),
    });
  }
  return [...summaries.values()];
}
