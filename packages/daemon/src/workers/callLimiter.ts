/**
 * Limits the number of concurrent calls, so that a take-over doesn't open thousands of
 * connections at once, and the duration of a call.
 */
import * as core from '@flamingoward/core';

/** Runs a limited number of calls at a time; the others wait in order of arrival. */
export interface CallLimiter {
  run<T>(call: () => Promise<T>): Promise<T>;
}

/** Creates a limiter for `maxCalls` concurrent calls. */
export function createCallLimiter(maxCalls: number): CallLimiter {
  const waiting: (() => void)[] = [];
  let running = 0;

  async function run<T>(call: () => Promise<T>): Promise<T> {
    if (running < maxCalls) running += 1;
    else await new Promise<void>((resolve) => waiting.push(resolve));
    try {
      return await call();
    } finally {
      // The next waiting call takes over this call's slot, so `running` stays the same.
      const next = waiting.shift();
      if (next === undefined) running -= 1;
      else next();
    }
  }

  return { run };
}

/** Rejects with `timeout` when a call doesn't settle in time; on an unresponsive connection it may never do so. */
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
