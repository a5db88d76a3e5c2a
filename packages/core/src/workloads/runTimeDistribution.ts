/**
 * Distribution of the time of one task around the median of its step: a lognormal
 * distribution for most tasks and a second one, at a multiple of the median, for the
 * stragglers.
 */

/** Time of a straggler relative to the median of its step. */
const STRAGGLER_TIME_FACTOR = 7;
/** Factor by which the logistic distribution approximates the normal one, with an error below 0.01. */
const LOGISTIC_FACTOR = 1.702;

/** Spread of the tasks of a step and share of stragglers among them. */
export interface Shape {
  /** Standard deviation of the logarithm of the time. */
  readonly spread: number;
  /** Share of the tasks, 0 to 1. */
  readonly stragglers: number;
}

/** Computes the time that a share of the tasks, 0 to 1, takes at most, in ms. */
export function computeQuantile(
  medianMs: number,
  share: number,
  shape: Shape,
): number {
  // The distribution has two components, so the quantile is found by bisection.
  let lowMs = medianMs / 100;
  let highMs = medianMs * 100;
  for (let round = 0; round < 30; round += 1) {
    const middleMs = Math.sqrt(lowMs * highMs);
    const { usual, slow } = computeParts(medianMs, middleMs, shape);
    if (usual + slow > 1 - share) lowMs = middleMs;
    else highMs = middleMs;
  }
  return highMs;
}

/** Computes the shares of usual tasks and of stragglers that take longer than a time. */
function computeParts(
  medianMs: number,
  timeMs: number,
  { spread, stragglers }: Shape,
): { readonly usual: number; readonly slow: number } {
  const slowMs = medianMs * STRAGGLER_TIME_FACTOR;
  return {
    usual:
      (1 - stragglers) * computeAbove(Math.log(timeMs / medianMs) / spread),
    slow: stragglers * computeAbove(Math.log(timeMs / slowMs) / spread),
  };
}

/** Computes the expected remaining time of a run of some age, from its age alone, in ms. */
export function computeRemaining(
  medianMs: number,
  ranMs: number,
  shape: Shape,
): number {
  if (ranMs <= 0) return medianMs;
  const slowMs = medianMs * STRAGGLER_TIME_FACTOR;
  const { usual, slow } = computeParts(medianMs, ranMs, shape);
  const share = usual + slow > 0 ? slow / (usual + slow) : 1;
  return (
    (1 - share) * computeRest(medianMs, ranMs, shape.spread) +
    share * computeRest(slowMs, ranMs, shape.spread)
  );
}

/** Approximates the median of the remaining time of a run, given its age, for one component of the distribution. */
function computeRest(medianMs: number, ranMs: number, spread: number): number {
  const z = Math.log(ranMs / medianMs) / spread;
  // The median of what is above z, by the logistic approximation of the normal distribution.
  const above = computeAbove(z) / 2;
  const middle = Math.log((1 - above) / above) / LOGISTIC_FACTOR;
  return Math.max(0, medianMs * Math.exp(spread * middle) - ranMs);
}

/** Approximates the share of a standard normal distribution above a value. */
function computeAbove(z: number): number {
  return 1 / (1 + Math.exp(LOGISTIC_FACTOR * Math.min(z, 20)));
}
