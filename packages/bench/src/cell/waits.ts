/** Waits in real time, and percentiles of measured times. */

const POLL_MS = 10;

/** Resolves after a delay in real time. */
export function waitMs(delayMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, delayMs));
}

/** Polls until `getValue` returns a value; throws when it returns none within `timeoutMs`. */
export async function waitForValue<Value>(
  description: string,
  timeoutMs: number,
  getValue: () => Value | undefined,
): Promise<Value> {
  const startMs = performance.now();
  while (performance.now() - startMs < timeoutMs) {
    const value = getValue();
    if (value !== undefined) return value;
    await waitMs(POLL_MS);
  }
  throw new Error(
    `timed out after ${timeoutMs} ms while waiting for ${description}`,
  );
}

/** Returns the percentile `share` (0 to 1) by nearest rank; NaN for an empty list. */
export function selectPercentile(
  values: readonly number[],
  share: number,
): number {
  const sorted = [...values].sort((a, b) => a - b);
  const rank = Math.max(1, Math.ceil(share * sorted.length));
  return sorted[rank - 1] ?? NaN;
}
