/**
 * The timer service: the only source of time. Parts subscribe to it, and tests
 * replace it by a virtual one that moves when they say so.
 */

/** What to be told about. */
export interface TimerRequest {
  /** Shown in dumps. */
  readonly name: string;
  readonly delayMs: number;
  readonly repeat: 'once' | 'periodic';
}

/** A subscription that can be ended; ending it twice does nothing. */
export interface TimerSubscription {
  /** No call follows after this returns. */
  end(): void;
}

/** Time and timers for one process. */
export interface TimerService {
  /** Monotonic time in ms; comparable only within one process. */
  readNow(): number;
  /** Time of day in ms since 1970, for logs and records; never for terms. */
  readDate(): number;
  /** Calls `onDue` with the monotonic time when the timer is due. */
  subscribe(
    request: TimerRequest,
    onDue: (nowMs: number) => void,
  ): TimerSubscription;
}

/** Resolves after `delayMs`. */
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
