/**
 * Order in which nodes claim after the owner. Answers a rolling restart: a node that
 * was restarted a moment ago is unlikely to be stopped again, so it goes first, and
 * the cluster changes its owner once or twice in a round instead of at most stops.
 */
import type * as core from '@flamingoward/core';

/** First links within this time of each other count as one start of the cluster, in ms. */
const SAME_START_MS = 3_000;

/** A node that can claim. */
export interface SuccessorRow {
  readonly instance: core.ids.InstanceId;
  /** In the owner's region. */
  readonly near: boolean;
  /** When this process of the node was first seen; a restarted node has a later one. */
  readonly firstSeenMs: number;
}

/** Ranks successors: near ones first, among them those whose process began last. */
export function rankSuccessors(
  rows: readonly SuccessorRow[],
): readonly core.ids.InstanceId[] {
  const oldestMs = Math.min(...rows.map(({ firstSeenMs }) => firstSeenMs));
  const readAge = ({ firstSeenMs }: SuccessorRow) =>
    firstSeenMs - oldestMs < SAME_START_MS ? oldestMs : firstSeenMs;
  return [...rows]
    .sort((a, b) => Number(b.near) - Number(a.near) || readAge(b) - readAge(a))
    .map(({ instance }) => instance);
}
