/**
 * Quarantines faulty workers. It tells a worker that fails all kinds of tasks from a job
 * that fails on all workers by the recent task ends of each worker, compared with the
 * failure rates of the same jobs on other workers.
 */
import type * as ids from '../types/ids.js';

/** Number of recent task ends of a worker that are considered. */
const MAX_OUTCOMES = 20;
/** Different jobs that must have failed on a worker to quarantine it. */
const MIN_FAILED_JOBS = 3;
/** Share of the recent task ends that must be failures to quarantine a worker. */
const MIN_FAILURE_SHARE = 0.5;
/** Largest share of the workers that may be quarantined at the same time. */
const MAX_QUARANTINED_SHARE = 0.2;
/** Interval between trial tasks on a quarantined worker. */
const TRIAL_INTERVAL_MS = 30_000;

interface Outcome {
  readonly job: ids.JobId;
  readonly failed: boolean;
}

/** Task ends and failures of one job on one worker. */
interface EndCounts {
  ends: number;
  failures: number;
}

/** Quarantine of one worker. */
export interface Quarantine {
  readonly sinceMs: number;
  nextTrialMs: number;
  /** Attempt of the running trial, if any. */
  trial: ids.AttemptId | undefined;
}

/** Recent outcomes by worker, counts by job and worker, and the quarantined workers. */
export interface Health {
  readonly outcomes: Map<ids.VmId, Outcome[]>;
  readonly endCounts: Map<ids.JobId, Map<ids.VmId, EndCounts>>;
  readonly quarantines: Map<ids.VmId, Quarantine>;
}

/** Creates empty tables. */
export function createHealth(): Health {
  return { outcomes: new Map(), endCounts: new Map(), quarantines: new Map() };
}

/** Returns whether a worker is quarantined. */
export function isQuarantined(health: Health, worker: ids.VmId): boolean {
  return health.quarantines.has(worker);
}

function countEnd(health: Health, worker: ids.VmId, outcome: Outcome): void {
  let byWorker = health.endCounts.get(outcome.job);
  if (byWorker === undefined) {
    byWorker = new Map();
    health.endCounts.set(outcome.job, byWorker);
  }
  const counts = byWorker.get(worker) ?? { ends: 0, failures: 0 };
  counts.ends += 1;
  if (outcome.failed) counts.failures += 1;
  byWorker.set(worker, counts);
}

/**
 * Returns whether a job has a higher failure rate on a worker than on the others that
 * aren't quarantined, or has no ends on those.
 */
function isFailingMoreThanElsewhere(
  health: Health,
  worker: ids.VmId,
  job: ids.JobId,
): boolean {
  const byWorker = health.endCounts.get(job);
  const here = byWorker?.get(worker);
  if (byWorker === undefined || here === undefined) return false;
  let ends = 0;
  let failures = 0;
  for (const [other, counts] of byWorker) {
    if (other === worker || isQuarantined(health, other)) continue;
    ends += counts.ends;
    failures += counts.failures;
  }
  // Without ends on other workers nothing suggests that the job itself is the cause.
  return ends === 0 || failures / ends < here.failures / here.ends;
}

function shouldQuarantine(
  health: Health,
  worker: ids.VmId,
  workers: number,
): boolean {
  if (isQuarantined(health, worker)) return false;
  if (health.quarantines.size + 1 > Math.floor(workers * MAX_QUARANTINED_SHARE))
    return false;
  const outcomes = health.outcomes.get(worker) ?? [];
  const failed = new Set<ids.JobId>();
  for (const outcome of outcomes) if (outcome.failed) failed.add(outcome.job);
  if (failed.size < MIN_FAILED_JOBS) return false;
  const failures = outcomes.filter((outcome) => outcome.failed).length;
  if (failures < outcomes.length * MIN_FAILURE_SHARE) return false;
  let implicatingJobs = 0;
  for (const job of failed)
    if (isFailingMoreThanElsewhere(health, worker, job)) implicatingJobs += 1;
  return implicatingJobs >= MIN_FAILED_JOBS;
}

/** Records the outcome of an attempt; returns true when its worker becomes quarantined. */
export function recordOutcome(
  health: Health,
  worker: ids.VmId,
  outcome: Outcome,
  workers: number,
  nowMs: number,
): boolean {
  const outcomes = health.outcomes.get(worker) ?? [];
  outcomes.push(outcome);
  if (outcomes.length > MAX_OUTCOMES) outcomes.shift();
  health.outcomes.set(worker, outcomes);
  countEnd(health, worker, outcome);
  if (!outcome.failed || !shouldQuarantine(health, worker, workers))
    return false;
  const nextTrialMs = nowMs + TRIAL_INTERVAL_MS;
  health.quarantines.set(worker, {
    sinceMs: nowMs,
    nextTrialMs,
    trial: undefined,
  });
  return true;
}

/** Applies the result of a trial, `open` if it showed nothing; returns true when the quarantine ends. */
export function finishTrial(
  health: Health,
  worker: ids.VmId,
  result: 'passed' | 'failed' | 'open',
  nowMs: number,
): boolean {
  const quarantine = health.quarantines.get(worker);
  if (quarantine === undefined) return false;
  quarantine.trial = undefined;
  quarantine.nextTrialMs = nowMs + TRIAL_INTERVAL_MS;
  if (result !== 'passed') return false;
  health.quarantines.delete(worker);
  health.outcomes.delete(worker);
  return true;
}

/** Lists the quarantined workers whose next trial is due. */
export function listTrials(health: Health, nowMs: number): ids.VmId[] {
  const due: ids.VmId[] = [];
  for (const [worker, quarantine] of health.quarantines)
    if (quarantine.trial === undefined && quarantine.nextTrialMs <= nowMs)
      due.push(worker);
  return due;
}

/** Drops the counts of a job that ended. */
export function dropJob(health: Health, job: ids.JobId): void {
  health.endCounts.delete(job);
}

/** Drops the outcomes and the quarantine of a worker that was removed. */
export function dropWorker(health: Health, worker: ids.VmId): void {
  health.outcomes.delete(worker);
  health.quarantines.delete(worker);
}
