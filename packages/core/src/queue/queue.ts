/**
 * Waiting tasks, by urgency, team and shape. Tasks of one shape need the same, so
 * one failed placement answers for all of them, and a job leaves the queue without
 * a scan. Teams with the least use for their weight go first.
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
  /** Jobs with tasks that wait again; they go first. */
  readonly again: Map<ids.JobId, rows.JobRow>;
  readonly fresh: Map<ids.JobId, rows.JobRow>;
  /** State of the fleet at which the shape was last refused; 0 for none. */
  refusedAt: number;
  /** List of workers for which the shape is known to fit an idle fleet; 0 for none. */
  fittingAt: number;
}

/** Waiting jobs and use of one team in one urgency. */
export interface TeamQueue {
  readonly team: ids.TeamName;
  readonly urgency: ids.Urgency;
  weight: number;
  /** Held by its attempts of this urgency. */
  readonly used: vector.Amount;
  /** Held by them in a way that can't be taken back. */
  readonly kept: vector.Amount;
  /** Held by attempts that are being stopped. */
  readonly leaving: vector.Amount;
  /** Needed by its waiting tasks. */
  readonly wanted: vector.Amount;
  /** Declared work of its waiting tasks, in resource ms. */
  readonly work: vector.Amount;
  readonly shapes: Map<string, ShapeQueue>;
  readonly refused: Map<string, ShapeQueue>;
}

/** The queue of a shard. */
export interface Queue {
  readonly teams: ReadonlyMap<
    ids.Urgency,
    ReadonlyMap<ids.TeamName, TeamQueue>
  >;
  /** Number of tasks that wait. */
  readLength(): number;
  getTeam(urgency: ids.Urgency, team: ids.TeamName): TeamQueue;
  /** Changes how many tasks of a job may start now. */
  applyWaiting(row: rows.JobRow, by: number): void;
  /** Makes the shapes that were refused eligible again; at the start of a tick. */
  restore(): void;
  /** The team to serve next in an urgency, if any has an eligible shape. */
  chooseTeam(
    urgency: ids.Urgency,
    total: resources.Resources,
  ): TeamQueue | undefined;
  /** The shape of a team to serve next. */
  chooseShape(team: TeamQueue): ShapeQueue | undefined;
  readHead(shape: ShapeQueue): rows.JobRow | undefined;
  /** Makes a shape ineligible until the next tick. */
  refuse(shape: ShapeQueue): void;
}

/** Shapes that are compared to find the job that waits longest. */
const SHAPES_COMPARED = 16;

function findHead(shape: ShapeQueue): rows.JobRow | undefined {
  for (const row of shape.again.values()) return row;
  for (const row of shape.fresh.values()) return row;
  return undefined;
}

function buildTeam(team: ids.TeamName, of: ids.Urgency): TeamQueue {
  return {
    team,
    urgency: of,
    weight: 1,
    used: vector.createAmount(),
    kept: vector.createAmount(),
    leaving: vector.createAmount(),
    wanted: vector.createAmount(),
    work: vector.createAmount(),
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
    again: new Map(),
    fresh: new Map(),
    refusedAt: 0,
    fittingAt: 0,
  };
  team.shapes.set(shape.key, created);
  return created;
}

function removeRow(team: TeamQueue, row: rows.JobRow): void {
  const shape =
    team.shapes.get(row.shape.key) ?? team.refused.get(row.shape.key);
  if (shape === undefined) return;
  shape.again.delete(row.id);
  shape.fresh.delete(row.id);
  if (shape.again.size + shape.fresh.size > 0) return;
  team.shapes.delete(row.shape.key);
  team.refused.delete(row.shape.key);
}

function addRow(team: TeamQueue, row: rows.JobRow): void {
  const shape = findShape(team, row.shape);
  if (row.again.length > 0) {
    shape.fresh.delete(row.id);
    shape.again.set(row.id, row);
  } else if (!shape.again.has(row.id)) shape.fresh.set(row.id, row);
}

function chooseTeamOf(
  teams: ReadonlyMap<ids.TeamName, TeamQueue>,
  total: resources.Resources,
): TeamQueue | undefined {
  let best: TeamQueue | undefined;
  let least = Number.POSITIVE_INFINITY;
  for (const team of teams.values()) {
    if (team.shapes.size === 0) continue;
    const share = vector.computeShare(team.used, total) / team.weight;
    if (share >= least) continue;
    best = team;
    least = share;
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
    if (compared >= SHAPES_COMPARED) break;
  }
  return best;
}

/** Creates an empty queue. */
export function createQueue(): Queue {
  const teams = new Map<ids.Urgency, Map<ids.TeamName, TeamQueue>>(
    urgency.urgencies.map((name) => [name, new Map()]),
  );
  const withRefused = new Set<TeamQueue>();
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
    row.waiting += by;
    length += by;
    vector.addTo(team.wanted, row.spec.size, by);
    vector.addTo(team.work, row.spec.size, by * row.spec.declaredMs);
    // A gang starts whole, so it is queued only when all its members wait.
    const least = row.spec.kind === 'gang' ? row.spec.count : 1;
    if (row.waiting < least || row.closed || row.unfit) removeRow(team, row);
    else addRow(team, row);
  }

  function restore(): void {
    for (const team of withRefused) {
      for (const [key, shape] of team.refused) team.shapes.set(key, shape);
      team.refused.clear();
    }
    withRefused.clear();
  }

  return {
    teams,
    readLength: () => length,
    getTeam,
    applyWaiting,
    restore,
    chooseTeam: (of, total) => {
      const byName = teams.get(of);
      return byName === undefined ? undefined : chooseTeamOf(byName, total);
    },
    chooseShape: chooseShapeOf,
    readHead: findHead,
    refuse(shape) {
      shape.team.shapes.delete(shape.shape.key);
      shape.team.refused.set(shape.shape.key, shape);
      withRefused.add(shape.team);
    },
  };
}
