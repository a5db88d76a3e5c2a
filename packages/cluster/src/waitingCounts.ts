/**
 * Counts of the waiting jobs of each queue. Only the owner knows which jobs have started,
 * so a node asks it and keeps the answer for a while. An answer's age is the time since
 * the question was sent plus the age of the owner's tables, so time on the way counts. A
 * count that may be older than callers are promised is never given, nor is that of a queue
 * with jobs of which the owner can't know yet whether they have started.
 */
import * as core from '@flamingoward/core';
import * as answerAge from './answerAge.js';

/** Age from which the owner is asked again, in ms. */
const REFRESH_MS = 1_000;
const ASK_INTERVAL_MS = 150;

/** A count of waiting jobs, and whose tables it was taken from. */
export interface WaitingCount {
  readonly waiting: number;
  /** Fence of the owner. */
  readonly fence: number;
  /** Age of the count, in ms. */
  readonly ageMs: number;
}

/** The counts of a node. */
export interface WaitingCounts {
  /**
   * Resolves with the count of a queue; undefined when no owner has told it until `untilMs`,
   * `unresolved` when an owner has told that it can't know it yet.
   */
  fetch(
    queue: core.workloads.QueueName,
    untilMs: number,
  ): Promise<WaitingCount | 'unresolved' | undefined>;
}

/** Creates the counts; `askOwner` resolves with undefined when the owner doesn't answer or doesn't know them. */
export function createWaitingCounts(
  timers: core.TimerService,
  askOwner: () => Promise<core.clusterMessages.OwnerCounts | undefined>,
): WaitingCounts {
  let newest:
    | {
        readonly counts: core.clusterMessages.OwnerCounts;
        /** Time at which the counts were complete. */
        readonly atMs: number;
      }
    | undefined;
  let asking: Promise<void> | undefined;

  function getAge(): number {
    return timers.getNow() - (newest?.atMs ?? -Infinity);
  }

  function isUnresolved(queue: core.workloads.QueueName): boolean {
    return newest?.counts.unresolved.includes(queue) === true;
  }

  async function ask(): Promise<void> {
    const sentMs = timers.getNow();
    const counts = await askOwner().finally(() => {
      asking = undefined;
    });
    if (counts === undefined) return;
    const atMs = sentMs - counts.ageMs;
    if (newest === undefined || atMs >= newest.atMs) newest = { counts, atMs };
  }

  return {
    async fetch(queue, untilMs) {
      for (;;) {
        if (getAge() >= REFRESH_MS || isUnresolved(queue))
          await Promise.race([
            (asking ??= ask()),
            core.waitFor(timers, 'counts.until', untilMs - timers.getNow()),
          ]);
        const ageMs = getAge();
        if (
          newest !== undefined &&
          ageMs < answerAge.STALE_MS &&
          !isUnresolved(queue)
        ) {
          const { fence, waiting } = newest.counts;
          return {
            waiting: waiting.find(([name]) => name === queue)?.[1] ?? 0,
            fence,
            ageMs,
          };
        }
        if (timers.getNow() + ASK_INTERVAL_MS > untilMs)
          return ageMs < answerAge.STALE_MS && isUnresolved(queue)
            ? 'unresolved'
            : undefined;
        await core.waitFor(timers, 'counts.ask', ASK_INTERVAL_MS);
      }
    },
  };
}
