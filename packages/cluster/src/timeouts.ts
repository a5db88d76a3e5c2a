/**
 * Adaptive timeouts. An overloaded store gets slower with more requests, so the timeout
 * of an append doubles with each retry; the short first one detects an unresponsive
 * connection. VMs answer orders quickly or not at all, so the timeout of an order is a
 * small multiple of recent answer times.
 */

/** Shortest and first timeout of an append, in ms; far above the answer time of a healthy store in another region. */
const MIN_APPEND_TIMEOUT_MS = 700;
/** Longest timeout of an append, in ms; the store itself refuses requests that would wait longer. */
const MAX_APPEND_TIMEOUT_MS = 2_600;

/** Timeout of the appends of one writer. */
export interface AppendTimeout {
  readonly getMs: () => number;
  /** Adapts the timeout to an append that was answered after `tookMs`. */
  readonly recordAnswer: (tookMs: number) => void;
  readonly recordNoAnswer: () => void;
}

/** Creates the append timeout of a writer. */
export function createAppendTimeout(): AppendTimeout {
  let timeoutMs = MIN_APPEND_TIMEOUT_MS;
  return {
    getMs: () => timeoutMs,
    recordAnswer(tookMs) {
      timeoutMs = Math.min(
        MAX_APPEND_TIMEOUT_MS,
        Math.max(MIN_APPEND_TIMEOUT_MS, tookMs * 3),
      );
    },
    recordNoAnswer() {
      timeoutMs = Math.min(MAX_APPEND_TIMEOUT_MS, timeoutMs * 2);
    },
  };
}

/** Bounds of the timeout of an order, in ms. */
const MIN_ORDER_TIMEOUT_MS = 250;
const MAX_ORDER_TIMEOUT_MS = 1_000;
/** The timeout is a multiple of the slowest recent answer time plus a margin for pauses of this process, in ms. */
const ORDER_TIMEOUT_FACTOR = 3;
const ORDER_TIMEOUT_MARGIN_MS = 100;
/** Factor by which the slowest recent answer time decays with each further answer. */
const SLOWEST_ANSWER_DECAY = 0.98;
/** Consecutive orders without an answer from which VMs count as slow; fewer count as lost answers. */
const UNANSWERED_ORDERS_LIMIT = 3;
/** Share of the timeout that then counts as an answer time. */
const NO_ANSWER_TIME_SHARE = 0.5;

/** Timeout of orders to VMs. */
export interface OrderTimeout {
  readonly getMs: () => number;
  readonly recordAnswer: (tookMs: number) => void;
  /** Records an order without an answer; several in a row raise the timeout. */
  readonly recordNoAnswer: () => void;
}

/** Creates the timeout of orders. */
export function createOrderTimeout(): OrderTimeout {
  let slowestAnswerMs = 0;
  let unansweredOrders = 0;
  const getMs = () =>
    Math.min(
      MAX_ORDER_TIMEOUT_MS,
      Math.max(
        MIN_ORDER_TIMEOUT_MS,
        slowestAnswerMs * ORDER_TIMEOUT_FACTOR + ORDER_TIMEOUT_MARGIN_MS,
      ),
    );
  return {
    getMs,
    recordAnswer(tookMs) {
      unansweredOrders = 0;
      slowestAnswerMs = Math.max(
        tookMs,
        slowestAnswerMs * SLOWEST_ANSWER_DECAY,
      );
    },
    recordNoAnswer() {
      unansweredOrders += 1;
      if (unansweredOrders >= UNANSWERED_ORDERS_LIMIT)
        slowestAnswerMs = Math.max(
          slowestAnswerMs,
          getMs() * NO_ANSWER_TIME_SHARE,
        );
    },
  };
}

/** Longest wait of a hold at a VM for an end, in ms; a lease is renewed four times within its duration. */
const HOLD_WAIT_MS = 1_500;
/** The same while answers are being lost, in ms; a lost answer hides all ends of its VM for this time. */
const LOSSY_HOLD_WAIT_MS = 500;
/** Time after a missing answer during which more are expected to be lost, in ms; such faults last seconds. */
const LOSSY_PERIOD_MS = 6_000;

/** Wait of holds, shared by the sessions of all VMs. */
export interface HoldWait {
  readonly getMs: (nowMs: number) => number;
  /** Records a hold without an answer. */
  readonly recordNoAnswer: (nowMs: number) => void;
}

/** Creates the wait of holds. */
export function createHoldWait(): HoldWait {
  let lastNoAnswerMs = -Infinity;
  return {
    getMs: (nowMs) =>
      nowMs - lastNoAnswerMs < LOSSY_PERIOD_MS
        ? LOSSY_HOLD_WAIT_MS
        : HOLD_WAIT_MS,
    recordNoAnswer(nowMs) {
      lastNoAnswerMs = nowMs;
    },
  };
}
