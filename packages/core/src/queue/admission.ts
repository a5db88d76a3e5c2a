/**
 * Checks of a job before it is accepted. The queue is bounded by the wait that a job
 * can expect, so that work which can't start in time is refused early instead of late.
 */
import * as ids from '../types/ids.js';
import type * as reasons from '../types/reasons.js';
import * as resources from '../types/resources.js';
import type * as vector from '../placement/vector.js';
import type * as queue from './queue.js';

/** Waiting tasks of a shard at which further jobs are refused whatever they would wait. */
export const MAX_WAITING_TASKS = 200_000;

/** What the expected wait depends on. */
export interface WaitRequest {
  readonly urgency: ids.Urgency;
  readonly team: ids.TeamName;
  readonly need: resources.Resources;
  readonly total: resources.Resources;
  readonly floors: Readonly<Record<ids.Urgency, number>>;
  /** Ratio of actual to declared run time lately. */
  readonly stretch: number;
}

function isActive(team: queue.TeamQueue): boolean {
  return team.wanted.cores + team.wanted.memoryMb + team.wanted.gpus > 0;
}

interface Backlog {
  /** Work ahead in the same and more urgent classes. */
  all: number;
  /** Work of the same urgency. */
  own: number;
  /** Work of the same urgency and team. */
  team: number;
  /** Sum of the weights of the teams that wait in the same urgency. */
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
      backlog.all += team.work[name];
      if (urgency !== request.urgency || !isActive(team)) continue;
      backlog.own += team.work[name];
      if (team.team === request.team) backlog.team = team.work[name];
      else backlog.weights += team.weight;
    }
    if (urgency === request.urgency) break;
  }
  return backlog;
}

/** Computes the wait in ms that a job can expect; 0 when nothing waits ahead. */
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
    // More urgent work can't take the floor, and other teams can't take the team's part.
    const inUrgency = Math.min(all / capacity, own / (capacity * floor));
    const part = weight / (weight + weights);
    const inTeam = ofTeam / (capacity * floor * part);
    waitMs = Math.max(waitMs, Math.min(inUrgency, inTeam) * request.stretch);
  }
  return waitMs;
}

/** Refuses when the queue is full or the expected wait is longer than the limit. */
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
