/**
 * Limits how many calls run at a time, so that a take-over doesn't open thousands
 * of connections in the same instant, and how long a call may take.
 */
import * as core from '@flamingoward/core';

/** Admits a bounded number of calls; the others wait in order. */
export interface Gate {
  run<T>(call: () => Promise<T>): Promise<T>;
}

/** Creates a gate for `limit` calls at a time. */
export function createGate(limit: number): Gate {
  const waiting: (() => void)[] = [];
  let running = 0;

  async function run<T>(call: () => Promise<T>): Promise<T> {
    if (running < limit) running += 1;
    else await new Promise<void>((resolve) => waiting.push(resolve));
    try {
      return await call();
    } finally {
      // The next call takes over the place of this one.
      const next = waiting.shift();
      if (next === undefined) running -= 1;
      else next();
    }
  }

  return { run };
}

/** Rejects with `timeout` when a call doesn't settle; a client whose connection is silent may never do so. */
export function withTimeout<T>(
  timers: core.TimerService,
  origin: core.FaultOrigin,
  timeoutMs: number,
  call: Promise<T>,
): Promise<T> {
  return new Promise((resolve, reject) => {
    const timer = timers.subscribe(
      { name: origin.step, delayMs: timeoutMs, repeat: 'once' },
      () => {
        reject(core.createFault('timeout', origin, String(timeoutMs)));
      },
    );
    call.then(
      (value) => {
        timer.end();
        resolve(value);
      },
      (error: unknown) => {
        timer.end();
        reject(error instanceof Error ? error : new Error(String(error)));
      },
    );
  });
}
