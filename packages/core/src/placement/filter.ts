/**
 * The placement filters in sequence, with a count of the workers that each removes.
 * They scan the fleet and serve refusals and explanations only; placement itself uses
 * the capacity index.
 */
import type * as ids from '../types/ids.js';
import type * as reasons from '../types/reasons.js';
import type * as fleet from './fleet.js';
import type * as rows from './rows.js';
import * as vector from './vector.js';

/** All filters in the order in which they run. */
export const filterNames: readonly reasons.FilterName[] = [
  'size',
  'location',
  'quarantine',
  'leaving',
  'authority',
  'cores',
  'memory',
  'gpus',
  'racks',
];

/** Result of running the filters: the workers removed by each, and those left. */
export interface FilterResult {
  readonly total: number;
  readonly counts: readonly reasons.FilterCount[];
  readonly left: number;
}

function findFilter(
  worker: rows.WorkerRow,
  shape: rows.Shape,
  avoidedWorkers: ReadonlySet<ids.VmId>,
): reasons.FilterName | undefined {
  const { size, availabilityZone } = shape;
  if (!vector.isWithin(size, worker.size)) return 'size';
  if (
    availabilityZone !== undefined &&
    availabilityZone !== worker.record.availabilityZone
  )
    return 'location';
  if (worker.quarantined || avoidedWorkers.has(worker.id)) return 'quarantine';
  if (worker.record.state === 'leaving') return 'leaving';
  if (!worker.usable) return 'authority';
  if (size.cores > worker.unclaimed.cores) return 'cores';
  if (size.memoryMb > worker.unclaimed.memoryMb) return 'memory';
  if (size.gpus > worker.unclaimed.gpus) return 'gpus';
  return undefined;
}

/** Runs the filters over all workers. */
export function collectCounts(
  table: fleet.Fleet,
  shape: rows.Shape,
  avoidedWorkers: ReadonlySet<ids.VmId>,
): FilterResult {
  const removed = new Map<reasons.FilterName, number>();
  let left = 0;
  for (const worker of table.workers.values()) {
    const filter = findFilter(worker, shape, avoidedWorkers);
    if (filter === undefined) left += 1;
    else removed.set(filter, (removed.get(filter) ?? 0) + 1);
  }
  const counts = filterNames
    .filter((filter) => removed.has(filter))
    .map((filter) => ({ filter, removed: removed.get(filter) ?? 0 }));
  return { total: table.workers.size, counts, left };
}

/** Returns whether an idle fleet could hold a shape without the avoided workers; scans the fleet. */
export function canAvoid(
  table: fleet.Fleet,
  shape: rows.Shape,
  avoidedWorkers: ReadonlySet<ids.VmId>,
): boolean {
  const byRack = new Map<ids.RackName, number>();
  for (const worker of table.workers.values()) {
    const { rack, state, availabilityZone } = worker.record;
    const zone = shape.availabilityZone ?? availabilityZone;
    if (avoidedWorkers.has(worker.id) || state === 'leaving') continue;
    if (zone !== availabilityZone) continue;
    const fits = vector.countFits(shape.size, worker.size);
    byRack.set(rack, (byRack.get(rack) ?? 0) + fits);
  }
  return sumBest(byRack, shape.maxRacks) >= shape.members;
}

function sumBest(
  byRack: ReadonlyMap<ids.RackName, number>,
  racks: number,
): number {
  return [...byRack.values()]
    .sort((a, b) => b - a)
    .slice(0, racks)
    .reduce((sum, fits) => sum + fits, 0);
}

/** Result of the check whether an idle fleet could hold a shape. */
export type IdleFleetFit =
  | { readonly fits: true }
  | {
      readonly fits: false;
      readonly counts: readonly reasons.FilterCount[];
      readonly total: number;
    };

/**
 * Checks whether the fleet could hold a shape if it were idle. The cost depends on the
 * number of different sizes and racks, not on the number of workers.
 */
export function checkIdleFleetFit(
  table: fleet.Fleet,
  shape: rows.Shape,
  workers: 'all' | 'without-gpus' = 'all',
): IdleFleetFit {
  let total = 0;
  let size = 0;
  let location = 0;
  const byRack = new Map<ids.RackName, number>();
  for (const group of table.sizeGroups.values()) {
    if (workers === 'without-gpus' && group.size.gpus > 0) continue;
    const fits = vector.countFits(shape.size, group.size);
    for (const [rack, count] of group.workersByRack) {
      total += count;
      if (fits === 0) size += count;
      else if (
        shape.availabilityZone !== undefined &&
        shape.availabilityZone !== group.zone
      )
        location += count;
      else byRack.set(rack, (byRack.get(rack) ?? 0) + fits * count);
    }
  }
  if (sumBest(byRack, shape.maxRacks) >= shape.members) return { fits: true };
  const counts: reasons.FilterCount[] = [];
  if (size > 0) counts.push({ filter: 'size', removed: size });
  if (location > 0) counts.push({ filter: 'location', removed: location });
  if (byRack.size > 0)
    counts.push({ filter: 'racks', removed: total - size - location });
  return { fits: false, counts, total };
}
