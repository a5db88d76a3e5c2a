/**
 * Floors: the share of the fleet guaranteed to each urgency. More urgent work leaves
 * free what less urgent work still needs up to its floor. Less urgent work may use the
 * floor of more urgent work only with reclaimable tasks, which can be checkpointed and
 * stopped when the floor is needed.
 */
import * as ids from '../types/ids.js';
import type * as release from '../types/release.js';
import * as resources from '../types/resources.js';
import type * as fleet from '../placement/fleet.js';
import * as vector from '../placement/vector.js';
import type * as queue from './queue.js';

/** Use, demand and floor of one urgency in one tick. */
export interface UrgencyUse {
  /** Guaranteed share of each resource, 0 to 1. */
  readonly floor: resources.Resources;
  /** Held by attempts. */
  readonly used: vector.Amount;
  /** Held by attempts that can't be reclaimed. */
  readonly nonReclaimable: vector.Amount;
  /** Held by attempts that are being stopped. */
  readonly stopping: vector.Amount;
  /** Needed by waiting tasks, as far as the quotas of their teams allow. */
  readonly demand: vector.Amount;
}

/** Use, demand and floors of all urgencies. */
export type FloorTable = Readonly<Record<ids.Urgency, UrgencyUse>>;

/** Floors before the first release with classes is known. */
const defaultFloors: Readonly<Record<ids.Urgency, number>> = {
  urgent: 0.5,
  normal: 0.2,
  deferrable: 0.1,
};

/**
 * Computes the floor of each urgency: the highest floor among its classes, scaled so
 * that the sum is at most 1.
 */
export function computeFloors(
  classes: readonly release.ClassEntry[],
): Readonly<Record<ids.Urgency, number>> {
  const floors = { ...defaultFloors };
  for (const name of ids.urgencies) {
    const own = classes.filter((entry) => entry.urgency === name);
    // A release without a class of this urgency guarantees it no floor.
    if (classes.length > 0)
      floors[name] = Math.max(0, ...own.map((entry) => entry.floor));
  }
  const sum = floors.urgent + floors.normal + floors.deferrable;
  if (sum <= 1) return floors;
  for (const name of ids.urgencies) floors[name] /= sum;
  return floors;
}

/** Computes a floor by resource; GPUs are kept only for an urgency whose jobs use them. */
function computeFloor(share: number, withGpus: boolean): resources.Resources {
  return { cores: share, memoryMb: share, gpus: withGpus ? share : 0 };
}

/** A resource of which non-reclaimable work needs more than the floors leave. */
export interface FloorExcess {
  readonly urgency: ids.Urgency;
  readonly resource: resources.ResourceName;
  readonly needed: number;
  readonly left: number;
}

/** Finds a floor of more urgent work that would refuse a request even on an idle fleet. */
export function findFloorExcess(
  request: FloorRequest,
  floors: Readonly<Record<ids.Urgency, number>>,
  withGpus: ReadonlySet<ids.Urgency>,
  total: resources.Resources,
): FloorExcess | undefined {
  if (request.reclaimable) return undefined;
  const sum = { cores: 0, memoryMb: 0, gpus: 0 };
  for (const urgency of ids.urgencies) {
    if (urgency === request.urgency) return undefined;
    const floor = computeFloor(floors[urgency], withGpus.has(urgency));
    vector.addTo(sum, floor, 1);
    for (const resource of resources.resourceNames) {
      const needed = request.need[resource] * request.times;
      const left = (1 - sum[resource]) * total[resource];
      if (needed > left) return { urgency, resource, needed, left };
    }
  }
  return undefined;
}

/** Builds the table from the queue; linear in the number of teams. */
export function buildFloorTable(
  table: queue.Queue,
  floors: Readonly<Record<ids.Urgency, number>>,
  withGpus: ReadonlySet<ids.Urgency>,
  computeDemand: (team: queue.TeamQueue) => resources.Resources,
): FloorTable {
  function buildUse(name: ids.Urgency): UrgencyUse {
    const use = {
      floor: computeFloor(floors[name], withGpus.has(name)),
      used: vector.createAmount(),
      nonReclaimable: vector.createAmount(),
      stopping: vector.createAmount(),
      demand: vector.createAmount(),
    };
    for (const team of table.teams.get(name)?.values() ?? []) {
      vector.addTo(use.used, team.used, 1);
      vector.addTo(use.nonReclaimable, team.nonReclaimable, 1);
      vector.addTo(use.stopping, team.stopping, 1);
      vector.addTo(use.demand, computeDemand(team), 1);
    }
    return use;
  }
  return {
    urgent: buildUse('urgent'),
    normal: buildUse('normal'),
    deferrable: buildUse('deferrable'),
  };
}

function computeUnmetFloor(
  use: UrgencyUse,
  name: resources.ResourceName,
  total: number,
): number {
  const floor = use.floor[name] * total;
  return Math.max(0, Math.min(floor - use.used[name], use.demand[name]));
}

/** Computes the capacity that an urgent request may reclaim without violating other floors. */
function computeReclaimable(
  request: FloorRequest,
  table: FloorTable,
  name: resources.ResourceName,
  total: number,
): number {
  if (request.urgency !== 'urgent') return 0;
  let sum = 0;
  for (const other of ids.urgencies) {
    if (other === 'urgent') continue;
    const { used, nonReclaimable, floor } = table[other];
    const aboveFloor = used[name] - floor[name] * total;
    sum += Math.max(0, Math.min(used[name] - nonReclaimable[name], aboveFloor));
  }
  return sum;
}

/** A request of one urgency for `times` tasks of size `need`. */
export interface FloorRequest {
  readonly urgency: ids.Urgency;
  readonly need: resources.Resources;
  readonly times: number;
  readonly reclaimable: boolean;
}

/**
 * Non-reclaimable work may use only what the floors of all more urgent work leave, so
 * that these floors are always either free or reclaimable.
 */
function isNonReclaimableAllowed(
  request: FloorRequest,
  table: FloorTable,
  name: resources.ResourceName,
  total: number,
): boolean {
  const need = request.need[name] * request.times;
  const own = ids.urgencies.indexOf(request.urgency);
  let floors = 0;
  for (let at = 0; at < own; at += 1) {
    const above = ids.urgencies[at];
    if (above !== undefined) floors += table[above].floor[name];
    let nonReclaimable = need;
    for (const below of ids.urgencies.slice(at + 1))
      nonReclaimable += table[below].nonReclaimable[name];
    if (nonReclaimable > (1 - floors) * total) return false;
  }
  return true;
}

/** Work above its own floor leaves free what less urgent work needs up to its floors. */
function hasRoomForUnmetFloors(
  request: FloorRequest,
  table: FloorTable,
  name: resources.ResourceName,
  shard: fleet.Fleet,
): boolean {
  const need = request.need[name] * request.times;
  const total = shard.total[name];
  const use = table[request.urgency];
  if (use.used[name] + need <= use.floor[name] * total) return true;
  let unmet = 0;
  const own = ids.urgencies.indexOf(request.urgency);
  for (const below of ids.urgencies.slice(own + 1))
    unmet += computeUnmetFloor(table[below], name, total);
  if (unmet === 0) return true;
  const free =
    total - shard.held[name] + computeReclaimable(request, table, name, total);
  return free - need >= unmet;
}

/** Returns whether a request can start without violating the floors of other urgencies. */
export function isWithinFloors(
  request: FloorRequest,
  table: FloorTable,
  shard: fleet.Fleet,
): boolean {
  for (const name of resources.resourceNames) {
    if (request.need[name] === 0) continue;
    const total = shard.total[name];
    if (
      !request.reclaimable &&
      !isNonReclaimableAllowed(request, table, name, total)
    )
      return false;
    if (!hasRoomForUnmetFloors(request, table, name, shard)) return false;
  }
  return true;
}
