/**
 * Leases across changes of owner. Runs on a VM that doesn't answer may last until the last
 * lease that any owner granted it ends, on the slowest clock that a VM may have.
 */
import type * as core from '@flamingoward/core';
import type * as records from './records.js';

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
  /** Time at which its leases end at the latest by its last confirmed claim; Infinity for builds that don't bound them. */
  readonly claimEndMs: number;
}

/** What the record of an owner tells about leases. */
export interface RecordedLeases {
  /** Longest lease that the owner grants, in ms; 0 when it released ownership before it could grant any. */
  readonly leaseMs: number;
  /** The owners before it. */
  readonly owners: readonly EarlierOwner[];
  /** Time at which the lease of each VM ends that doesn't answer the owner. */
  readonly silentVms: ReadonlyMap<core.ids.VmId, number>;
  /** Time at which the last lease of any owner ends, by VM; only from an owner that has released ownership, or that claimed after that and may have granted further leases. */
  readonly lastEnds?: ReadonlyMap<core.ids.VmId, number> | undefined;
}

/** Parses a record. Its times count from when it was sent, or from later, which is never too early. */
export function parseLeases(
  record: records.LeaseRecord,
  sentByMs: number,
): RecordedLeases {
  return {
    leaseMs: record.leaseMs,
    owners: record.owners.map(({ ordersLeftMs, claimLeftMs, ...owner }) => ({
      ...owner,
      lastOrderMs: sentByMs + ordersLeftMs,
      claimEndMs: sentByMs + (claimLeftMs ?? Infinity),
    })),
    silentVms: parseEnds(record.silentVms, sentByMs),
    lastEnds: record.lastEnds && parseEnds(record.lastEnds, sentByMs),
  };
}

function parseEnds(
  stored: records.LeaseEnds,
  sentByMs: number,
): ReadonlyMap<core.ids.VmId, number> {
  return new Map(stored.map(([vm, leftMs]) => [vm, sentByMs + leftMs]));
}

/** Builds a record; owners whose leases have ended are left out. */
export function buildRecord(
  { leaseMs, owners, silentVms, lastEnds }: RecordedLeases,
  nowMs: number,
): records.LeaseRecord {
  return {
    leaseMs,
    owners: owners
      .filter((owner) => computeEndMs([owner]) > nowMs)
      .map(({ lastOrderMs, claimEndMs, ...owner }) => ({
        ...owner,
        ordersLeftMs: Math.ceil(lastOrderMs - nowMs),
        ...(claimEndMs === Infinity
          ? {}
          : { claimLeftMs: Math.ceil(claimEndMs - nowMs) }),
      })),
    silentVms: buildEnds(silentVms, nowMs),
    ...(lastEnds === undefined ? {} : { lastEnds: buildEnds(lastEnds, nowMs) }),
  };
}

function buildEnds(
  ends: ReadonlyMap<core.ids.VmId, number>,
  nowMs: number,
): records.LeaseEnds {
  return [...ends].map(([vm, endMs]) => [
    vm,
    Math.max(0, Math.ceil(endMs - nowMs)),
  ]);
}

/** Computes how long after its last order a lease can end, in ms. */
export function computeLongestMs(leaseMs: number): number {
  return leaseMs / MIN_CLOCK_RATE + CLOCK_AGE_MARGIN_MS;
}

/** Computes the time at which the last lease of earlier owners ends; -Infinity without any. */
export function computeEndMs(owners: readonly EarlierOwner[]): number {
  return Math.max(
    -Infinity,
    ...owners.map(({ leaseMs, lastOrderMs, claimEndMs }) =>
      Math.min(lastOrderMs + computeLongestMs(leaseMs), claimEndMs),
    ),
  );
}
