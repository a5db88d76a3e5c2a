/**
 * Decides which shards this process claims now. Only a shard without a live owner is
 * claimed. Candidates of lower rank wait longer, so usually only one process claims;
 * when several do, the order of their claims in the log decides.
 */
import type * as ids from '../types/ids.js';
import type * as claims from './claims.js';
import * as rank from './rank.js';

/** Wait before claiming a shard, per position in the ranking of its candidates. */
export const CLAIM_RANK_WAIT_MS = 500;

/**
 * Time after its start during which a process doesn't claim a shard whose last owner it
 * knows nothing about.
 */
export const CLAIM_GRACE_MS = 1_500;

/** Time without a live process of a region before processes of other regions may claim. */
export const FOREIGN_CLAIM_AFTER_MS = 30_000;

/** A shard that needs an owner, with the candidates for it. */
export interface OwnableShard {
  readonly shard: ids.ShardName;
  /** Called only while the shard has no live owner. */
  readonly listCandidates: () => readonly ids.InstanceId[];
}

/** Inputs of the decision. */
export interface OwnershipView {
  readonly self: ids.InstanceId;
  readonly nowMs: number;
  /** When this process joined, which begins its grace period. */
  readonly joinedMs: number;
  readonly ownableShards: readonly OwnableShard[];
  readonly claims: ReadonlyMap<ids.ShardName, claims.Claim>;
  /** Returns whether this process considers an instance alive. */
  readonly isAlive: (instance: ids.InstanceId) => boolean;
  /** Returns whether this process has heard of an instance or failed to connect to it. */
  readonly isKnownPeer: (instance: ids.InstanceId) => boolean;
}

/** Time since which each shard has had no live owner. */
export type OrphanTable = Map<ids.ShardName, number>;

/** Returns the shards to claim now and updates the orphan table. */
export function decideOwnership(
  view: OwnershipView,
  orphans: OrphanTable,
): readonly ids.ShardName[] {
  dropUnlistedShards(view, orphans);
  return view.ownableShards
    .filter((ownable) => shouldClaim(view, orphans, ownable))
    .map((ownable) => ownable.shard);
}

function dropUnlistedShards(view: OwnershipView, orphans: OrphanTable): void {
  const shards = new Set(view.ownableShards.map((ownable) => ownable.shard));
  for (const shard of [...orphans.keys()])
    if (!shards.has(shard)) orphans.delete(shard);
}

function shouldClaim(
  view: OwnershipView,
  orphans: OrphanTable,
  ownable: OwnableShard,
): boolean {
  const claim = view.claims.get(ownable.shard);
  if (claim !== undefined && hasLiveOwner(view, claim)) {
    orphans.delete(ownable.shard);
    return false;
  }
  const sinceMs = orphans.get(ownable.shard) ?? view.nowMs;
  orphans.set(ownable.shard, sinceMs);
  const position = rank
    .rankCandidates(ownable.shard, ownable.listCandidates())
    .indexOf(view.self);
  if (position < 0) return false;
  return view.nowMs - sinceMs >= position * CLAIM_RANK_WAIT_MS;
}

function hasLiveOwner(view: OwnershipView, claim: claims.Claim): boolean {
  if (claim.released) return false;
  if (claim.instance === view.self) return true;
  if (view.isAlive(claim.instance)) return true;
  // A process that has just joined may not have heard from a live owner yet.
  const inGrace = view.nowMs - view.joinedMs < CLAIM_GRACE_MS;
  return inGrace && !view.isKnownPeer(claim.instance);
}
