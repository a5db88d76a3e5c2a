/** Adds jobs to the tables and creates the occurrences of scheduled ones as they become due. */
import type * as states from './state.js';
import * as tables from './tables.js';
import type * as types from './types.js';
import * as workspaceLimits from './workspaceLimits.js';

/**
 * Tasks of unfinished occurrences up to which a job gets further ones. After an outage
 * thousands can be due at once, and each task takes a row.
 */
const MAX_OPEN_TASKS = 5_000;

/** Adds a job with the occurrences that are due. */
export function addJob(
  state: states.State,
  job: types.Job,
  acceptedMs: number,
  nowMs: number,
  nowUnixMs: number,
): tables.JobRow {
  const row: tables.JobRow = {
    job,
    workspace:
      job.workspace === undefined
        ? undefined
        : workspaceLimits.ensureAccount(
            state.workspaceAccounts,
            job.workspace,
            state.isConfigured,
          ),
    policy: state.policies.get(job.queue) ?? job.policy,
    acceptedMs,
    occurrences: [],
    occurrencesLeft: job.schedule?.times ?? 0,
    hasBegun: false,
    startDecidedMs: undefined,
    progressRecords: new Map(),
    unheardVms: new Set(),
    excess: false,
    yields: false,
    cancelled: false,
    final: undefined,
    durableFinal: undefined,
    activeRuns: 0,
  };
  state.jobs.set(job.id, row);
  state.learnedJobs.push(row);
  if (job.schedule === undefined) tables.createOccurrence(row, 0, acceptedMs);
  else createDueOccurrences(row, nowMs, nowUnixMs);
  return row;
}

/** Returns the monotonic time at which an occurrence is due. */
export function computeDueMs(
  job: types.Job,
  occurrence: number,
  nowMs: number,
  nowUnixMs: number,
): number {
  if (job.schedule === undefined) return nowMs;
  const dueUnixMs =
    job.schedule.firstAtMs + occurrence * job.schedule.intervalMs;
  return nowMs + dueUnixMs - nowUnixMs;
}

/** Creates the occurrences that have become due, as far as earlier ones are finished. */
export function createDueOccurrences(
  job: tables.JobRow,
  nowMs: number,
  nowUnixMs: number,
): void {
  const { schedule } = job.job;
  if (schedule === undefined) return;
  let openTasks = countOpenTasks(job);
  while (
    job.occurrencesLeft > 0 &&
    (openTasks === 0 || openTasks < MAX_OPEN_TASKS)
  ) {
    const number = schedule.times - job.occurrencesLeft;
    const dueMs = computeDueMs(job.job, number, nowMs, nowUnixMs);
    if (dueMs > nowMs) return;
    job.occurrencesLeft -= 1;
    if (job.occurrences.some((occurrence) => occurrence.number === number))
      continue;
    tables.createOccurrence(job, number, dueMs);
    openTasks += tables.countTasks(job.job);
  }
}

function countOpenTasks(job: tables.JobRow): number {
  return (
    job.occurrences.filter(({ done }) => !done).length *
    tables.countTasks(job.job)
  );
}
