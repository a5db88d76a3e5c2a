/**
 * The workers of the shard with what each holds. All changes of capacity go through
 * here, so the index, the totals and the list of freed workers stay consistent.
 */
import type * as ids from '../types/ids.js';
import type * as resources from '../types/resources.js';
import type * as worker from '../types/worker.js';
import * as buckets from './buckets.js';
import type * as rows from './rows.js';
import * as vector from './vector.js';

/** Workers with equal size and place, for checks that must not scan the fleet. */
export interface SizeGroup {
  readonly size: resources.Resources;
  readonly zone: ids.AvailabilityZone;
  readonly racks: Map<ids.RackName, number>;
}

/** The workers of a shard. */
export interface Fleet {
  readonly workers: ReadonlyMap<ids.VmId, rows.WorkerRow>;
  readonly index: buckets.CapacityIndex;
  readonly groups: ReadonlyMap<string, SizeGroup>;
  /** Capacity of all listed workers that aren't leaving. */
  readonly total: resources.Resources;
  /** Capacity held by attempts on them. */
  readonly held: resources.Resources;
  /** Raised by every change that may let a blocked shape fit. */
  readFreed(): number;
  /** Raised by every change of the list of workers. */
  readListed(): number;
  list(record: worker.VmRecord): rows.WorkerRow | undefined;
  remove(id: ids.VmId): rows.WorkerRow | undefined;
  setUsable(row: rows.WorkerRow, usable: boolean): void;
  setQuarantined(row: rows.WorkerRow, quarantined: boolean): void;
  add(attempt: rows.Attempt): void;
  drop(attempt: rows.Attempt): void;
  resize(attempt: rows.Attempt, held: resources.Resources): void;
  claim(row: rows.WorkerRow, claim: rows.Claim): void;
  unclaim(row: rows.WorkerRow, job: ids.JobId): void;
}

function buildRow(
  record: worker.VmRecord,
  size: resources.Resources,
): rows.WorkerRow {
  return {
    id: record.id,
    record,
    size,
    usable: false,
    quarantined: false,
    attempts: new Map(),
    free: { ...size },
    open: { ...size },
    claims: new Map(),
    place: { cell: undefined, position: 0 },
  };
}

/** Creates a fleet without workers. */
export function createFleet(): Fleet {
  const workers = new Map<ids.VmId, rows.WorkerRow>();
  const groups = new Map<string, SizeGroup>();
  const index = buckets.createIndex();
  const total = vector.createAmount();
  const held = vector.createAmount();
  let freed = 1;
  let listed = 1;

  function countGroup(row: rows.WorkerRow, by: number): void {
    const { availabilityZone, rack } = row.record;
    const { cores, memoryMb, gpus } = row.size;
    const key = `${availabilityZone}/${cores}/${memoryMb}/${gpus}`;
    let group = groups.get(key);
    if (group === undefined) {
      group = { size: row.size, zone: availabilityZone, racks: new Map() };
      groups.set(key, group);
    }
    const count = (group.racks.get(rack) ?? 0) + by;
    if (count > 0) group.racks.set(rack, count);
    else group.racks.delete(rack);
    if (group.racks.size === 0) groups.delete(key);
  }

  function countTotal(row: rows.WorkerRow, by: number): void {
    if (row.record.state === 'leaving') return;
    vector.addTo(total, row.size, by);
    for (const attempt of row.attempts.values())
      vector.addTo(held, attempt.held, by);
    countGroup(row, by);
  }

  function updateIndex(row: rows.WorkerRow): void {
    const open = row.usable && !row.quarantined && row.record.state === 'live';
    if (open) index.update(row);
    else index.remove(row);
  }

  function resetFree(row: rows.WorkerRow): void {
    Object.assign(row.free, row.size);
    for (const attempt of row.attempts.values())
      vector.addTo(row.free, attempt.held, -1);
    Object.assign(row.open, row.free);
    for (const claim of row.claims.values())
      vector.addTo(row.open, claim.amount, -1);
    updateIndex(row);
  }

  function applyHeld(
    row: rows.WorkerRow,
    amount: resources.Resources,
    by: number,
  ): void {
    vector.addTo(row.free, amount, by);
    vector.addTo(row.open, amount, by);
    if (row.record.state === 'live') vector.addTo(held, amount, -by);
    if (by > 0) freed += 1;
    updateIndex(row);
  }

  function list(record: worker.VmRecord): rows.WorkerRow | undefined {
    const { size } = record;
    if (record.role !== 'worker' || size === undefined) return undefined;
    let row = workers.get(record.id);
    if (row === undefined) {
      row = buildRow(record, size);
      workers.set(record.id, row);
    } else {
      countTotal(row, -1);
      // The pool may change, so the old cell is left first.
      index.remove(row);
      row.record = record;
      row.size = size;
    }
    countTotal(row, 1);
    resetFree(row);
    freed += 1;
    listed += 1;
    return row;
  }

  function remove(id: ids.VmId): rows.WorkerRow | undefined {
    const row = workers.get(id);
    if (row === undefined) return undefined;
    countTotal(row, -1);
    index.remove(row);
    workers.delete(id);
    listed += 1;
    return row;
  }

  return {
    workers,
    index,
    groups,
    total,
    held,
    readFreed: () => freed,
    readListed: () => listed,
    list,
    remove,
    setUsable(row, usable) {
      row.usable = usable;
      if (usable) freed += 1;
      updateIndex(row);
    },
    setQuarantined(row, quarantined) {
      row.quarantined = quarantined;
      if (!quarantined) freed += 1;
      updateIndex(row);
    },
    add(attempt) {
      attempt.worker.attempts.set(attempt.id, attempt);
      applyHeld(attempt.worker, attempt.held, -1);
    },
    drop(attempt) {
      if (!attempt.worker.attempts.delete(attempt.id)) return;
      if (workers.get(attempt.worker.id) !== attempt.worker) return;
      applyHeld(attempt.worker, attempt.held, 1);
    },
    resize(attempt, size) {
      if (!attempt.worker.attempts.has(attempt.id)) return;
      applyHeld(attempt.worker, attempt.held, 1);
      attempt.held = size;
      applyHeld(attempt.worker, size, -1);
    },
    claim(row, claim) {
      row.claims.set(claim.jobId, claim);
      resetFree(row);
    },
    unclaim(row, job) {
      if (!row.claims.delete(job)) return;
      freed += 1;
      resetFree(row);
    },
  };
}
