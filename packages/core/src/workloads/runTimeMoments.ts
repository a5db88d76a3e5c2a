/**
 * Means and variances of logarithms by key, over the steps of a queue, and how they are
 * combined with other sources in proportion to their accuracy.
 */

/** Number of measured steps at which a learned value counts as much as the one that it is shrunk towards. */
const SHRINKAGE_STEPS = 4;
/** Number of steps that a key remembers; older ones lose weight as others are added. */
const MAX_KEY_STEPS = 100;
/** Smallest variance that is assumed of a source; more accuracy than 5% is not needed. */
export const MIN_VARIANCE = 0.05 ** 2;
/** Maximum number of keys; the least recently used one is removed. */
const MAX_KEYS = 2_000;

/** Weighted moments of a logarithm, over steps. */
export interface Moments {
  weight: number;
  sum: number;
  squares: number;
  /** Weighted sum of the reciprocal of the number of tasks behind each value. */
  noise: number;
}

/** A normal distribution of the logarithm of a time in ms. */
export interface Belief {
  readonly log: number;
  readonly variance: number;
}

/** Combines two independent beliefs. */
export function mergeBeliefs(a: Belief, b: Belief): Belief {
  const precision = 1 / a.variance + 1 / b.variance;
  return {
    log: (a.log / a.variance + b.log / b.variance) / precision,
    variance: 1 / precision,
  };
}

/** Returns the mean and variance of a key, shrunk towards those of a coarser one. */
export function mergeMoments(
  moments: Moments | undefined,
  base: Belief,
  noise: number,
): Belief {
  if (moments === undefined || moments.weight === 0) return base;
  const own = measureMoments(moments, noise);
  const share = moments.weight / (moments.weight + SHRINKAGE_STEPS);
  const log = base.log + share * (own.log - base.log);
  return {
    log,
    variance: Math.max(
      MIN_VARIANCE,
      share * (own.variance + (own.log - log) ** 2) +
        (1 - share) * base.variance,
    ),
  };
}

/** Returns the mean and variance between the steps of a key; `noise` is the variance between the tasks of a step. */
export function measureMoments(moments: Moments, noise: number): Belief {
  const log = moments.sum / moments.weight;
  const variance = moments.squares / moments.weight - log ** 2;
  return {
    log,
    // The noise of single tasks is no difference between steps.
    variance: Math.max(
      MIN_VARIANCE,
      variance - (noise * moments.noise) / moments.weight,
    ),
  };
}

/** Adds the median of a step, or part of its weight, to a key; `tasks` is the number of samples behind it. */
export function addMoment(
  keys: Map<string, Moments>,
  key: string,
  value: number,
  weight: number,
  tasks: number,
): void {
  const moments = keys.get(key) ?? {
    weight: 0,
    sum: 0,
    squares: 0,
    noise: 0,
  };
  // Keys are kept in the order of their last use.
  keys.delete(key);
  keys.set(key, moments);
  if (keys.size > MAX_KEYS)
    for (const oldest of keys.keys()) {
      keys.delete(oldest);
      break;
    }
  moments.weight += weight;
  moments.sum += weight * value;
  moments.squares += weight * value ** 2;
  moments.noise += weight / tasks;
  if (moments.weight <= MAX_KEY_STEPS) return;
  const factor = MAX_KEY_STEPS / moments.weight;
  moments.weight *= factor;
  moments.sum *= factor;
  moments.squares *= factor;
  moments.noise *= factor;
}
