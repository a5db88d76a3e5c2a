/**
 * Notices that this process was paused, before it acts on anything that waited in
 * its sockets. Node handles waiting answers before overdue timers, so the age of the
 * last timer is looked at, and the hold outlasts the timers that were overdue; the
 * ownership part has noticed the pause by then.
 */
import type * as core from '@flamingoward/core';

const PERIOD_MS = 100;
const GAP_MS = 500;
const HOLD_MS = 200;

/** Tells whether the process is to hold after a pause. */
export interface PauseGuard {
  /** True during a hold and for `extraMs` after it. */
  isHeld(extraMs: number): boolean;
  close(): void;
}

/** Creates a guard. */
export function createPauseGuard(timers: core.TimerService): PauseGuard {
  let aliveMs = timers.readNow();
  let heldUntilMs = aliveMs;
  const timer = timers.subscribe(
    { name: 'workers.alive', delayMs: PERIOD_MS, repeat: 'periodic' },
    () => {
      // A timer service may pass the due time of an overdue timer.
      const nowMs = timers.readNow();
      if (nowMs - aliveMs > GAP_MS) heldUntilMs = nowMs + HOLD_MS;
      aliveMs = nowMs;
    },
  );
  return {
    isHeld(extraMs) {
      const nowMs = timers.readNow();
      return nowMs - aliveMs > GAP_MS || nowMs < heldUntilMs + extraMs;
    },
    close: () => {
      timer.end();
    },
  };
}
