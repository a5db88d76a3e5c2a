/** What callers and operators see of the tables. */
import * as states from './state.js';
import * as tables from './tables.js';
import type * as types from './types.js';

/** State of a job as callers see it; a final one only when it is durable. */
export function describeJob(job: tables.JobRow): types.JobState {
  if (job.shown !== undefined) return job.shown;
  if (job.cancelled) return 'cancelled';
  return job.begun ? 'running' : 'pending';
}

/** Jobs per queue of which no task has started. */
export function countWaiting(
  state: states.State,
): ReadonlyMap<types.QueueName, number> {
  const counts = new Map<types.QueueName, number>();
  for (const job of state.jobs.values()) {
    if (job.begun || states.isJobOver(job) || job.job.schedule !== undefined)
      continue;
    counts.set(job.job.queue, (counts.get(job.job.queue) ?? 0) + 1);
  }
  return counts;
}

/** Plain copy of the tables for operators. */
export function dumpState(state: states.State): unknown {
  return {
    vms: [...state.vms.values()].map((vm) => ({
      id: vm.id,
      pool: vm.entry?.pool,
      usable: vm.usable,
      draining: vm.entry?.draining,
      used: vm.used,
      capacity: vm.entry?.capacity,
      runs: [...vm.runs].map(
        (run) => `${states.formatRun(run)} ${run.phase} ${run.percent}%`,
      ),
    })),
    jobs: [...state.jobs.values()]
      .filter((job) => job.shown === undefined && !job.cancelled)
      .map((job) => ({
        id: job.job.id,
        queue: job.job.queue,
        state: describeJob(job),
        steps: job.occurrences.flatMap((occurrence) =>
          occurrence.steps.map((step) => ({
            step: `${occurrence.number}.${step.index}`,
            done: step.doneCount,
            waiting: step.waitingCount,
            count: step.spec.count,
            open: tables.isStepOpen(step),
          })),
        ),
      })),
    counts: Object.fromEntries(state.counts),
  };
}
