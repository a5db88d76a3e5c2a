/**
 * Asks that wait for a ticket: one list per urgency and team, so that an ask is
 * removed in constant time and a removed one can't be reached any more.
 */
import * as ids from '../types/ids.js';
import type * as types from './types.js';

/** A waiting ask, linked into the list of its urgency and team. */
export interface WaitingAsk {
  readonly ask: types.SlotAsk;
  readonly arrivedMs: number;
  readonly expiresMs: number;
  readonly list: TeamList;
  previous: WaitingAsk | undefined;
  next: WaitingAsk | undefined;
}

/** Waiting asks of one team in one urgency, oldest first. */
export interface TeamList {
  readonly urgency: ids.Urgency;
  readonly team: ids.TeamName;
  first: WaitingAsk | undefined;
  last: WaitingAsk | undefined;
  length: number;
  /** Slot time that the team's ended requests used, divided by its weight, in ms. */
  pass: number;
  /** Granted requests that haven't ended. */
  inFlight: number;
}

/** Waiting asks of one urgency. */
interface UrgencyQueue {
  readonly lists: Map<ids.TeamName, TeamList>;
  /** Only the teams that have asks waiting. */
  readonly active: Set<TeamList>;
  length: number;
  /** Highest pass that was served; an idle team doesn't save up shares below it. */
  floorPass: number;
}

/** All waiting asks of one shard. */
export interface WaitingQueue {
  add(ask: types.SlotAsk, nowMs: number): WaitingAsk;
  find(ask: types.AskId): WaitingAsk | undefined;
  remove(waiting: WaitingAsk): void;
  /** Teams with waiting asks, the lowest rank first. */
  sortTeams(
    urgency: ids.Urgency,
    rank: (list: TeamList) => number,
  ): readonly TeamList[];
  /** Counts a granted request of a team. */
  noteStart(urgency: ids.Urgency, team: ids.TeamName): void;
  /** Charges an ended request of a team. */
  noteEnd(urgency: ids.Urgency, team: ids.TeamName, weightedMs: number): void;
  count(urgency: ids.Urgency): number;
  countTeam(urgency: ids.Urgency, team: ids.TeamName): number;
  listTeams(urgency: ids.Urgency): Iterable<TeamList>;
  listAll(): Iterable<WaitingAsk>;
  readLength(): number;
}

/** Creates an empty queue. */
export function createWaitingQueue(): WaitingQueue {
  const byId = new Map<types.AskId, WaitingAsk>();
  const queues = new Map<ids.Urgency, UrgencyQueue>(
    ids.urgencies.map((urgency) => [
      urgency,
      { lists: new Map(), active: new Set(), length: 0, floorPass: 0 },
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
      pass: queue.floorPass,
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
      list.pass = Math.max(list.pass, queue.floorPass);
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

  function noteStart(urgency: ids.Urgency, team: ids.TeamName): void {
    const queue = getQueue(urgency);
    const list = ensureList(urgency, team);
    queue.floorPass = Math.max(queue.floorPass, list.pass);
    list.inFlight += 1;
  }

  function noteEnd(
    urgency: ids.Urgency,
    team: ids.TeamName,
    weightedMs: number,
  ): void {
    const list = ensureList(urgency, team);
    list.inFlight -= 1;
    list.pass += weightedMs;
  }

  return {
    add,
    find: (ask) => byId.get(ask),
    remove,
    sortTeams,
    noteStart,
    noteEnd,
    count: (urgency) => getQueue(urgency).length,
    countTeam: (urgency, team) =>
      getQueue(urgency).lists.get(team)?.length ?? 0,
    listTeams: (urgency) => getQueue(urgency).active,
    listAll: () => byId.values(),
    readLength: () => byId.size,
  };
}
