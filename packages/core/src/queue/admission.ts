/**
 * Admission control: estimates how long a submitted job would wait and refuses it when
 * the queue is full or the wait exceeds the limit of its class, so that work that can't
 * start in time is refused at submission instead of timing out later.
 */
import * as ids from '../types/ids.js';
import type * as reasons from '../types/reasons.js';
import * as resources from '../types/resources.js';
import type * as vector from '../placement/vector.js';
import type * as queue from './queue.js';

/** Number of waiting tasks of a shard at which further jobs are refused. */
export const MAX_WAITING_TASKS = 200_000;

/** Inputs of the expected wait of a job. */
export interface WaitRequest {
  readonly urgency: ids.Urgency;
  readonly team: ids.TeamName;
  readonly need: resources.Resources;
  readonly total: resources.Resources;
  readonly floors: Readonly<Record<ids.Urgency, number>>;
  /** Recent ratio of actual to declared run time of the class. */
  readonly runTimeRatio: number;
}

function isActive(team: queue.TeamQueue): boolean {
  return team.demand.cores + team.demand.memoryMb + team.demand.gpus > 0;
}

interface Backlog {
  /** Declared work of the same and all more urgent urgencies. */
  all: number;
  /** Declared work of the same urgency. */
  own: number;
  /** Declared work of the same urgency and team. */
  team: number;
  /** Sum of the weights of the other teams with waiting tasks in the same urgency. */
  weights: number;
}

function collectBacklog(
  table: queue.Queue,
  request: WaitRequest,
  name: keyof vector.Amount,
): Backlog {
  const backlog: Backlog = { all: 0, own: 0, team: 0, weights: 0 };
  for (const urgency of ids.urgencies) {
    for (const team of table.teams.get(urgency)?.values() ?? []) {
      backlog.all += team.declaredWork[name];
      if (urgency !== request.urgency || !isActive(team)) continue;
      backlog.own += team.declaredWork[name];
      if (team.team === request.team) backlog.team = team.declaredWork[name];
      else backlog.weights += team.weight;
    }
    if (urgency === request.urgency) break;
  }
  return backlog;
}

/** Computes the expected wait of a job; 0 when nothing is queued ahead of it. */
export function computeWait(table: queue.Queue, request: WaitRequest): number {
  let waitMs = 0;
  const team = table.teams.get(request.urgency)?.get(request.team);
  const weight = team?.weight ?? 1;
  for (const name of resources.resourceNames) {
    if (request.need[name] === 0 || request.total[name] === 0) continue;
    const {
      all,
      own,
      team: ofTeam,
      weights,
    } = collectBacklog(table, request, name);
    const capacity = request.total[name];
    const floor = Math.max(0.01, request.floors[request.urgency]);
    // More urgent work can't use the floor of this urgency, and other teams can't use the
    // share of this team.
    const inUrgency = Math.min(all / capacity, own / (capacity * floor));
    const part = weight / (weight + weights);
    const inTeam = ofTeam / (capacity * floor * part);
    waitMs = Math.max(
      waitMs,
      Math.min(inUrgency, inTeam) * request.runTimeRatio,
    );
  }
  return waitMs;
}

/** Returns the reason to refuse a job: a full queue, or an expected wait above the limit. */
export function findWaitReason(
  length: number,
  expectedMs: number,
  limitMs: number,
): reasons.Reason | undefined {
  if (length >= MAX_WAITING_TASKS)
    return { reason: 'queue-full', length, limit: MAX_WAITING_TASKS };
  if (expectedMs > limitMs)
    return { reason: 'expected-wait', expectedMs, limitMs };
  return undefined;
}
