/**
 * The workers of the shard and the capacity in use on each. All changes of capacity go
 * through this table, so that the index, the totals and the versions stay consistent.
 */
import type * as ids from '../types/ids.js';
import type * as resources from '../types/resources.js';
import type * as worker from '../types/worker.js';
import * as buckets from './buckets.js';
import type * as rows from './rows.js';
import * as vector from './vector.js';

/** Workers of equal size in one zone, counted by rack, for checks that must not scan the fleet. */
export interface SizeGroup {
  readonly size: resources.Resources;
  readonly zone: ids.AvailabilityZone;
  readonly workersByRack: Map<ids.RackName, number>;
}

/** The workers of a shard. */
export interface Fleet {
  readonly workers: ReadonlyMap<ids.VmId, rows.WorkerRow>;
  readonly index: buckets.CapacityIndex;
  readonly sizeGroups: ReadonlyMap<string, SizeGroup>;
  /** Capacity of all listed workers except leaving ones. */
  readonly total: resources.Resources;
  /** Capacity held by attempts on these workers. */
  readonly held: resources.Resources;
  /** Returns a version that increases with every change that may let a refused shape fit. */
  getFreedVersion(): number;
  /** Returns a version that increases with every change of the list of workers. */
  getListVersion(): number;
  /** Adds or updates a worker; ignores a VM with another role or without a size. */
  list(record: worker.VmRecord): rows.WorkerRow | undefined;
  remove(id: ids.VmId): rows.WorkerRow | undefined;
  setUsable(row: rows.WorkerRow, usable: boolean): void;
  setQuarantined(row: rows.WorkerRow, quarantined: boolean): void;
  /** Adds an attempt to its worker and reserves the capacity that it holds. */
  add(attempt: rows.Attempt): void;
  /** Removes an attempt from its worker and frees its capacity. */
  drop(attempt: rows.Attempt): void;
  /** Changes the capacity that an attempt holds. */
  resize(attempt: rows.Attempt, held: resources.Resources): void;
  /** Sets the claim of a job on a worker. */
  claim(row: rows.WorkerRow, claim: rows.Claim): void;
  dropClaim(row: rows.WorkerRow, job: ids.JobId): void;
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
    unclaimed: { ...size },
    claims: new Map(),
    indexPosition: { cell: undefined, position: 0 },
  };
}

/** Creates a fleet without workers. */
export function createFleet(): Fleet {
  const workers = new Map<ids.VmId, rows.WorkerRow>();
  const groups = new Map<string, SizeGroup>();
  const index = buckets.createIndex();
  const total = vector.createAmount();
  const held = vector.createAmount();
  let freedVersion = 1;
  let listVersion = 1;

  function countGroup(row: rows.WorkerRow, by: number): void {
    const { availabilityZone, rack } = row.record;
    const { cores, memoryMb, gpus } = row.size;
    const key = `${availabilityZone}/${cores}/${memoryMb}/${gpus}`;
    let group = groups.get(key);
    if (group === undefined) {
      group = {
        size: row.size,
        zone: availabilityZone,
        workersByRack: new Map(),
      };
      groups.set(key, group);
    }
    const count = (group.workersByRack.get(rack) ?? 0) + by;
    if (count > 0) group.workersByRack.set(rack, count);
    else group.workersByRack.delete(rack);
    if (group.workersByRack.size === 0) groups.delete(key);
  }

  function countTotal(row: rows.WorkerRow, by: number): void {
    if (row.record.state === 'leaving') return;
    vector.addTo(total, row.size, by);
    for (const attempt of row.attempts.values())
      vector.addTo(held, attempt.held, by);
    countGroup(row, by);
  }

  function updateIndex(row: rows.WorkerRow): void {
    const isSchedulable =
      row.usable && !row.quarantined && row.record.state === 'live';
    if (isSchedulable) index.update(row);
    else index.remove(row);
  }

  function resetFree(row: rows.WorkerRow): void {
    Object.assign(row.free, row.size);
    for (const attempt of row.attempts.values())
      vector.addTo(row.free, attempt.held, -1);
    Object.assign(row.unclaimed, row.free);
    for (const claim of row.claims.values())
      vector.addTo(row.unclaimed, claim.amount, -1);
    updateIndex(row);
  }

  function applyHeld(
    row: rows.WorkerRow,
    amount: resources.Resources,
    by: number,
  ): void {
    vector.addTo(row.free, amount, by);
    vector.addTo(row.unclaimed, amount, by);
    if (row.record.state === 'live') vector.addTo(held, amount, -by);
    if (by > 0) freedVersion += 1;
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
      // The pool may change with the size, so the worker leaves its old cell first.
      index.remove(row);
      row.record = record;
      row.size = size;
    }
    countTotal(row, 1);
    resetFree(row);
    freedVersion += 1;
    listVersion += 1;
    return row;
  }

  function remove(id: ids.VmId): rows.WorkerRow | undefined {
    const row = workers.get(id);
    if (row === undefined) return undefined;
    countTotal(row, -1);
    index.remove(row);
    workers.delete(id);
    listVersion += 1;
    return row;
  }

  return {
    workers,
    index,
    sizeGroups: groups,
    total,
    held,
    getFreedVersion: () => freedVersion,
    getListVersion: () => listVersion,
    list,
    remove,
    setUsable(row, usable) {
      row.usable = usable;
      if (usable) freedVersion += 1;
      updateIndex(row);
    },
    setQuarantined(row, quarantined) {
      row.quarantined = quarantined;
      if (!quarantined) freedVersion += 1;
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
    dropClaim(row, job) {
      if (!row.claims.delete(job)) return;
      freedVersion += 1;
      resetFree(row);
    },
  };
}
