/** Waiting in real time, and percentiles of what was waited for. */

const POLL_MS = 10;

/** Resolves after a real delay. */
export function waitMs(delayMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, delayMs));
}

/** Polls until `read` returns a value; throws when it doesn't within `limitMs`. */
export async function waitForValue<Value>(
  what: string,
  limitMs: number,
  read: () => Value | undefined,
): Promise<Value> {
  const startMs = performance.now();
  while (performance.now() - startMs < limitMs) {
    const value = read();
    if (value !== undefined) return value;
    await waitMs(POLL_MS);
  }
  throw new Error(`${what}: not within ${limitMs} ms`);
}

/** The value below which `share` of the values lie, by the nearest rank. */
export function selectPercentile(
  values: readonly number[],
  share: number,
): number {
  const sorted = [...values].sort((a, b) => a - b);
  const rank = Math.max(1, Math.ceil(share * sorted.length));
  return sorted[rank - 1] ?? NaN;
}
