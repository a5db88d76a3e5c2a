/** Exponential back-off with jitter. */

/** Delays between retries. */
export interface Backoff {
  /** Returns the next delay in ms; each is up to twice as long as the one before. */
  next(): number;
  /** Starts again with the shortest delay, after a success. */
  reset(): void;
}

/**
 * Creates a back-off from `firstMs` to `maxMs`. `random` returns numbers from 0 to 1;
 * each delay is between a half and the whole of its step, so processes that failed
 * together don't retry together.
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
