/**
 * Order in which nodes claim ownership after the current owner. In a rolling restart, a
 * node that has just been restarted is unlikely to be stopped again, so it comes first;
 * ownership then moves once or twice per round instead of with most of the stops. The
 * owner schedules for the whole cluster, so VMs with too little capacity come last.
 */
import type * as core from '@flamingoward/core';

/** Nodes first seen within this time of the oldest count as started together, in ms. */
const SAME_START_WINDOW_MS = 3_000;

/** Cores that a node needs to own a large cluster; the owner of 242 VMs used 0.43 cores under light load. */
const MIN_OWNER_CORES = 0.6;
/** Extra delay of a low-capacity node's first claim, in ms; longer than the start of a process. */
const LOW_CAPACITY_DELAY_MS = 400;

/**
 * Number of nodes in the order. Each heartbeat carries it to every node, so a complete
 * order would cost traffic with the square of the number of nodes.
 */
export const MAX_SUCCESSORS = 12;

/** A node that can claim ownership. */
export interface SuccessorCandidate {
  readonly instance: core.ids.InstanceId;
  /** Processor capacity of its VM, in cores. */
  readonly cores: number;
  /** Whether it is in the owner's region. */
  readonly sameRegion: boolean;
  /** Time at which this process of the node was first seen; later for a restarted node. */
  readonly firstSeenMs: number;
}

/** Computes the extra delay of a claim by a node that no owner has ranked, in ms. */
export function computeLowCapacityDelay(cores: number): number {
  return hasOwnerCapacity(cores) ? 0 : LOW_CAPACITY_DELAY_MS;
}

/** Returns whether a node has the processor capacity to own a large cluster. */
export function hasOwnerCapacity(cores: number): boolean {
  return cores >= MIN_OWNER_CORES;
}

/**
 * Ranks the first successors: nodes with enough capacity first, among them those in the owner's
 * region, among those the most recently started.
 */
export function rankSuccessors(
  candidates: readonly SuccessorCandidate[],
): readonly core.ids.InstanceId[] {
  const oldestMs = Math.min(
    ...candidates.map(({ firstSeenMs }) => firstSeenMs),
  );
  const getStartTime = ({ firstSeenMs }: SuccessorCandidate) =>
    firstSeenMs - oldestMs < SAME_START_WINDOW_MS ? oldestMs : firstSeenMs;
  return [...candidates]
    .sort(
      (a, b) =>
        Number(hasOwnerCapacity(b.cores)) - Number(hasOwnerCapacity(a.cores)) ||
        Number(b.sameRegion) - Number(a.sameRegion) ||
        getStartTime(b) - getStartTime(a),
    )
    .slice(0, MAX_SUCCESSORS)
    .map(({ instance }) => instance);
}
