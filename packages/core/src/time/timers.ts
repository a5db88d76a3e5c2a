/**
 * The timer service, the only source of time and timers. Tests replace it by a virtual
 * one, so that time advances only when they advance it.
 */

/** When a timer is due. */
export interface TimerRequest {
  /** Name of the timer, for debugging. */
  readonly name: string;
  readonly delayMs: number;
  readonly repeat: 'once' | 'periodic';
}

/** A subscription to a timer. */
export interface TimerSubscription {
  /** Cancels the timer: `onDue` is not called after this returns. A second call does nothing. */
  end(): void;
}

/** Clocks and timers of one process. */
export interface TimerService {
  /** Returns the monotonic time in ms; it can be compared only within one process. */
  getNow(): number;
  /** Returns the wall-clock time in ms since 1970, for logs and records; not for terms or timeouts, as it may jump. */
  getDate(): number;
  /** Starts a timer that calls `onDue` with the monotonic time whenever it is due. */
  subscribe(
    request: TimerRequest,
    onDue: (nowMs: number) => void,
  ): TimerSubscription;
}

/** Returns a promise that resolves after `delayMs`. */
export function waitFor(
  timers: TimerService,
  name: string,
  delayMs: number,
): Promise<void> {
  return new Promise((resolve) => {
    timers.subscribe({ name, delayMs, repeat: 'once' }, () => {
      resolve();
    });
  });
}
