/** A timer service whose time advances only on request, for tests and replays. */
import * as heap from 'heap-js';
import type * as timers from './timers.js';

/** A timer service with a controllable clock. */
export interface VirtualTimers extends timers.TimerService {
  /** Advances the time and fires each timer that becomes due, at its own time, in order of time, then of subscription. */
  advance(byMs: number): void;
  /** Advances the time in one jump, like a pause of the process: each overdue timer fires once, late. */
  skip(byMs: number): void;
  /** Returns when the next timer is due; undefined if there is none. */
  getNextDueMs(): number | undefined;
}

/** A timer in the heap. */
interface Entry {
  dueMs: number;
  /** Sequence number of the subscription. */
  readonly order: number;
  readonly request: timers.TimerRequest;
  readonly onDue: (nowMs: number) => void;
  ended: boolean;
}

/** Creates a virtual timer service that starts at `startMs`. */
export function createVirtualTimers(startMs = 0): VirtualTimers {
  let nowMs = startMs;
  let nextOrder = 0;
  const due = new heap.Heap<Entry>(
    (a, b) => a.dueMs - b.dueMs || a.order - b.order,
  );

  function subscribe(
    request: timers.TimerRequest,
    onDue: (nowMs: number) => void,
  ): timers.TimerSubscription {
    const entry: Entry = {
      dueMs: nowMs + request.delayMs,
      order: nextOrder,
      request,
      onDue,
      ended: false,
    };
    nextOrder += 1;
    due.push(entry);
    return {
      end: () => {
        entry.ended = true;
      },
    };
  }

  function dropEnded(): void {
    while (due.peek()?.ended === true) due.pop();
  }

  function runNext(): void {
    const entry = due.pop();
    if (entry === undefined) return;
    nowMs = Math.max(nowMs, entry.dueMs);
    if (entry.request.repeat === 'periodic') {
      // With a period of 0, `advance` would fire this timer forever.
      entry.dueMs += Math.max(1, entry.request.delayMs);
      due.push(entry);
    }
    entry.onDue(nowMs);
  }

  function getNextDueMs(): number | undefined {
    dropEnded();
    return due.peek()?.dueMs;
  }

  function advance(byMs: number): void {
    const targetMs = nowMs + byMs;
    for (;;) {
      const next = getNextDueMs();
      if (next === undefined || next > targetMs) break;
      runNext();
    }
    nowMs = targetMs;
  }

  function skip(byMs: number): void {
    nowMs += byMs;
    const overdue: Entry[] = [];
    for (;;) {
      const next = getNextDueMs();
      if (next === undefined || next > nowMs) break;
      const entry = due.pop();
      if (entry !== undefined) overdue.push(entry);
    }
    for (const entry of overdue) {
      if (entry.ended) continue;
      entry.dueMs = nowMs + Math.max(1, entry.request.delayMs);
      if (entry.request.repeat === 'periodic') due.push(entry);
      entry.onDue(nowMs);
    }
  }

  return {
    getNow: () => nowMs,
    getDate: () => nowMs,
    subscribe,
    advance,
    skip,
    getNextDueMs,
  };
}
