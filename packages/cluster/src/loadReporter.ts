/**
 * Reports what keeps an owner busy: processor time of the process, time in scheduling
 * rounds, and the orders and reports that it handled. When one owner is the limit of the
 * cluster, callers only see that jobs begin late.
 */
import type * as contexts from './context.js';

/** Time between lines, in ms. */
const REPORT_INTERVAL_MS = 5_000;

/** What an owner does besides scheduling rounds. */
export type Activity = 'start' | 'stop' | 'advice' | 'report' | 'record';

/** The reporter of an owner. */
export interface LoadReporter {
  count(activity: Activity): void;
  /** Adds a scheduling round that took a time in ms. */
  addRound(tookMs: number): void;
  close(): void;
}

/** Creates a reporter; `readCpuMs` returns the processor time of the process, in ms. */
export function createLoadReporter(
  context: contexts.NodeContext,
  fence: number,
  readCpuMs: () => number = readProcessCpu,
): LoadReporter {
  const { timers, log } = context;
  const counts: Record<Activity, number> = {
    start: 0,
    stop: 0,
    advice: 0,
    report: 0,
    record: 0,
  };
  let rounds = 0;
  let roundsMs = 0;
  let longestRoundMs = 0;
  let sinceMs = timers.getNow();
  let cpuMs = readCpuMs();

  function report(): void {
    const nowMs = timers.getNow();
    const nextCpuMs = readCpuMs();
    log.write('info', 'owner.load', {
      fence,
      forMs: Math.round(nowMs - sinceMs),
      cpuMs: Math.round(nextCpuMs - cpuMs),
      rounds,
      roundsMs: Math.round(roundsMs),
      longestRoundMs: Math.round(longestRoundMs),
      starts: counts.start,
      stops: counts.stop,
      advice: counts.advice,
      reports: counts.report,
      records: counts.record,
    });
    sinceMs = nowMs;
    cpuMs = nextCpuMs;
    rounds = roundsMs = longestRoundMs = 0;
    counts.start = counts.stop = counts.advice = 0;
    counts.report = counts.record = 0;
  }

  const timer = timers.subscribe(
    { name: 'owner.load', delayMs: REPORT_INTERVAL_MS, repeat: 'periodic' },
    report,
  );

  return {
    count(activity) {
      counts[activity] += 1;
    },
    addRound(tookMs) {
      rounds += 1;
      roundsMs += tookMs;
      longestRoundMs = Math.max(longestRoundMs, tookMs);
    },
    close() {
      timer.end();
    },
  };
}

function readProcessCpu(): number {
  const { user, system } = process.cpuUsage();
  return (user + system) / 1_000;
}
