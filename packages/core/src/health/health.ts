/**
 * Tells workers that fail everything from jobs that fail everywhere, by the last task
 * ends of each worker and by how the same jobs fare on other workers.
 */
import type * as ids from '../types/ids.js';

/** Number of last task ends of a worker that count. */
const OUTCOMES_KEPT = 20;
/** Different jobs that must have failed on a worker. */
const JOBS_TO_QUARANTINE = 3;
/** Share of the last task ends that must have failed. */
const FAILURES_TO_QUARANTINE = 0.5;
/** Largest share of the workers that may be quarantined. */
const QUARANTINE_SHARE = 0.2;
/** Time between trial tasks on a quarantined worker. */
const TRIAL_INTERVAL_MS = 30_000;

interface Outcome {
  readonly job: ids.JobId;
  readonly failed: boolean;
}

interface Tally {
  ends: number;
  failures: number;
}

/** Quarantine of one worker. */
export interface Quarantine {
  readonly sinceMs: number;
  nextTrialMs: number;
  /** Attempt of the trial that runs now. */
  trial: ids.AttemptId | undefined;
}

/** Outcomes by worker and job. */
export interface Health {
  readonly outcomes: Map<ids.VmId, Outcome[]>;
  readonly tallies: Map<ids.JobId, Map<ids.VmId, Tally>>;
  readonly quarantines: Map<ids.VmId, Quarantine>;
}

/** Creates a table without outcomes. */
export function createHealth(): Health {
  return { outcomes: new Map(), tallies: new Map(), quarantines: new Map() };
}

/** Tells whether a worker is quarantined. */
export function isQuarantined(health: Health, worker: ids.VmId): boolean {
  return health.quarantines.has(worker);
}

function recordTally(health: Health, worker: ids.VmId, outcome: Outcome): void {
  let byWorker = health.tallies.get(outcome.job);
  if (byWorker === undefined) {
    byWorker = new Map();
    health.tallies.set(outcome.job, byWorker);
  }
  const tally = byWorker.get(worker) ?? { ends: 0, failures: 0 };
  tally.ends += 1;
  if (outcome.failed) tally.failures += 1;
  byWorker.set(worker, tally);
}

/** A job accuses a worker when it fails there and not at the same rate elsewhere. */
function isAccusedBy(
  health: Health,
  worker: ids.VmId,
  job: ids.JobId,
): boolean {
  const byWorker = health.tallies.get(job);
  const here = byWorker?.get(worker);
  if (byWorker === undefined || here === undefined) return false;
  let ends = 0;
  let failures = 0;
  for (const [other, tally] of byWorker) {
    if (other === worker || isQuarantined(health, other)) continue;
    ends += tally.ends;
    failures += tally.failures;
  }
  // No end elsewhere says nothing for the worker, so the accusation stands.
  return ends === 0 || failures / ends < here.failures / here.ends;
}

function shouldQuarantine(
  health: Health,
  worker: ids.VmId,
  workers: number,
): boolean {
  if (isQuarantined(health, worker)) return false;
  if (health.quarantines.size + 1 > Math.floor(workers * QUARANTINE_SHARE))
    return false;
  const outcomes = health.outcomes.get(worker) ?? [];
  const failed = new Set<ids.JobId>();
  for (const outcome of outcomes) if (outcome.failed) failed.add(outcome.job);
  if (failed.size < JOBS_TO_QUARANTINE) return false;
  const failures = outcomes.filter((outcome) => outcome.failed).length;
  if (failures < outcomes.length * FAILURES_TO_QUARANTINE) return false;
  let accusers = 0;
  for (const job of failed) if (isAccusedBy(health, worker, job)) accusers += 1;
  return accusers >= JOBS_TO_QUARANTINE;
}

/** Records how an attempt ended; returns true when its worker becomes quarantined. */
export function recordOutcome(
  health: Health,
  worker: ids.VmId,
  outcome: Outcome,
  workers: number,
  nowMs: number,
): boolean {
  const outcomes = health.outcomes.get(worker) ?? [];
  outcomes.push(outcome);
  if (outcomes.length > OUTCOMES_KEPT) outcomes.shift();
  health.outcomes.set(worker, outcomes);
  recordTally(health, worker, outcome);
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

/** Ends a trial; returns true when the quarantine is over. */
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

/** Lists the quarantined workers that may run a trial task now. */
export function listTrials(health: Health, nowMs: number): ids.VmId[] {
  const due: ids.VmId[] = [];
  for (const [worker, quarantine] of health.quarantines)
    if (quarantine.trial === undefined && quarantine.nextTrialMs <= nowMs)
      due.push(worker);
  return due;
}

/** Drops what is known of a job that ended. */
export function dropJob(health: Health, job: ids.JobId): void {
  health.tallies.delete(job);
}

/** Drops what is known of a worker that is gone. */
export function dropWorker(health: Health, worker: ids.VmId): void {
  health.outcomes.delete(worker);
  health.quarantines.delete(worker);
}
