/**
 * How long an append may take before it is sent again. A store that is slow answers
 * later the more it is asked, so each repeat waits twice as long, and a short first
 * wait finds a connection that has gone silent.
 */

/** First wait, in ms: far above an answer of a sound store in another region. */
const FIRST_MS = 700;
/** Longest wait, in ms: the store itself refuses what would wait longer. */
const LONGEST_MS = 2_600;

/** Waits of one writer. */
export interface Patience {
  readonly readTimeout: () => number;
  /** Notes an append that was answered, and how long that took. */
  readonly noteAnswer: (tookMs: number) => void;
  readonly noteSilence: () => void;
}

/** Creates the waits of a writer. */
export function createPatience(): Patience {
  let timeoutMs = FIRST_MS;
  return {
    readTimeout: () => timeoutMs,
    noteAnswer(tookMs) {
      timeoutMs = Math.min(LONGEST_MS, Math.max(FIRST_MS, tookMs * 3));
    },
    noteSilence() {
      timeoutMs = Math.min(LONGEST_MS, timeoutMs * 2);
    },
  };
}
