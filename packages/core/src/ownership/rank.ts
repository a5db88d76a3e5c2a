/**
 * Rendezvous hashing: all processes compute the same ranking of the candidates of a shard
 * without communication, and replacing a process moves only the shards that it owned.
 */
import * as crypto from 'node:crypto';
import type * as ids from '../types/ids.js';

/** Ranks candidates for a shard, best first. */
export function rankCandidates(
  shard: ids.ShardName,
  candidates: readonly ids.InstanceId[],
): readonly ids.InstanceId[] {
  const scored = candidates.map((instance) => ({
    instance,
    score: hashPair(shard, instance),
  }));
  scored.sort((a, b) => (a.score < b.score ? 1 : -1));
  return scored.map((entry) => entry.instance);
}

function hashPair(shard: string, instance: string): string {
  return crypto
    .createHash('sha1')
    .update(`${shard}\n${instance}`)
    .digest('hex');
}
