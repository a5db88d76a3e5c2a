/**
 * Order in which nodes claim after the owner. Answers a rolling restart: a node that
 * was restarted a moment ago is unlikely to be stopped again, so it goes first, and
 * the cluster changes its owner once or twice in a round instead of at most of its stops.
 * Answers VMs of unlike size: an owner decides for the whole cluster, so VMs too weak
 * for that come last.
 */
import type * as core from '@flamingoward/core';

/** First links within this time of each other count as one start of the cluster, in ms. */
const SAME_START_MS = 3_000;

/** Cores with which a node can own a large cluster: the owner of 242 VMs used 0.43 cores on a calm day. */
const OWNER_CORES = 0.6;
/** Time by which weaker nodes wait with a first claim, in ms: longer than the start of a process. */
const WEAK_WAIT_MS = 400;

/** A node that can claim. */
export interface SuccessorRow {
  readonly instance: core.ids.InstanceId;
  /** Processor time of its VM, in cores. */
  readonly cores: number;
  /** In the owner's region. */
  readonly near: boolean;
  /** When this process of the node was first seen; a restarted node has a later one. */
  readonly firstSeenMs: number;
}

/** Time by which a node waits with a claim when nobody has ranked it, in ms. */
export function computeWeakWait(cores: number): number {
  return isStrong(cores) ? 0 : WEAK_WAIT_MS;
}

function isStrong(cores: number): boolean {
  return cores >= OWNER_CORES;
}

/**
 * Ranks successors: strong ones first, among them near ones, among those the ones
 * whose process began last.
 */
export function rankSuccessors(
  rows: readonly SuccessorRow[],
): readonly core.ids.InstanceId[] {
  const oldestMs = Math.min(...rows.map(({ firstSeenMs }) => firstSeenMs));
  const readAge = ({ firstSeenMs }: SuccessorRow) =>
    firstSeenMs - oldestMs < SAME_START_MS ? oldestMs : firstSeenMs;
  return [...rows]
    .sort(
      (a, b) =>
        Number(isStrong(b.cores)) - Number(isStrong(a.cores)) ||
        Number(b.near) - Number(a.near) ||
        readAge(b) - readAge(a),
    )
    .map(({ instance }) => instance);
}
