/**
 * Order of service. Answers bursts of one kind of work: strict order of arrival lets
 * a burst push every later job past its objective, and pure least slack first spends
 * the room on jobs that are late already. Jobs that can still meet their objective
 * go first, by priority and then by objective; late ones follow. Behind a steady load
 * a late job would wait for ever, so in each pool one of them at a time keeps its own
 * place while it is still worth something.
 */
import type * as types from './types.js';
import * as tables from './tables.js';

/** VMs that a step asks advice about at the least, for the estimate of its chain. */
const ADVISED_VMS = 30;
/** Objectives after which a job is worth nothing to its caller. */
const WORTHLESS_OBJECTIVES = 3;
/** Priorities by which late and worthless jobs are put back. */
const LATE_PENALTY = 2;
const WORTHLESS_PENALTY = 3;

/** A step with waiting tasks and its place in the order. */
export interface RankedStep {
  readonly step: tables.StepRow;
  readonly rank: number;
  readonly objectiveMs: number;
  /** Late, but worth something until this time; undefined otherwise. */
  readonly lateUntilMs: number | undefined;
}

/** Expected time of advice about a number of VMs, in ms. */
export function estimateAdviceMs(
  policy: types.AdvicePolicy | undefined,
  vms: number,
): number {
  return policy === undefined ? 0 : policy.fixedMs + policy.perVmMs * vms;
}

/** Longest chain of work of a job's steps, in ms; `isLeft` tells which steps count. */
export function estimateChainMs(
  specs: readonly types.StepSpec[],
  advice: types.AdvicePolicy | undefined,
  isLeft: (index: number) => boolean,
): number {
  const adviceMs = estimateAdviceMs(advice, ADVISED_VMS);
  const ends: number[] = [];
  specs.forEach((spec, index) => {
    const before = Math.max(0, ...spec.after.map((other) => ends[other] ?? 0));
    ends.push(before + (isLeft(index) ? spec.estimateMs + adviceMs : 0));
  });
  return Math.max(0, ...ends);
}

/** Monotonic time of the objective of an occurrence. */
export function computeObjective(occurrence: tables.OccurrenceRow): number {
  const { job, policy } = occurrence.job;
  const chainMs = estimateChainMs(job.steps, policy.advice, () => true);
  return occurrence.dueMs + policy.stretch * chainMs + policy.slackMs;
}

/** Ranks a step. Smaller ranks go first. */
export function rankStep(step: tables.StepRow, nowMs: number): RankedStep {
  const { occurrence } = step;
  const { policy } = occurrence.job;
  const objectiveMs = computeObjective(occurrence);
  const leftMs = estimateChainMs(
    occurrence.job.job.steps,
    undefined,
    (index) => {
      const row = occurrence.steps[index];
      return row !== undefined && row.doneCount < row.spec.count;
    },
  );
  const lasts = step.spec.lasts;
  const worthlessMs =
    occurrence.dueMs + WORTHLESS_OBJECTIVES * (objectiveMs - occurrence.dueMs);
  const expectedMs = nowMs + leftMs;
  const late = !lasts && expectedMs > objectiveMs;
  const worthless = !lasts && expectedMs > worthlessMs;
  let penalty = 0;
  if (late) penalty = LATE_PENALTY;
  if (worthless) penalty = WORTHLESS_PENALTY;
  return {
    step,
    rank: policy.priority + penalty,
    objectiveMs,
    lateUntilMs: late && !worthless ? worthlessMs : undefined,
  };
}

/** Gives the late job of each pool that is worthless first its own place in the order. */
export function placeLate(ranked: readonly RankedStep[]): RankedStep[] {
  const rescued = new Map<types.PoolName, RankedStep>();
  for (const entry of ranked) {
    if (entry.lateUntilMs === undefined) continue;
    const { pool } = entry.step.occurrence.job.policy;
    const other = rescued.get(pool)?.lateUntilMs ?? Infinity;
    if (entry.lateUntilMs < other) rescued.set(pool, entry);
  }
  return ranked.map((entry) => {
    const { occurrence } = entry.step;
    const { pool, priority } = occurrence.job.policy;
    return rescued.get(pool)?.step.occurrence === occurrence
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
