/** Decides from the durable ends of its tasks whether and how a job has ended. */
import type * as job from '../types/job.js';
import type * as scheduling from '../types/scheduler.js';

/** Final state of a job and the reason for it. */
export interface JobEnd {
  readonly state: Exclude<job.JobState, 'accepted'>;
  readonly reason: string;
}

/** Decides whether a job has ended; undefined while it hasn't. */
export function decideJobEnd(
  decided: job.Job,
  ended: readonly scheduling.EndedTask[],
): JobEnd | undefined {
  if (ended.length < decided.spec.count) return undefined;
  if (decided.cancelRequested && ended.some((task) => task.result !== 'done'))
    return { state: 'cancelled', reason: 'cancelled' };
  // Replicas run until they are stopped, so their ends alone don't end a service.
  if (decided.spec.kind === 'service') return undefined;
  const unknown = countResults(ended, 'unknown') + countResults(ended, 'lost');
  if (unknown > 0)
    return {
      state: 'unknown',
      reason: `the outcome of ${unknown} of ${ended.length} tasks is unknown`,
    };
  const done = countResults(ended, 'done');
  if (done < ended.length)
    return {
      state: 'failed',
      reason: `${ended.length - done} of ${ended.length} tasks failed`,
    };
  return { state: 'done', reason: `${done} tasks done` };
}

function countResults(
  ended: readonly scheduling.EndedTask[],
  result: job.TaskResult,
): number {
  return ended.filter((task) => task.result === result).length;
}
