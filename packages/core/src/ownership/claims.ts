/**
 * Folds the `claims` stream into a table: the last claim of a shard wins, and its offset
 * is the epoch of the owner. All processes compute the same table from the log alone.
 */
import type * as ids from '../types/ids.js';
import type * as records from '../types/records.js';
import * as epochs from './epochs.js';

/** The owner of a shard according to the log. */
export interface Claim {
  readonly shard: ids.ShardName;
  readonly instance: ids.InstanceId;
  readonly process: ids.ProcessName;
  readonly address: ids.Address;
  readonly epoch: ids.Epoch;
  /** Offset of the last record of this claim; a renewal or release advances it. */
  readonly writtenAt: ids.Offset;
  /** True after the owner released the shard. */
  readonly released: boolean;
}

/** Claims by shard. */
export type ClaimTable = Map<ids.ShardName, Claim>;

/** Applies one record; returns the claim as changed, if it was. */
export function applyClaimRecord(
  table: ClaimTable,
  record: records.LogRecord<records.ClaimRecord>,
): Claim | undefined {
  const next = buildClaim(table.get(record.body.shard), record);
  if (next !== undefined) table.set(next.shard, next);
  return next;
}

function buildClaim(
  current: Claim | undefined,
  record: records.LogRecord<records.ClaimRecord>,
): Claim | undefined {
  const { body, offset } = record;
  switch (body.type) {
    case 'claim':
      return {
        shard: body.shard,
        instance: body.instance,
        process: body.process,
        address: body.address,
        epoch: { offset, provisional: 0 },
        writtenAt: offset,
        released: false,
      };
    case 'renew':
      return buildRenewed(current, body, offset);
    case 'release':
      if (!isSameClaim(current, body)) return undefined;
      return { ...current, released: true, writtenAt: offset };
  }
}

function buildRenewed(
  current: Claim | undefined,
  body: Extract<records.ClaimRecord, { type: 'renew' }>,
  offset: ids.Offset,
): Claim | undefined {
  // Without a current claim, the original record is older than the log's retention, and
  // the renewal takes its place.
  if (current !== undefined && !isSameClaim(current, body)) return undefined;
  if (current?.released === true) return undefined;
  return {
    shard: body.shard,
    instance: body.instance,
    process: body.process,
    address: body.address,
    epoch: body.epoch,
    writtenAt: offset,
    released: false,
  };
}

function isSameClaim(
  current: Claim | undefined,
  body: { readonly instance: string; readonly epoch: ids.Epoch },
): current is Claim {
  if (current?.instance !== body.instance) return false;
  return epochs.compareEpochs(current.epoch, body.epoch) === 0;
}
