/**
 * Reports the jobs whose first start was decided some time ago and that no VM has shown to
 * have begun. It only logs: a count of waiting jobs that is wrong can be compared with it.
 */
import type * as core from '@flamingoward/core';
import type * as contexts from './context.js';

/** Time between rounds, in ms. */
const ROUND_INTERVAL_MS = 1_000;
/** Time within which a start is usually confirmed; queues without older ones aren't reported, in ms. */
const USUAL_MS = 1_000;

/** What the reporter reads from its owner. */
export interface StartSources {
  readonly fence: number;
  readonly measureStarts: () => readonly core.workloads.StartSummary[];
}

/** The reporter of an owner. */
export interface StartReporter {
  /** Begins the rounds; called once the owner has restored all jobs. */
  start(): void;
  close(): void;
}

/** Creates a reporter. */
export function createStartReporter(
  context: contexts.NodeContext,
  sources: StartSources,
): StartReporter {
  const { timers, log } = context;
  let roundTimer: core.TimerSubscription | undefined;

  function runRound(): void {
    for (const { oldestMs, ...counts } of sources.measureStarts())
      if (oldestMs >= USUAL_MS)
        log.write('info', 'starts.unconfirmed', {
          fence: sources.fence,
          ...counts,
          oldestMs: Math.round(oldestMs),
        });
  }

  return {
    start() {
      roundTimer = timers.subscribe(
        {
          name: 'owner.starts',
          delayMs: ROUND_INTERVAL_MS,
          repeat: 'periodic',
        },
        runRound,
      );
    },
    close() {
      roundTimer?.end();
    },
  };
}
