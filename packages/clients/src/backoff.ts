/** Exponential backoff with jitter. */

/** A sequence of delays between retries. */
export interface Backoff {
  /** Returns the next delay in ms; the delay before jitter doubles with each call, up to the maximum. */
  next(): number;
  /** Restarts at the shortest delay; called after a success. */
  reset(): void;
}

/**
 * Creates a backoff from `firstMs` to `maxMs`. `random` returns numbers from 0 to 1.
 * Each delay is between 50% and 100% of its step, so that processes whose requests
 * failed at the same time don't retry at the same time.
 */
export function createBackoff(
  firstMs: number,
  maxMs: number,
  random: () => number,
): Backoff {
  let stepMs = firstMs;
  return {
    next() {
      const delayMs = stepMs * (0.5 + 0.5 * random());
      stepMs = Math.min(maxMs, stepMs * 2);
      return delayMs;
    },
    reset() {
      stepMs = firstMs;
    },
  };
}
