/**
 * How long answers are waited for. A store that is slow answers later the more it is
 * asked, so each repeat of an append waits twice as long, and a short first wait finds
 * a connection that has gone silent. VMs answer orders quickly or not at all, so an
 * order waits a few times as long as recent ones took.
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

/** Bounds of the wait for the answer to an order, in ms. */
const SHORTEST_ORDER_MS = 250;
const LONGEST_ORDER_MS = 1_000;
/** The wait is this many times the slowest recent answer, and a constant for pauses of this process, in ms. */
const ORDER_FACTOR = 3;
const ORDER_MARGIN_MS = 100;
/** What the slowest recent answer counts after one more. */
const SLOWEST_FADE = 0.98;
/** Orders in a row without an answer from which VMs count as slow rather than answers as lost. */
const SILENCES_OF_SLOW = 3;
/** Share of such a wait that counts as an answer's time. */
const SILENCE_SHARE = 0.5;

/** Waits for the answers to orders. */
export interface OrderPatience {
  readonly readTimeout: () => number;
  readonly noteAnswer: (tookMs: number) => void;
  /** Notes an order without an answer; the VMs may have become slower. */
  readonly noteSilence: () => void;
}

/** Creates the waits for orders. */
export function createOrderPatience(): OrderPatience {
  let slowestMs = 0;
  let silences = 0;
  const readTimeout = () =>
    Math.min(
      LONGEST_ORDER_MS,
      Math.max(SHORTEST_ORDER_MS, slowestMs * ORDER_FACTOR + ORDER_MARGIN_MS),
    );
  return {
    readTimeout,
    noteAnswer(tookMs) {
      silences = 0;
      slowestMs = Math.max(tookMs, slowestMs * SLOWEST_FADE);
    },
    noteSilence() {
      silences += 1;
      if (silences >= SILENCES_OF_SLOW)
        slowestMs = Math.max(slowestMs, readTimeout() * SILENCE_SHARE);
    },
  };
}

/** How long a hold waits at a VM for an end, in ms: leases are renewed four times in their length. */
const HOLD_WAIT_MS = 1_500;
/** The same while answers are being lost: a lost one hides all ends of its VM for this time. */
const LOSSY_WAIT_MS = 500;
/** Time after a lost answer for which more are expected, in ms: such troubles last seconds. */
const LOSSY_MEMORY_MS = 6_000;

/** Waits of holds at all VMs. */
export interface HoldPatience {
  readonly readWait: (nowMs: number) => number;
  /** Notes a hold that got no answer. */
  readonly noteSilence: (nowMs: number) => void;
}

/** Creates the waits of holds. */
export function createHoldPatience(): HoldPatience {
  let silentAtMs = -Infinity;
  return {
    readWait: (nowMs) =>
      nowMs - silentAtMs < LOSSY_MEMORY_MS ? LOSSY_WAIT_MS : HOLD_WAIT_MS,
    noteSilence(nowMs) {
      silentAtMs = nowMs;
    },
  };
}
