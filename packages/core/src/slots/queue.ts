/**
 * The queue of ticket requests ("asks") of one shard. Each urgency and team has a
 * doubly linked list, so an ask is removed in constant time when it is granted,
 * cancelled or expired. Teams of one urgency are ordered by weighted fair queueing.
 */
import * as ids from '../types/ids.js';
import type * as types from './types.js';

/** A queued ask: a node of the linked list of its urgency and team. */
export interface WaitingAsk {
  readonly ask: types.SlotAsk;
  readonly arrivedMs: number;
  readonly expiresMs: number;
  readonly list: TeamList;
  previous: WaitingAsk | undefined;
  next: WaitingAsk | undefined;
}

/** Linked list of the waiting asks of one team in one urgency, oldest first. */
export interface TeamList {
  readonly urgency: ids.Urgency;
  readonly team: ids.TeamName;
  first: WaitingAsk | undefined;
  last: WaitingAsk | undefined;
  length: number;
  /** Slot time used by the team's ended requests, divided by the team's weight, in ms. */
  weightedUseMs: number;
  /** Number of granted requests that have not ended. */
  inFlight: number;
}

/** The lists of one urgency, by team. */
interface UrgencyQueue {
  readonly lists: Map<ids.TeamName, TeamList>;
  /** Lists that contain at least one waiting ask. */
  readonly active: Set<TeamList>;
  length: number;
  /**
   * Highest weighted use of a team at the time of a grant. A team that becomes active
   * starts at least here, so that it builds up no credit while it is idle.
   */
  minWeightedUseMs: number;
}

/** The waiting asks of one shard. */
export interface WaitingQueue {
  /** Adds an ask at the end of its team's list. */
  add(ask: types.SlotAsk, nowMs: number): WaitingAsk;
  find(ask: types.AskId): WaitingAsk | undefined;
  /** Removes an ask; does nothing if it was removed before. */
  remove(waiting: WaitingAsk): void;
  /** Lists teams with waiting asks, lowest rank first; equal ranks by name. */
  sortTeams(
    urgency: ids.Urgency,
    rank: (list: TeamList) => number,
  ): readonly TeamList[];
  /** Adds a granted request to the requests in flight of its team. */
  recordStart(urgency: ids.Urgency, team: ids.TeamName): void;
  /** Removes an ended request from those in flight and adds its slot time to the team's use. */
  recordEnd(urgency: ids.Urgency, team: ids.TeamName, weightedMs: number): void;
  /** Counts the waiting asks of an urgency. */
  count(urgency: ids.Urgency): number;
  /** Counts the waiting asks of a team. */
  countTeam(urgency: ids.Urgency, team: ids.TeamName): number;
  /** Lists teams with waiting asks in no particular order. */
  listTeams(urgency: ids.Urgency): Iterable<TeamList>;
  listAll(): Iterable<WaitingAsk>;
  /** Number of all waiting asks. */
  getLength(): number;
}

/** Creates an empty queue. */
export function createWaitingQueue(): WaitingQueue {
  const byId = new Map<types.AskId, WaitingAsk>();
  const queues = new Map<ids.Urgency, UrgencyQueue>(
    ids.urgencies.map((urgency) => [
      urgency,
      { lists: new Map(), active: new Set(), length: 0, minWeightedUseMs: 0 },
    ]),
  );

  function getQueue(urgency: ids.Urgency): UrgencyQueue {
    const queue = queues.get(urgency);
    if (queue === undefined) throw new Error(`no urgency ${urgency}`);
    return queue;
  }

  function ensureList(urgency: ids.Urgency, team: ids.TeamName): TeamList {
    const queue = getQueue(urgency);
    const known = queue.lists.get(team);
    if (known !== undefined) return known;
    const list: TeamList = {
      urgency,
      team,
      first: undefined,
      last: undefined,
      length: 0,
      weightedUseMs: queue.minWeightedUseMs,
      inFlight: 0,
    };
    queue.lists.set(team, list);
    return list;
  }

  function add(ask: types.SlotAsk, nowMs: number): WaitingAsk {
    const list = ensureList(ask.urgency, ask.team);
    const queue = getQueue(ask.urgency);
    const waiting: WaitingAsk = {
      ask,
      arrivedMs: nowMs,
      expiresMs: nowMs + ask.deadlineMs,
      list,
      previous: list.last,
      next: undefined,
    };
    if (list.last === undefined) list.first = waiting;
    else list.last.next = waiting;
    list.last = waiting;
    list.length += 1;
    queue.length += 1;
    if (list.length === 1) {
      list.weightedUseMs = Math.max(list.weightedUseMs, queue.minWeightedUseMs);
      queue.active.add(list);
    }
    byId.set(ask.id, waiting);
    return waiting;
  }

  function remove(waiting: WaitingAsk): void {
    if (!byId.delete(waiting.ask.id)) return;
    const { list, previous, next } = waiting;
    if (previous === undefined) list.first = next;
    else previous.next = next;
    if (next === undefined) list.last = previous;
    else next.previous = previous;
    list.length -= 1;
    const queue = getQueue(list.urgency);
    queue.length -= 1;
    if (list.length === 0) queue.active.delete(list);
  }

  function sortTeams(
    urgency: ids.Urgency,
    rank: (list: TeamList) => number,
  ): readonly TeamList[] {
    const active = [...getQueue(urgency).active];
    return active.length < 2
      ? active
      : active.sort((a, b) => rank(a) - rank(b) || (a.team < b.team ? -1 : 1));
  }

  function recordStart(urgency: ids.Urgency, team: ids.TeamName): void {
    const queue = getQueue(urgency);
    const list = ensureList(urgency, team);
    queue.minWeightedUseMs = Math.max(
      queue.minWeightedUseMs,
      list.weightedUseMs,
    );
    list.inFlight += 1;
  }

  function recordEnd(
    urgency: ids.Urgency,
    team: ids.TeamName,
    weightedMs: number,
  ): void {
    const list = ensureList(urgency, team);
    list.inFlight -= 1;
    list.weightedUseMs += weightedMs;
  }

  return {
    add,
    find: (ask) => byId.get(ask),
    remove,
    sortTeams,
    recordStart,
    recordEnd,
    count: (urgency) => getQueue(urgency).length,
    countTeam: (urgency, team) =>
      getQueue(urgency).lists.get(team)?.length ?? 0,
    listTeams: (urgency) => getQueue(urgency).active,
    listAll: () => byId.values(),
    getLength: () => byId.size,
  };
}
