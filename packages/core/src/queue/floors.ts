/**
 * Floors: the share of the fleet that each urgency keeps. A more urgent class leaves
 * free what the others still need up to their floors. A less urgent one may use the
 * floor of a more urgent one only with work that can be taken back.
 */
import * as ids from '../types/ids.js';
import type * as release from '../types/release.js';
import * as resources from '../types/resources.js';
import type * as fleet from '../placement/fleet.js';
import * as vector from '../placement/vector.js';
import type * as queue from './queue.js';

/** Use, demand and floor of one urgency at a tick. */
export interface UrgencyUse {
  /** Share of each resource that the urgency keeps. */
  readonly floor: resources.Resources;
  readonly used: vector.Amount;
  /** Used in a way that can't be taken back. */
  readonly kept: vector.Amount;
  /** Used by attempts that are being stopped. */
  readonly leaving: vector.Amount;
  /** Wanted by waiting tasks that their teams' quotas allow. */
  readonly wanted: vector.Amount;
}

/** Use of all urgencies. */
export type FloorTable = Readonly<Record<ids.Urgency, UrgencyUse>>;

const defaultFloors: Readonly<Record<ids.Urgency, number>> = {
  urgent: 0.5,
  normal: 0.2,
  deferrable: 0.1,
};

/** Computes the floor of each urgency: the highest floor among its classes, scaled to at most 1 in sum. */
export function computeFloors(
  classes: readonly release.ClassEntry[],
): Readonly<Record<ids.Urgency, number>> {
  const floors = { ...defaultFloors };
  for (const name of ids.urgencies) {
    const own = classes.filter((entry) => entry.urgency === name);
    // A release without a class of this urgency promises it nothing.
    if (classes.length > 0)
      floors[name] = Math.max(0, ...own.map((entry) => entry.floor));
  }
  const sum = floors.urgent + floors.normal + floors.deferrable;
  if (sum <= 1) return floors;
  for (const name of ids.urgencies) floors[name] /= sum;
  return floors;
}

/** A floor holds in GPUs only for an urgency whose work uses them. */
function computeFloor(share: number, withGpus: boolean): resources.Resources {
  return { cores: share, memoryMb: share, gpus: withGpus ? share : 0 };
}

/** The resource of which work that can't be taken back would need more than the floors leave. */
export interface FloorExcess {
  readonly urgency: ids.Urgency;
  readonly resource: resources.ResourceName;
  readonly needed: number;
  readonly left: number;
}

/** Checks whether the floors of more urgent classes would keep out a request on an idle fleet. */
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

/** Builds the table from the queue; the cost is the number of teams. */
export function buildFloorTable(
  table: queue.Queue,
  floors: Readonly<Record<ids.Urgency, number>>,
  withGpus: ReadonlySet<ids.Urgency>,
  computeWanted: (team: queue.TeamQueue) => resources.Resources,
): FloorTable {
  function buildUse(name: ids.Urgency): UrgencyUse {
    const use = {
      floor: computeFloor(floors[name], withGpus.has(name)),
      used: vector.createAmount(),
      kept: vector.createAmount(),
      leaving: vector.createAmount(),
      wanted: vector.createAmount(),
    };
    for (const team of table.teams.get(name)?.values() ?? []) {
      vector.addTo(use.used, team.used, 1);
      vector.addTo(use.kept, team.kept, 1);
      vector.addTo(use.leaving, team.leaving, 1);
      vector.addTo(use.wanted, computeWanted(team), 1);
    }
    return use;
  }
  return {
    urgent: buildUse('urgent'),
    normal: buildUse('normal'),
    deferrable: buildUse('deferrable'),
  };
}

function computeUnmet(
  use: UrgencyUse,
  name: resources.ResourceName,
  total: number,
): number {
  const floor = use.floor[name] * total;
  return Math.max(0, Math.min(floor - use.used[name], use.wanted[name]));
}

/** Capacity that an urgent request may take back without touching the floors. */
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
    const { used, kept, floor } = table[other];
    const aboveFloor = used[name] - floor[name] * total;
    sum += Math.max(0, Math.min(used[name] - kept[name], aboveFloor));
  }
  return sum;
}

/** A request for capacity of one urgency. */
export interface FloorRequest {
  readonly urgency: ids.Urgency;
  readonly need: resources.Resources;
  readonly times: number;
  readonly reclaimable: boolean;
}

/**
 * Work that can't be taken back may use what the floors of all more urgent classes
 * leave together, so that these find their floors free or can take them back.
 */
function isKeptAllowed(
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
    let kept = need;
    for (const below of ids.urgencies.slice(at + 1))
      kept += table[below].kept[name];
    if (kept > (1 - floors) * total) return false;
  }
  return true;
}

/** Work above its own floor leaves free what less urgent classes need up to theirs. */
function isUnmetLeft(
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
    unmet += computeUnmet(table[below], name, total);
  if (unmet === 0) return true;
  const free =
    total - shard.held[name] + computeReclaimable(request, table, name, total);
  return free - need >= unmet;
}

/** Tells whether a request leaves the floors of the other urgencies alone. */
export function isAboveFloors(
  request: FloorRequest,
  table: FloorTable,
  shard: fleet.Fleet,
): boolean {
  for (const name of resources.resourceNames) {
    if (request.need[name] === 0) continue;
    const total = shard.total[name];
    if (!request.reclaimable && !isKeptAllowed(request, table, name, total))
      return false;
    if (!isUnmetLeft(request, table, name, shard)) return false;
  }
  return true;
}
