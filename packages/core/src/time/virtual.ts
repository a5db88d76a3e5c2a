/** A timer service whose time moves only when a test or a replay moves it. */
import * as heap from 'heap-js';
import type * as timers from './timers.js';

/** A timer service with a settable clock. */
export interface VirtualTimers extends timers.TimerService {
  /** Moves the time forward and fires what becomes due, in order of time, then of subscription. */
  advance(byMs: number): void;
  /** Moves the time forward at once, as a pause of the process does: each overdue timer fires one time, late. */
  skip(byMs: number): void;
  /** Time of the next due timer, if any. */
  readNextDue(): number | undefined;
}

interface Entry {
  dueMs: number;
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
      // A zero period would never let the time move on.
      entry.dueMs += Math.max(1, entry.request.delayMs);
      due.push(entry);
    }
    entry.onDue(nowMs);
  }

  function readNextDue(): number | undefined {
    dropEnded();
    return due.peek()?.dueMs;
  }

  function advance(byMs: number): void {
    const targetMs = nowMs + byMs;
    for (;;) {
      const next = readNextDue();
      if (next === undefined || next > targetMs) break;
      runNext();
    }
    nowMs = targetMs;
  }

  function skip(byMs: number): void {
    nowMs += byMs;
    const overdue: Entry[] = [];
    for (;;) {
      const next = readNextDue();
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
    readNow: () => nowMs,
    readDate: () => nowMs,
    subscribe,
    advance,
    skip,
    readNextDue,
  };
}
