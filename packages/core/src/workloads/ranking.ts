/**
 * Order in which steps get room. First come, first served would let a burst push every
 * later job past its objective, and least slack first would spend the room on jobs that
 * miss theirs anyway. Steps that can still meet their objective come first, by priority
 * and then by objective; overdue ones follow. Under a steady load an overdue job would
 * starve, so one overdue job per pool at a time keeps its priority until it expires,
 * that is, until its result is worth nothing to its caller.
 */
import * as runTimes from './runTimes.js';
import type * as types from './types.js';
import * as tables from './tables.js';

/** Number of VMs in an advice request that is assumed in the estimate of a chain of steps. */
const ESTIMATED_ADVICE_VMS = 30;
/** A job expires after this multiple of the time that its objective allows. */
const EXPIRY_FACTOR = 3;
/** Number of priority levels by which overdue and expired jobs are ranked lower. */
const OVERDUE_PENALTY = 2;
const EXPIRED_PENALTY = 3;

/** A step with waiting tasks and its rank. */
export interface RankedStep {
  readonly step: tables.StepRow;
  readonly rank: number;
  readonly objectiveMs: number;
  /** Time at which an overdue step expires; undefined when it isn't overdue or has expired. */
  readonly overdueExpiryMs: number | undefined;
}

/** Estimates the service time of an advice request about a number of VMs, in ms. */
export function estimateAdviceMs(
  policy: types.AdvicePolicy | undefined,
  vms: number,
): number {
  return policy === undefined ? 0 : policy.fixedMs + policy.perVmMs * vms;
}

/** Estimates the longest chain of dependent steps, in ms. Steps for which `isLeft` is false take no time. */
function estimateChainMs(
  times: runTimes.RunTimes,
  steps: readonly tables.StepRow[],
  advice: types.AdvicePolicy | undefined,
  isLeft: (step: tables.StepRow) => boolean,
  nowMs: number,
): number {
  const adviceMs = estimateAdviceMs(advice, ESTIMATED_ADVICE_VMS);
  const endsMs: number[] = [];
  for (const step of steps) {
    const startMs = Math.max(
      0,
      ...step.spec.after.map((dependency) => endsMs[dependency] ?? 0),
    );
    const takesMs = isLeft(step)
      ? runTimes.estimateStepMs(times, step, nowMs) + adviceMs
      : 0;
    endsMs.push(startMs + takesMs);
  }
  return Math.max(0, ...endsMs);
}

/** Returns the monotonic time by which an occurrence should be done. */
export function computeObjectiveMs(
  times: runTimes.RunTimes,
  occurrence: tables.OccurrenceRow,
  nowMs: number,
): number {
  const { policy } = occurrence.job;
  const chainMs = estimateChainMs(
    times,
    occurrence.steps,
    policy.advice,
    () => true,
    nowMs,
  );
  return occurrence.dueMs + policy.stretch * chainMs + policy.slackMs;
}

/** Ranks a step; a lower rank comes first. */
export function rankStep(
  times: runTimes.RunTimes,
  step: tables.StepRow,
  nowMs: number,
): RankedStep {
  const { occurrence } = step;
  const { policy } = occurrence.job;
  const objectiveMs = computeObjectiveMs(times, occurrence, nowMs);
  const leftMs = estimateChainMs(
    times,
    occurrence.steps,
    undefined,
    (row) => row.doneCount < row.spec.count,
    nowMs,
  );
  const lasts = step.spec.lasts;
  const expiryMs =
    occurrence.dueMs + EXPIRY_FACTOR * (objectiveMs - occurrence.dueMs);
  const expectedEndMs = nowMs + leftMs;
  const overdue = !lasts && expectedEndMs > objectiveMs;
  const expired = !lasts && expectedEndMs > expiryMs;
  let penalty = 0;
  if (overdue) penalty = OVERDUE_PENALTY;
  if (expired) penalty = EXPIRED_PENALTY;
  return {
    step,
    rank: policy.priority + penalty,
    objectiveMs,
    overdueExpiryMs: overdue && !expired ? expiryMs : undefined,
  };
}

/** In each pool, gives the overdue job that expires first its own priority as rank. */
export function rankOverdue(ranked: readonly RankedStep[]): RankedStep[] {
  const promoted = new Map<types.PoolName, RankedStep>();
  for (const entry of ranked) {
    if (entry.overdueExpiryMs === undefined) continue;
    const { pool } = entry.step.occurrence.job.policy;
    const earliestMs = promoted.get(pool)?.overdueExpiryMs ?? Infinity;
    if (entry.overdueExpiryMs < earliestMs) promoted.set(pool, entry);
  }
  return ranked.map((entry) => {
    const { occurrence } = entry.step;
    const { pool, priority } = occurrence.job.policy;
    return promoted.get(pool)?.step.occurrence === occurrence
      ? { ...entry, rank: priority }
      : entry;
  });
}

/** Orders ranked steps. */
export function compareRanked(a: RankedStep, b: RankedStep): number {
  return (
    a.rank - b.rank ||
    a.objectiveMs - b.objectiveMs ||
    a.step.index - b.step.index
  );
}
