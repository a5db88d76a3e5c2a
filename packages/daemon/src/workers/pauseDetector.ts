/**
 * Detects that this process was paused, before it acts on answers that arrived
 * meanwhile. Node.js handles received answers before overdue timers, so a pause shows
 * in the age of the last timer. After it, decisions are held until the overdue timers
 * have fired and the ownership part has detected the pause too.
 */
import type * as core from '@flamingoward/core';

const CHECK_INTERVAL_MS = 100;
const MIN_PAUSE_MS = 500;
const HOLD_AFTER_PAUSE_MS = 200;

/** Detects pauses of this process. */
export interface PauseDetector {
  /** Returns whether decisions are held after a pause, or were until less than `extraMs` ago. */
  isHolding(extraMs: number): boolean;
  close(): void;
}

/** Creates a pause detector. */
export function createPauseDetector(timers: core.TimerService): PauseDetector {
  let lastTimerMs = timers.getNow();
  let holdUntilMs = lastTimerMs;
  const timer = timers.subscribe(
    { name: 'workers.alive', delayMs: CHECK_INTERVAL_MS, repeat: 'periodic' },
    () => {
      // The time passed to the callback may be the due time, which is in the past for an overdue timer.
      const nowMs = timers.getNow();
      if (nowMs - lastTimerMs > MIN_PAUSE_MS)
        holdUntilMs = nowMs + HOLD_AFTER_PAUSE_MS;
      lastTimerMs = nowMs;
    },
  );
  return {
    isHolding(extraMs) {
      const nowMs = timers.getNow();
      return (
        nowMs - lastTimerMs > MIN_PAUSE_MS || nowMs < holdUntilMs + extraMs
      );
    },
    close: () => {
      timer.end();
    },
  };
}
