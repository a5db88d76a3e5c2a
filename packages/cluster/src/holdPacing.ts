/**
 * Paces the holds to a VM that answers before the wait of a hold is over. A sound VM does
 * so when it lists a new end. A server that always does would be called without a pause.
 */

/**
 * Early answers without a new end in a row that are followed by another hold at once. A sound
 * VM repeats an end that becomes durable, or that a poll has learned, while the hold is on its way.
 */
const MAX_REPEATED = 20;
/** Delay after a further one, in ms; it doubles with each of them. */
const REPEATED_DELAY_MS = 100;
const MAX_REPEATED_DELAY_MS = 1_000;
/** Early answers that are followed by another hold at once: on average, and in a burst. */
const MAX_EARLY_PER_S = 50;
const EARLY_BURST = 50;
/** Share of the wait after which an answer isn't early; the clock of the VM may be slower. */
const EARLY_SHARE = 1 / 2;
const MS_PER_S = 1_000;

/** An answer to a hold. */
export interface HoldAnswer {
  readonly askedMs: number;
  readonly answeredMs: number;
  readonly waitMs: number;
  readonly hasNewEnd: boolean;
}

/** The pace of the holds of one session. */
export interface HoldPacing {
  /** Records an answer and returns the delay before the next hold, in ms. */
  recordAnswer(answer: HoldAnswer): number;
}

/** Creates the pace. */
export function createHoldPacing(): HoldPacing {
  let repeated = 0;
  let tokens = EARLY_BURST;
  let refilledMs = -Infinity;

  function takeToken(nowMs: number): number {
    const refill = ((nowMs - refilledMs) * MAX_EARLY_PER_S) / MS_PER_S;
    tokens = Math.min(EARLY_BURST, tokens + refill) - 1;
    refilledMs = nowMs;
    return tokens >= 0 ? 0 : MS_PER_S / MAX_EARLY_PER_S;
  }

  return {
    recordAnswer({ askedMs, answeredMs, waitMs, hasNewEnd }) {
      const isEarly = answeredMs - askedMs < waitMs * EARLY_SHARE;
      repeated = isEarly && !hasNewEnd ? repeated + 1 : 0;
      if (!isEarly) return 0;
      return Math.max(takeToken(answeredMs), computeRepeatedDelay(repeated));
    },
  };
}

function computeRepeatedDelay(repeated: number): number {
  if (repeated <= MAX_REPEATED) return 0;
  return Math.min(
    REPEATED_DELAY_MS * 2 ** (repeated - MAX_REPEATED - 1),
    MAX_REPEATED_DELAY_MS,
  );
}
