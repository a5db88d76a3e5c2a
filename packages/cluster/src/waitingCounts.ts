/**
 * Counts of the waiting jobs of each queue. Only the owner knows which jobs have started,
 * so its heartbeats carry its counts. Without recent ones, for example while a new owner
 * still restores its tables, no count is known: the jobs that another node has read are
 * only part of those that were accepted.
 */
import type * as core from '@flamingoward/core';

/** Age from which the counts of a heartbeat are no longer used, in ms; callers are promised counts of the last two seconds. */
const STALE_MS = 1_800;

/** Counts of waiting jobs by queue, as a heartbeat carries them. */
type Counts = readonly (readonly [core.workloads.QueueName, number])[];

/** A count of waiting jobs, and whose tables it was taken from. */
export interface WaitingCount {
  readonly waiting: number;
  /** The tables of this node's owner, or a heartbeat of another node's owner. */
  readonly source: 'owner' | 'heartbeat';
  /** Fence of the owner whose heartbeat it was; undefined for other sources. */
  readonly fence?: number;
  /** Time since the heartbeat arrived, in ms; undefined for other sources. */
  readonly ageMs?: number;
}

/** The counts of a node. */
export interface WaitingCounts {
  /** Records the counts of an owner's heartbeat; undefined when the owner doesn't know them yet. */
  record(fence: number, counts: Counts | undefined): void;
  /** Returns the count of a queue; undefined when no owner's count is known. */
  readonly count: (queue: core.workloads.QueueName) => WaitingCount | undefined;
}

/** Creates the counts; `getOwnCounts` returns those of this node while it is an owner that knows them. */
export function createWaitingCounts(
  timers: core.TimerService,
  getOwnCounts: () => ReadonlyMap<core.workloads.QueueName, number> | undefined,
): WaitingCounts {
  let newest:
    | {
        readonly fence: number;
        readonly counts: Counts;
        readonly atMs: number;
      }
    | undefined;

  return {
    record(fence, counts) {
      if (counts !== undefined)
        newest = { fence, counts, atMs: timers.getNow() };
    },
    count(queue) {
      const own = getOwnCounts();
      if (own !== undefined)
        return { waiting: own.get(queue) ?? 0, source: 'owner' };
      const ageMs = timers.getNow() - (newest?.atMs ?? -Infinity);
      if (newest === undefined || ageMs >= STALE_MS) return undefined;
      return {
        waiting: newest.counts.find(([name]) => name === queue)?.[1] ?? 0,
        source: 'heartbeat',
        fence: newest.fence,
        ageMs,
      };
    },
  };
}
