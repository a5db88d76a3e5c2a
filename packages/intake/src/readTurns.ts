/**
 * Takes turns at reading from connections that keep the process busy. One held connection
 * reads again in each turn, so that many of them delay others by one read at a time.
 */
import type * as core from '@flamingoward/core';
import type * as piecewise from './piecewise.js';

/** Interval at which one held connection reads, in ms; a body of 262,144 bytes in chunks of one byte takes 24 turns. */
const TURN_INTERVAL_MS = 20;

/** Connections that wait for their turn to read. */
export interface ReadTurns {
  /** Holds a connection back until its turn comes. */
  add(stream: piecewise.PiecewiseStream): void;
  /** Lets a connection read on at once; does nothing unless it is held. */
  release(stream: piecewise.PiecewiseStream): void;
  /** Drops a connection that has closed. */
  remove(stream: piecewise.PiecewiseStream): void;
  has(stream: piecewise.PiecewiseStream): boolean;
  close(): void;
}

/** Creates turns without connections; no timer wakes the process while there are none. */
export function createReadTurns(timers: core.TimerService): ReadTurns {
  const held = new Set<piecewise.PiecewiseStream>();
  let timer: core.TimerSubscription | undefined;

  function scheduleTurn(): void {
    timer = timers.subscribe(
      { name: 'intake.turn', delayMs: TURN_INTERVAL_MS, repeat: 'once' },
      () => {
        timer = undefined;
        const [next] = held;
        if (next !== undefined) release(next);
        if (held.size > 0) scheduleTurn();
      },
    );
  }

  function release(stream: piecewise.PiecewiseStream): void {
    if (held.delete(stream)) stream.resumeReads();
  }

  return {
    add(stream) {
      if (held.has(stream)) return;
      stream.holdReads();
      held.add(stream);
      if (timer === undefined) scheduleTurn();
    },
    release,
    remove: (stream) => void held.delete(stream),
    has: (stream) => held.has(stream),
    close() {
      timer?.end();
    },
  };
}
