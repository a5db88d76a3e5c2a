/**
 * Order in which steps get room. First come, first served would let a burst push every
 * later job past its objective, and least slack first would spend the room on jobs that
 * miss theirs anyway. Steps that can still meet their objective come first, by priority
 * and then by objective; overdue ones follow. Under a steady load an overdue job would
 * starve, so one overdue job per pool at a time keeps its priority until it expires,
 * that is, until its result is worth nothing to its caller. Excess jobs of a workspace
 * come after all others, and in a full pool, steps of one rank go by the shares of their
 * workspaces; one excess job per pool at a time is promoted too once its objective has passed.
 */
import * as placement from './placement.js';
import * as runTimes from './runTimes.js';
import * as shares from './shares.js';
import type * as states from './state.js';
import type * as types from './types.js';
import * as tables from './tables.js';
import * as waits from './waits.js';
import * as workspaceLimits from './workspaceLimits.js';

/** Number of VMs in an advice request that is assumed in the estimate of a chain of steps. */
const ESTIMATED_ADVICE_VMS = 30;
/** A job expires after this multiple of the time that its objective allows. */
const EXPIRY_FACTOR = 3;
/** Number of priority levels by which overdue and expired jobs are ranked lower. */
const OVERDUE_PENALTY = 2;
const EXPIRED_PENALTY = 3;
/** Minimum time between promotions of excess jobs in a pool, in ms. Without it, a backlog would come before all jobs within their rate. */
const EXCESS_INTERVAL_MS = 2_000;
/** Time after which another excess job is promoted although the last one still waits, in ms: it may need a VM that isn't there. */
const MAX_EXCESS_PROMOTION_MS = 10_000;
/** Time after which another excess job is promoted although the last one is a gang with reserved VMs, in ms: twice the 30 s of a long task. With 10 s, a gang loses its VMs before the last of them is ready. */
const MAX_EXCESS_GANG_PROMOTION_MS = 60_000;

/** A step with waiting tasks and its rank. */
export interface RankedStep {
  readonly step: tables.StepRow;
  /** Whether its job is excess and not promoted. */
  readonly isExcess: boolean;
  readonly rank: number;
  readonly turn: shares.Turn;
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
    // An overdue service task has to run wherever there is room, whoever submitted it.
    isExcess: occurrence.job.excess && !waits.isServiceOverdue(step, nowMs),
    rank: policy.priority + penalty,
    turn: shares.USUAL_TURN,
    objectiveMs,
    overdueExpiryMs: overdue && !expired ? expiryMs : undefined,
  };
}

/** Adds what the shares of the workspaces decide to ranked steps. Overdue services are left out: they are never promoted, so they would starve. */
export function rankByShares(
  state: states.State,
  ranked: readonly RankedStep[],
  nowMs: number,
): readonly RankedStep[] {
  if (state.workspaces.size === 0) return ranked;
  return ranked.map((entry) =>
    waits.isServiceOverdue(entry.step, nowMs)
      ? entry
      : { ...entry, turn: shares.findTurn(state, entry.step.occurrence.job) },
  );
}

/** An occurrence of an excess job that comes before those of jobs within their rate. */
export interface PromotedExcess {
  readonly occurrence: tables.OccurrenceRow;
  readonly sinceMs: number;
  /** Occurrences that have been promoted since all late ones had been. */
  readonly served: WeakSet<tables.OccurrenceRow>;
}

/**
 * In each pool, gives the overdue job that expires first its own priority as rank, whatever
 * its workspace uses, and likewise one excess job whose objective has passed. If the limit
 * of its workspace keeps that overdue job from starting, the first one that it doesn't
 * keep has its own priority as well.
 */
export function rankOverdue(
  state: states.State,
  ranked: readonly RankedStep[],
  nowMs: number,
): RankedStep[] {
  const promoted = findEarliestOverdue(ranked, () => true);
  const startable =
    state.workspaceAccounts.size === 0
      ? promoted
      : findEarliestOverdue(ranked, ({ step }) =>
          workspaceLimits.isWithinLimit(step),
        );
  updatePromotedExcess(state, ranked, nowMs);
  return ranked.map((entry) => {
    const { occurrence } = entry.step;
    const { pool, priority } = occurrence.job.policy;
    return promoted.get(pool)?.step.occurrence === occurrence ||
      startable.get(pool)?.step.occurrence === occurrence ||
      state.promotedExcess.get(pool)?.occurrence === occurrence
      ? {
          ...entry,
          isExcess: false,
          rank: priority,
          turn: shares.USUAL_TURN,
        }
      : entry;
  });
}

/** Finds the overdue step of each pool that expires first among those for which `isCounted` holds. */
function findEarliestOverdue(
  ranked: readonly RankedStep[],
  isCounted: (entry: RankedStep) => boolean,
): ReadonlyMap<types.PoolName, RankedStep> {
  const found = new Map<types.PoolName, RankedStep>();
  for (const entry of ranked) {
    if (entry.isExcess || entry.overdueExpiryMs === undefined) continue;
    const { pool } = entry.step.occurrence.job.policy;
    const earliestMs = found.get(pool)?.overdueExpiryMs ?? Infinity;
    if (entry.overdueExpiryMs < earliestMs && isCounted(entry))
      found.set(pool, entry);
  }
  return found;
}

/** In each pool, promotes the excess occurrence with the earliest objective, each once before the next turn of all. */
function updatePromotedExcess(
  state: states.State,
  ranked: readonly RankedStep[],
  nowMs: number,
): void {
  const pools = new Set<types.PoolName>();
  const waiting = new Set<tables.OccurrenceRow>();
  const earliest = new Map<types.PoolName, RankedStep>();
  for (const entry of ranked) {
    const { occurrence } = entry.step;
    const { pool } = occurrence.job.policy;
    if (!entry.isExcess || entry.objectiveMs >= nowMs) continue;
    pools.add(pool);
    waiting.add(occurrence);
    if (state.promotedExcess.get(pool)?.served.has(occurrence) === true)
      continue;
    const earliestMs = earliest.get(pool)?.objectiveMs ?? Infinity;
    if (entry.objectiveMs < earliestMs) earliest.set(pool, entry);
  }
  for (const pool of pools) {
    const last = state.promotedExcess.get(pool);
    const next = earliest.get(pool)?.step.occurrence;
    if (last !== undefined) {
      if (isPromotionKept(state, last, waiting, nowMs)) continue;
      if (next === undefined)
        state.promotedExcess.set(pool, { ...last, served: new WeakSet() });
    }
    if (next === undefined) continue;
    const served = last?.served ?? new WeakSet();
    served.add(next);
    state.promotedExcess.set(pool, {
      occurrence: next,
      sinceMs: nowMs,
      served,
    });
  }
}

/** Returns whether a promoted excess occurrence comes before others for longer. */
function isPromotionKept(
  state: states.State,
  { occurrence, sinceMs }: PromotedExcess,
  waiting: ReadonlySet<tables.OccurrenceRow>,
  nowMs: number,
): boolean {
  const ageMs = nowMs - sinceMs;
  if (!waiting.has(occurrence)) return ageMs < EXCESS_INTERVAL_MS;
  if (ageMs < MAX_EXCESS_PROMOTION_MS) return true;
  if (ageMs >= MAX_EXCESS_GANG_PROMOTION_MS) return false;
  for (const vm of state.vms.values()) {
    const reserved = placement.getReservedStep(vm, nowMs);
    if (reserved?.spec.gang === true && reserved.occurrence === occurrence)
      return true;
  }
  return false;
}

/** Orders ranked steps. */
export function compareRanked(a: RankedStep, b: RankedStep): number {
  return (
    Number(a.isExcess) - Number(b.isExcess) ||
    a.rank - b.rank ||
    Number(a.turn.isAboveShare) - Number(b.turn.isAboveShare) ||
    a.turn.workspacePriority - b.turn.workspacePriority ||
    a.objectiveMs - b.objectiveMs ||
    a.step.index - b.step.index
  );
}
