/** The timer service of a real process, built on Node's timers and monotonic clock. */
import type * as timers from './timers.js';

/** Creates the timer service of a real process. Its timers are unref'ed: they don't keep the process running. */
export function createSystemTimers(): timers.TimerService {
  return { getNow, getDate, subscribe };
}

function getNow(): number {
  return performance.now();
}

function getDate(): number {
  return Date.now();
}

function subscribe(
  request: timers.TimerRequest,
  onDue: (nowMs: number) => void,
): timers.TimerSubscription {
  let ended = false;
  const fire = () => {
    if (!ended) onDue(getNow());
  };
  if (request.repeat === 'periodic') {
    const handle = setInterval(fire, request.delayMs);
    handle.unref();
    return {
      end: () => {
        ended = true;
        clearInterval(handle);
      },
    };
  }
  const handle = setTimeout(fire, request.delayMs);
  handle.unref();
  return {
    end: () => {
      ended = true;
      clearTimeout(handle);
    },
  };
}
