/**
 * Leases across changes of owner. Runs on a VM that doesn't answer may last until the last
 * lease that any owner granted it ends, on the slowest clock that a VM may have.
 */
import type * as core from '@flamingoward/core';

/** Lowest rate of a VM's clock relative to this node's. */
export const MIN_CLOCK_RATE = 0.98;
/** Time by which an order may extend a lease further because its sender read the VM's clock earlier, in ms. */
const CLOCK_AGE_MARGIN_MS = 500;

/** An owner before this one, as far as its orders are concerned. */
export interface EarlierOwner {
  readonly node: core.ids.ProcessName;
  readonly instance: core.ids.InstanceId;
  /** Longest lease that it grants, in ms. */
  readonly leaseMs: number;
  /** Latest time at which it sends an order. */
  readonly lastOrderMs: number;
}

/** Computes how long after its last order a lease can end, in ms. */
export function computeLongestMs(leaseMs: number): number {
  return leaseMs / MIN_CLOCK_RATE + CLOCK_AGE_MARGIN_MS;
}

/** Computes the time at which the last lease of earlier owners ends. */
export function computeEndMs(owners: readonly EarlierOwner[]): number {
  return Math.max(
    -Infinity,
    ...owners.map(
      ({ leaseMs, lastOrderMs }) => lastOrderMs + computeLongestMs(leaseMs),
    ),
  );
}
