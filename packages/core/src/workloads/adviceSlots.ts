/**
 * Which node asks the advice service. Answers a mix of cheap and dear questions: the
 * service answers one call of each node at a time, so a cheap question of an urgent
 * step that is sent behind a dear one waits many times as long as its own answer
 * takes. Dear questions get a node each, some nodes are left to cheap ones while
 * there are any, and what finds no node waits in the order of service instead of in
 * the service's queue.
 */
import type * as types from './types.js';

/** Questions up to this cost count as cheap, in ms: a few of them delay a start less than a dear one. */
const CHEAP_MS = 100;
/** Cheap questions under way at one node; more than one covers the way to the service. */
const CHEAP_DEPTH = 3;
/** Of so many nodes, dear questions leave one to cheap ones. */
const NODES_PER_CHEAP = 3;
/** Time since the last cheap question for which nodes are left to them, in ms. */
const CHEAP_MEMORY_MS = 5_000;
/** Time for which a node that didn't answer is passed over, in ms. */
const AVOID_MS = 2_000;
/** Weight of one measurement of a node's overhead. */
const OVERHEAD_WEIGHT = 0.2;

/** A question that is under way at a node. */
interface Lane {
  readonly costMs: number;
  /** Time at which the answer is expected without overhead. */
  readonly doneMs: number;
}

interface HelperRow {
  readonly lanes: Set<Lane>;
  avoidUntilMs: number;
  /** Smoothed time beyond the service's own, in ms. */
  overheadMs: number;
}

/** A node that was chosen for a question. */
export interface Choice {
  readonly helper: types.HelperName;
  /** Time at which the answer is expected, from now, in ms. */
  readonly expectedMs: number;
  /** Ends the question; `answered` tells whether an answer came. */
  readonly release: (answered: boolean, nowMs: number) => void;
}

/** The nodes that ask for advice and what is under way at each. */
export interface Lanes {
  setHelpers(names: readonly types.HelperName[]): void;
  /** Tells whether a node is free for a question of a cost. */
  hasFree(costMs: number, nowMs: number): boolean;
  /** Chooses a node for a question of a cost; undefined when it should wait. */
  choose(costMs: number, nowMs: number): Choice | undefined;
}

/** Creates the table of nodes; the owner's own is known from the start. */
export function createLanes(): Lanes {
  const rows = new Map<types.HelperName, HelperRow>();
  let cheapAtMs = -Infinity;
  rows.set('', createRow());

  function listFree(nowMs: number): (readonly [types.HelperName, HelperRow])[] {
    const sound = [...rows].filter(([, row]) => row.avoidUntilMs <= nowMs);
    return sound.length > 0 ? sound : [...rows];
  }

  function chooseCheap(nowMs: number): types.HelperName | undefined {
    let best: types.HelperName | undefined;
    let bestMs = Infinity;
    for (const [name, row] of listFree(nowMs)) {
      if (hasDear(row) || row.lanes.size >= CHEAP_DEPTH) continue;
      const atMs = readFreeAt(row, nowMs) + row.overheadMs;
      if (atMs >= bestMs) continue;
      best = name;
      bestMs = atMs;
    }
    return best;
  }

  function chooseDear(nowMs: number): types.HelperName | undefined {
    const kept =
      nowMs - cheapAtMs < CHEAP_MEMORY_MS
        ? Math.floor(rows.size / NODES_PER_CHEAP)
        : 0;
    const dear = [...rows.values()].filter(hasDear).length;
    if (dear >= Math.max(1, rows.size - kept)) return undefined;
    let best: types.HelperName | undefined;
    let bestMs = -Infinity;
    // The nodes that are quick to reach are left to cheap questions.
    for (const [name, row] of listFree(nowMs)) {
      if (row.lanes.size > 0 || row.overheadMs <= bestMs) continue;
      best = name;
      bestMs = row.overheadMs;
    }
    return best;
  }

  function chooseHelper(
    costMs: number,
    nowMs: number,
  ): types.HelperName | undefined {
    return costMs <= CHEAP_MS ? chooseCheap(nowMs) : chooseDear(nowMs);
  }

  return {
    hasFree: (costMs, nowMs) => chooseHelper(costMs, nowMs) !== undefined,
    setHelpers(names) {
      for (const name of rows.keys())
        if (name !== '' && !names.includes(name)) rows.delete(name);
      for (const name of names)
        if (!rows.has(name)) rows.set(name, createRow());
    },
    choose(costMs, nowMs) {
      if (costMs <= CHEAP_MS) cheapAtMs = nowMs;
      const helper = chooseHelper(costMs, nowMs);
      const row = helper === undefined ? undefined : rows.get(helper);
      if (helper === undefined || row === undefined) return undefined;
      const doneMs = readFreeAt(row, nowMs) + costMs;
      const lane: Lane = { costMs, doneMs };
      row.lanes.add(lane);
      return {
        helper,
        expectedMs: doneMs - nowMs + row.overheadMs,
        release(answered, endMs) {
          row.lanes.delete(lane);
          if (!answered) row.avoidUntilMs = endMs + AVOID_MS;
          else {
            const overMs = Math.max(0, endMs - doneMs);
            row.overheadMs += (overMs - row.overheadMs) * OVERHEAD_WEIGHT;
          }
        },
      };
    },
  };
}

function createRow(): HelperRow {
  return { lanes: new Set(), avoidUntilMs: -Infinity, overheadMs: 0 };
}

function hasDear(row: HelperRow): boolean {
  for (const { costMs } of row.lanes) if (costMs > CHEAP_MS) return true;
  return false;
}

/** Time at which the service has answered all questions of a node. */
function readFreeAt(row: HelperRow, nowMs: number): number {
  let freeMs = nowMs;
  for (const { doneMs } of row.lanes) freeMs = Math.max(freeMs, doneMs);
  return freeMs;
}
