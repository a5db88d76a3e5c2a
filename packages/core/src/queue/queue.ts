/**
 * The queue of waiting tasks, by urgency, team and shape. Tasks of one shape have the
 * same needs, so one failed placement holds for all of them, and a job is removed
 * without a scan. The team with the least use relative to its weight is served first.
 */
import type * as ids from '../types/ids.js';
import * as urgency from '../types/ids.js';
import type * as resources from '../types/resources.js';
import type * as placement from '../placement/rows.js';
import * as vector from '../placement/vector.js';
import type * as rows from '../scheduler/rows.js';

/** Waiting jobs of one team and shape. */
export interface ShapeQueue {
  readonly shape: placement.Shape;
  readonly team: TeamQueue;
  /** Jobs with requeued tasks; they are served first. */
  readonly requeued: Map<ids.JobId, rows.JobRow>;
  /** Jobs with fresh tasks only. */
  readonly fresh: Map<ids.JobId, rows.JobRow>;
  /** Stamp of the fleet at which no worker had room for the shape; 0 for none. */
  refusalStamp: number;
  /** List version of the fleet for which the shape fits when idle; 0 for none. */
  fittingListVersion: number;
}

/** Waiting jobs and resource use of one team in one urgency. */
export interface TeamQueue {
  readonly team: ids.TeamName;
  readonly urgency: ids.Urgency;
  weight: number;
  /** Held by its attempts of this urgency. */
  readonly used: vector.Amount;
  /** Held by those of its attempts that can't be reclaimed. */
  readonly nonReclaimable: vector.Amount;
  /** Held by those of its attempts that are being stopped. */
  readonly stopping: vector.Amount;
  /** Needed by its waiting tasks. */
  readonly demand: vector.Amount;
  /** Size times declared run time of its waiting tasks, such as core-ms. */
  readonly declaredWork: vector.Amount;
  /** Shapes that may still be placed in this tick, by key. */
  readonly shapes: Map<string, ShapeQueue>;
  /** Shapes that were refused in this tick, by key. */
  readonly refused: Map<string, ShapeQueue>;
}

/** The queue of a shard. */
export interface Queue {
  readonly teams: ReadonlyMap<
    ids.Urgency,
    ReadonlyMap<ids.TeamName, TeamQueue>
  >;
  /** Returns the number of waiting tasks. */
  getLength(): number;
  getTeam(urgency: ids.Urgency, team: ids.TeamName): TeamQueue;
  /** Changes the number of waiting tasks of a job. */
  updateWaitingCount(row: rows.JobRow, by: number): void;
  /** Makes refused shapes eligible again, at the start of a tick. */
  restore(): void;
  /** Chooses the team to serve next in an urgency, among those with an eligible shape. */
  chooseTeam(
    urgency: ids.Urgency,
    total: resources.Resources,
  ): TeamQueue | undefined;
  /** Chooses the eligible shape of a team with the job that was accepted first. */
  chooseShape(team: TeamQueue): ShapeQueue | undefined;
  /** Returns the job of a shape to serve next. */
  getHead(shape: ShapeQueue): rows.JobRow | undefined;
  /** Makes a shape ineligible until the next tick. */
  refuse(shape: ShapeQueue): void;
}

/** Shapes of a team that are compared to find the job that was accepted first. */
const MAX_SHAPES_COMPARED = 16;

function findHead(shape: ShapeQueue): rows.JobRow | undefined {
  for (const row of shape.requeued.values()) return row;
  for (const row of shape.fresh.values()) return row;
  return undefined;
}

function buildTeam(team: ids.TeamName, of: ids.Urgency): TeamQueue {
  return {
    team,
    urgency: of,
    weight: 1,
    used: vector.createAmount(),
    nonReclaimable: vector.createAmount(),
    stopping: vector.createAmount(),
    demand: vector.createAmount(),
    declaredWork: vector.createAmount(),
    shapes: new Map(),
    refused: new Map(),
  };
}

function findShape(team: TeamQueue, shape: placement.Shape): ShapeQueue {
  const known = team.shapes.get(shape.key) ?? team.refused.get(shape.key);
  if (known !== undefined) return known;
  const created: ShapeQueue = {
    shape,
    team,
    requeued: new Map(),
    fresh: new Map(),
    refusalStamp: 0,
    fittingListVersion: 0,
  };
  team.shapes.set(shape.key, created);
  return created;
}

function removeRow(team: TeamQueue, row: rows.JobRow): void {
  const shape =
    team.shapes.get(row.shape.key) ?? team.refused.get(row.shape.key);
  if (shape === undefined) return;
  shape.requeued.delete(row.id);
  shape.fresh.delete(row.id);
  if (shape.requeued.size + shape.fresh.size > 0) return;
  team.shapes.delete(row.shape.key);
  team.refused.delete(row.shape.key);
}

function addRow(team: TeamQueue, row: rows.JobRow): void {
  const shape = findShape(team, row.shape);
  if (row.requeued.length > 0) {
    shape.fresh.delete(row.id);
    shape.requeued.set(row.id, row);
  } else if (!shape.requeued.has(row.id)) shape.fresh.set(row.id, row);
}

function chooseTeamOf(
  teams: ReadonlyMap<ids.TeamName, TeamQueue>,
  total: resources.Resources,
): TeamQueue | undefined {
  let best: TeamQueue | undefined;
  let leastShare = Number.POSITIVE_INFINITY;
  for (const team of teams.values()) {
    if (team.shapes.size === 0) continue;
    const share = vector.computeShare(team.used, total) / team.weight;
    if (share >= leastShare) continue;
    best = team;
    leastShare = share;
  }
  return best;
}

function chooseShapeOf(team: TeamQueue): ShapeQueue | undefined {
  let best: ShapeQueue | undefined;
  let bestHead: rows.JobRow | undefined;
  let compared = 0;
  for (const shape of team.shapes.values()) {
    const head = findHead(shape);
    if (head === undefined) continue;
    if (bestHead === undefined || head.order < bestHead.order) {
      best = shape;
      bestHead = head;
    }
    compared += 1;
    if (compared >= MAX_SHAPES_COMPARED) break;
  }
  return best;
}

/** Creates an empty queue. */
export function createQueue(): Queue {
  const teams = new Map<ids.Urgency, Map<ids.TeamName, TeamQueue>>(
    urgency.urgencies.map((name) => [name, new Map()]),
  );
  const teamsWithRefused = new Set<TeamQueue>();
  let length = 0;

  function getTeam(of: ids.Urgency, name: ids.TeamName): TeamQueue {
    let byName = teams.get(of);
    if (byName === undefined) {
      byName = new Map();
      teams.set(of, byName);
    }
    let team = byName.get(name);
    if (team === undefined) {
      team = buildTeam(name, of);
      byName.set(name, team);
    }
    return team;
  }

  function applyWaiting(row: rows.JobRow, by: number): void {
    const team = getTeam(row.urgency, row.team);
    row.waitingTasks += by;
    length += by;
    vector.addTo(team.demand, row.spec.size, by);
    vector.addTo(team.declaredWork, row.spec.size, by * row.spec.declaredMs);
    // A gang starts whole, so it is queued only when all its members wait.
    const minWaiting = row.spec.kind === 'gang' ? row.spec.count : 1;
    if (row.waitingTasks < minWaiting || row.closed || row.isUnplaceable)
      removeRow(team, row);
    else addRow(team, row);
  }

  function restore(): void {
    for (const team of teamsWithRefused) {
      for (const [key, shape] of team.refused) team.shapes.set(key, shape);
      team.refused.clear();
    }
    teamsWithRefused.clear();
  }

  return {
    teams,
    getLength: () => length,
    getTeam,
    updateWaitingCount: applyWaiting,
    restore,
    chooseTeam: (of, total) => {
      const byName = teams.get(of);
      return byName === undefined ? undefined : chooseTeamOf(byName, total);
    },
    chooseShape: chooseShapeOf,
    getHead: findHead,
    refuse(shape) {
      shape.team.shapes.delete(shape.shape.key);
      shape.team.refused.set(shape.shape.key, shape);
      teamsWithRefused.add(shape.team);
    },
  };
}
