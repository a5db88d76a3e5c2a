/**
 * How long runs on a VM may last after the last order that extended its lease, on the
 * slowest clock that a VM may have.
 */

/** Lowest rate of a VM's clock relative to this node's. */
export const MIN_CLOCK_RATE = 0.98;
/** Time by which an order may extend a lease further because its sender read the VM's clock earlier, in ms. */
const CLOCK_AGE_MARGIN_MS = 500;

/** Computes how long after its last order a lease can end, in ms. */
export function computeLongestMs(leaseMs: number): number {
  return leaseMs / MIN_CLOCK_RATE + CLOCK_AGE_MARGIN_MS;
}
