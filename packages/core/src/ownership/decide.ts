/**
 * Decides when this process claims a shard. A claim needs a shard without a live
 * owner; candidates of a lower rank wait longer, so usually one process claims,
 * and the log settles the rest.
 */
import type * as ids from '../types/ids.js';
import type * as claims from './claims.js';
import * as rank from './rank.js';

/** Wait per rank before a candidate claims a shard, in ms. */
export const CLAIM_RANK_WAIT_MS = 500;

/** Time after its start during which a process only claims shards that never had an owner, in ms. */
export const CLAIM_GRACE_MS = 1_500;

/** Time without a live process of a region before processes of other regions may claim, in ms. */
export const FOREIGN_CLAIM_AFTER_MS = 30_000;

/** A shard that should have an owner, with those that may own it. */
export interface WantedShard {
  readonly shard: ids.ShardName;
  /** Asked only while the shard has no live owner. */
  readonly listCandidates: () => readonly ids.InstanceId[];
}

/** What the decision looks at. */
export interface OwnershipView {
  readonly self: ids.InstanceId;
  readonly nowMs: number;
  /** Time since which this process takes part, for the grace period. */
  readonly joinedMs: number;
  readonly wanted: readonly WantedShard[];
  readonly claims: ReadonlyMap<ids.ShardName, claims.Claim>;
  /** True when the instance isn't dead as far as this process knows. */
  readonly isAlive: (instance: ids.InstanceId) => boolean;
  /** True when the instance is known and silent, or its connection was refused. */
  readonly isKnown: (instance: ids.InstanceId) => boolean;
}

/** Remembers since when each shard has no live owner. */
export type OrphanTable = Map<ids.ShardName, number>;

/** Returns the shards to claim now and updates the orphan table. */
export function decideOwnership(
  view: OwnershipView,
  orphans: OrphanTable,
): readonly ids.ShardName[] {
  dropUnwanted(view, orphans);
  return view.wanted
    .filter((wanted) => shouldClaim(view, orphans, wanted))
    .map((wanted) => wanted.shard);
}

function dropUnwanted(view: OwnershipView, orphans: OrphanTable): void {
  const shards = new Set(view.wanted.map((wanted) => wanted.shard));
  for (const shard of [...orphans.keys()])
    if (!shards.has(shard)) orphans.delete(shard);
}

function shouldClaim(
  view: OwnershipView,
  orphans: OrphanTable,
  wanted: WantedShard,
): boolean {
  const claim = view.claims.get(wanted.shard);
  if (claim !== undefined && hasLiveOwner(view, claim)) {
    orphans.delete(wanted.shard);
    return false;
  }
  const sinceMs = orphans.get(wanted.shard) ?? view.nowMs;
  orphans.set(wanted.shard, sinceMs);
  const place = rank
    .rankCandidates(wanted.shard, wanted.listCandidates())
    .indexOf(view.self);
  if (place < 0) return false;
  return view.nowMs - sinceMs >= place * CLAIM_RANK_WAIT_MS;
}

function hasLiveOwner(view: OwnershipView, claim: claims.Claim): boolean {
  if (claim.released) return false;
  if (claim.instance === view.self) return true;
  if (view.isAlive(claim.instance)) return true;
  // A process that has just started may not have heard of a live owner yet.
  const inGrace = view.nowMs - view.joinedMs < CLAIM_GRACE_MS;
  return inGrace && !view.isKnown(claim.instance);
}
