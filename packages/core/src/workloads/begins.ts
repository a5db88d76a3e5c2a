/**
 * Evidence that a job has begun. A decided start may still be withdrawn, refused or lost
 * on its way, so only what a VM says shows that a task was started: the answer to a start
 * command, a run that it lists, or the end of one. A new owner has only records of
 * starts until the VMs report, so for some jobs it can't tell.
 */
import type * as ids from '../types/ids.js';
import * as states from './state.js';
import * as tables from './tables.js';
import type * as types from './types.js';

/** Unscheduled jobs of a queue that haven't ended and of which no VM has shown that a task was started. */
export interface UnstartedJobs {
  /** Jobs that wait for their first start, or for a VM's word about it; unresolved ones don't count. */
  readonly waiting: number;
  /** Jobs that an earlier owner may have started on a VM that hasn't reported to this one yet. */
  readonly unresolved: number;
}

/** Unstarted jobs of a queue, and how many of them have a decided start. */
export interface StartSummary extends UnstartedJobs {
  readonly queue: types.QueueName;
  /** Jobs with a decided start, also those that are unresolved. */
  readonly unconfirmed: number;
  /** Longest time since the first of those starts was decided or restored, in ms. */
  readonly oldestMs: number;
}

const NONE: UnstartedJobs = { waiting: 0, unresolved: 0 };

/** Records that a VM has shown that a task of a job was started. */
export function recordBegin(state: states.State, id: ids.JobId): void {
  const job = state.jobs.get(id);
  if (job !== undefined) job.hasBegun = true;
}

/**
 * Returns whether this owner can't know if a job has begun: an earlier owner may have
 * started it, with or without a record, on a VM that hasn't reported to this one. Once
 * that VM is lost or the timeout has passed, nobody can tell, and the job counts as waiting.
 */
export function isUnresolved(
  job: tables.JobRow,
  unrecorded: states.UnrecordedStarts,
): boolean {
  if (job.hasBegun) return false;
  if (states.canHaveUnrecordedStart(job, unrecorded)) return true;
  return (
    job.activeRuns > 0 &&
    job.occurrences.some(({ steps }) =>
      steps.some(({ tasks }) =>
        tasks.some(({ run }) => run !== undefined && tables.isInherited(run)),
      ),
    )
  );
}

/** Counts the unstarted jobs of each queue; scheduled jobs don't count. */
export function countUnstarted(
  state: states.State,
  nowMs: number,
): ReadonlyMap<types.QueueName, UnstartedJobs> {
  const unrecorded = states.findUnrecordedStarts(state, nowMs);
  const counts = new Map<types.QueueName, UnstartedJobs>();
  for (const job of state.jobs.values()) {
    if (job.hasBegun || states.isJobOver(job) || job.job.schedule !== undefined)
      continue;
    const { queue } = job.job;
    const { waiting, unresolved } = counts.get(queue) ?? NONE;
    counts.set(
      queue,
      isUnresolved(job, unrecorded)
        ? { waiting, unresolved: unresolved + 1 }
        : { waiting: waiting + 1, unresolved },
    );
  }
  return counts;
}

/** Returns whether a start of a job was decided that no VM has confirmed. */
function isUnconfirmed(job: tables.JobRow): boolean {
  return !job.hasBegun && job.startDecidedMs !== undefined;
}

/** Measures, for each queue with such jobs, the jobs whose decided start no VM has confirmed. */
export function measureStarts(
  state: states.State,
  nowMs: number,
): readonly StartSummary[] {
  const counts = countUnstarted(state, nowMs);
  const summaries = new Map<types.QueueName, StartSummary>();
  for (const job of state.jobs.values()) {
    if (job.job.schedule !== undefined || states.isJobOver(job)) continue;
    if (!isUnconfirmed(job)) continue;
    const { queue } = job.job;
    const previous = summaries.get(queue);
    summaries.set(queue, {
      queue,
      ...(counts.get(queue) ?? NONE),
      unconfirmed: (previous?.unconfirmed ?? 0) + 1,
      oldestMs: Math.max(
        previous?.oldestMs ?? 0,
        nowMs - (job.startDecidedMs ?? nowMs),
      ),
    });
  }
  return [...summaries.values()];
}
