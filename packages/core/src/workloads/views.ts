/** Views of the tables for callers, metrics and operators. */
import * as begins from './begins.js';
import * as ranking from './ranking.js';
import * as shares from './shares.js';
import * as speeds from './speed.js';
import * as states from './state.js';
import * as tables from './tables.js';
import type * as types from './types.js';
import * as workspaceLimits from './workspaceLimits.js';

/** Returns the state of a job as reported to callers; a final state only once it is durable. */
export function describeJob(
  job: tables.JobRow,
  unknown: begins.UnknownBegins,
  nowMs: number,
): types.JobState | 'unresolved' {
  if (job.durableFinal !== undefined) return job.durableFinal;
  if (job.cancelled) return 'cancelled';
  if (job.hasBegun) return 'running';
  return begins.isUnresolved(job, unknown, nowMs) ? 'unresolved' : 'pending';
}

/** Time that a job has taken and time that its objective allows. */
export interface JobTiming {
  readonly queue: types.QueueName;
  /** Time since the first occurrence was due (for an unscheduled job, since its acceptance), in ms. */
  readonly tookMs: number;
  /** Time that the objective allows, computed from the estimated run times, in ms. */
  readonly objectiveMs: number;
  readonly preemptions: number;
}

/** Measures the time of a job's first occurrence; undefined when none is due yet. */
export function measureTiming(
  state: states.State,
  job: tables.JobRow,
  nowMs: number,
): JobTiming | undefined {
  const [first] = job.occurrences;
  if (first === undefined) return undefined;
  let preemptions = 0;
  for (const step of first.steps)
    for (const task of step.tasks) preemptions += task.preemptions;
  return {
    queue: job.job.queue,
    tookMs: Math.round(nowMs - first.dueMs),
    objectiveMs: Math.round(
      ranking.computeObjectiveMs(state.runTimes, first, nowMs) - first.dueMs,
    ),
    preemptions,
  };
}

/** Adds what is learned of run times to the counts of the metrics. */
export function countRunTimes({ counts, runTimes }: states.State): void {
  const { samples, keys, declaredError, learnedError } = runTimes;
  counts.set('run-times.samples', samples);
  counts.set('run-times.keys', keys.size);
  // Mean absolute errors of the logarithm, in percent: about the relative errors.
  const divisor = Math.max(1, samples);
  counts.set(
    'run-times.declared-error-percent',
    Math.round((declaredError / divisor) * 100),
  );
  counts.set(
    'run-times.learned-error-percent',
    Math.round((learnedError / divisor) * 100),
  );
}

/** Returns a plain copy of the tables for operators. */
export function dumpState(state: states.State, nowMs: number): unknown {
  const unknown = begins.findUnknownBegins(state, nowMs);
  return {
    vms: [...state.vms.values()].map((vm) => ({
      id: vm.id,
      pool: vm.entry?.pool,
      usable: vm.usable,
      draining: vm.entry?.draining,
      hasCurrentEntry: tables.hasCurrentEntry(vm),
      used: vm.used,
      capacity: vm.entry?.capacity,
      lastingSpeed: Math.exp(speeds.estimateLastingLog(state, vm, nowMs)),
      runs: [...vm.runs].map(
        (run) => `${states.formatRun(run)} ${run.phase} ${run.percent}%`,
      ),
    })),
    jobs: [...state.jobs.values()]
      .filter((job) => job.durableFinal === undefined && !job.cancelled)
      .map((job) => ({
        id: job.job.id,
        queue: job.job.queue,
        state: describeJob(job, unknown, nowMs),
        begun: job.hasBegun,
        ...shares.buildView(state, job),
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
    limits: workspaceLimits.listUse(state.workspaceAccounts),
    workspaces: shares.listWorkspaces(state).map(({ pools, ...summary }) => ({
      ...summary,
      pools: Object.fromEntries(pools),
    })),
    counts: Object.fromEntries(state.counts),
  };
}
