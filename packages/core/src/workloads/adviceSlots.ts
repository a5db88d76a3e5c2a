/**
 * Chooses the node that sends an advice request. The advice service handles one request
 * of each node at a time, so a short request of an urgent step behind a long one would
 * wait many times its own service time. A long request therefore gets a node to itself,
 * and some nodes are kept for short requests while there are any. Requests of service
 * tasks are few and may use all of these but one, and overdue ones also nodes that are
 * busy with short requests. Requests of excess jobs are limited, since one that was sent
 * delays the requests of others that come after it. A request without a free node waits in the scheduler's order
 * instead of in the service's queue.
 */
import type * as types from './types.js';

/** Requests up to this service time count as short, in ms: a few of them delay a start less than a long one does. */
const SHORT_REQUEST_MAX_MS = 100;
/** Maximum number of short requests in flight at one node; more than one hides the network round trip. */
const MAX_SHORT_REQUESTS_PER_NODE = 3;
/** One node in this many is kept for short requests. */
const NODES_PER_SHORT_ONLY_NODE = 3;
/** Time after the last short request during which nodes are kept for short ones, in ms. */
const SHORT_REQUEST_WINDOW_MS = 5_000;
/** Time for which a node is skipped after an unanswered request, in ms. */
const UNANSWERED_BACKOFF_MS = 2_000;
/** Weight of a new sample in the moving average of a node's overhead. */
const OVERHEAD_EWMA_WEIGHT = 0.2;

/** Whose tasks a request is for. */
export type SlotUse = 'usual' | 'service' | 'overdue-service' | 'excess';

/** An advice request in flight at a node. */
interface InFlightRequest {
  readonly use: SlotUse;
  /** Service time. */
  readonly costMs: number;
  /** Time at which the service is expected to finish the request, without overhead. */
  readonly doneMs: number;
}

interface NodeRow {
  readonly inFlight: Set<InFlightRequest>;
  avoidUntilMs: number;
  /** Moving average of the response time beyond the service time, in ms. */
  overheadMs: number;
}

/** A slot of a node that was reserved for one request. */
export interface AdviceSlot {
  /** Node that sends the request. */
  readonly helper: types.HelperName;
  /** Expected time until the answer, in ms. */
  readonly expectedMs: number;
  /** Releases the slot; `answered` is whether the request was answered. */
  readonly release: (answered: boolean, nowMs: number) => void;
}

/** The nodes that send advice requests, with the requests in flight at each. */
export interface AdviceSlots {
  setHelpers(names: readonly types.HelperName[]): void;
  /** Returns whether a node has a slot for a request of a service time. */
  hasFreeSlot(costMs: number, nowMs: number, use?: SlotUse): boolean;
  /** Reserves a slot for a request of a service time; undefined when there is none. */
  reserve(costMs: number, nowMs: number, use?: SlotUse): AdviceSlot | undefined;
}

/** Creates the table of nodes, which contains the owner from the start. */
export function createAdviceSlots(): AdviceSlots {
  const rows = new Map<types.HelperName, NodeRow>();
  let lastShortRequestMs = -Infinity;
  /** Time until which the last node without a long request is left to short ones. */
  let lastNodeKeptUntilMs = -Infinity;
  rows.set('', createNode());

  function listResponsive(
    nowMs: number,
  ): (readonly [types.HelperName, NodeRow])[] {
    const responsive = [...rows].filter(([, row]) => row.avoidUntilMs <= nowMs);
    return responsive.length > 0 ? responsive : [...rows];
  }

  /** Chooses the node without a long request that is idle first, among those with fewer requests in flight than given. */
  function chooseIdleFirst(
    maxInFlight: number,
    nowMs: number,
  ): types.HelperName | undefined {
    let best: types.HelperName | undefined;
    let bestMs = Infinity;
    for (const [name, row] of listResponsive(nowMs)) {
      if (hasLongRequest(row) || row.inFlight.size >= maxInFlight) continue;
      const atMs = computeIdleMs(row, nowMs) + row.overheadMs;
      if (atMs >= bestMs) continue;
      best = name;
      bestMs = atMs;
    }
    return best;
  }

  function chooseForShort(nowMs: number): types.HelperName | undefined {
    return chooseIdleFirst(MAX_SHORT_REQUESTS_PER_NODE, nowMs);
  }

  function chooseForLong(nowMs: number): types.HelperName | undefined {
    const shortOnlyNodes =
      nowMs - lastShortRequestMs < SHORT_REQUEST_WINDOW_MS
        ? Math.floor(rows.size / NODES_PER_SHORT_ONLY_NODE)
        : 0;
    const nodesWithLong = [...rows.values()].filter(hasLongRequest).length;
    if (nodesWithLong >= Math.max(1, rows.size - shortOnlyNodes))
      return undefined;
    let best: types.HelperName | undefined;
    let bestMs = -Infinity;
    // Nodes with a low overhead are left to short requests.
    for (const [name, row] of listResponsive(nowMs)) {
      if (row.inFlight.size > 0 || row.overheadMs <= bestMs) continue;
      best = name;
      bestMs = row.overheadMs;
    }
    return best;
  }

  /**
   * Chooses a node for an overdue service, which waits behind the short requests that are
   * in flight there. Otherwise a steady flow of short requests keeps a few nodes busy for ever.
   */
  function chooseForOverdue(nowMs: number): types.HelperName | undefined {
    if (countNodes(hasServiceRequest) >= Math.ceil(rows.size / 2))
      return undefined;
    if (isLastWithoutLong() && nowMs < lastNodeKeptUntilMs) return undefined;
    return chooseIdleFirst(Infinity, nowMs);
  }

  function countNodes(isCounted: (row: NodeRow) => boolean): number {
    return [...rows.values()].filter(isCounted).length;
  }

  /** Counts the requests of excess jobs in flight; there may be one for every two nodes. */
  function countExcess(): number {
    let count = 0;
    for (const { inFlight } of rows.values())
      for (const { use } of inFlight) if (use === 'excess') count += 1;
    return count;
  }

  function isLastWithoutLong(): boolean {
    return countNodes(hasLongRequest) === rows.size - 1;
  }

  function chooseNode(
    costMs: number,
    nowMs: number,
    use: SlotUse,
  ): types.HelperName | undefined {
    if (use === 'excess' && countExcess() >= Math.max(1, rows.size / 2))
      return undefined;
    if (costMs <= SHORT_REQUEST_MAX_MS) return chooseForShort(nowMs);
    const node = chooseForLong(nowMs);
    if (node !== undefined || use === 'usual' || use === 'excess') return node;
    // One node stays free for short requests.
    const shared = isLastWithoutLong() ? undefined : chooseForShort(nowMs);
    if (shared !== undefined || use === 'service') return shared;
    return chooseForOverdue(nowMs);
  }

  return {
    hasFreeSlot: (costMs, nowMs, use = 'usual') =>
      chooseNode(costMs, nowMs, use) !== undefined,
    setHelpers(names) {
      for (const name of rows.keys())
        if (name !== '' && !names.includes(name)) rows.delete(name);
      for (const name of names)
        if (!rows.has(name)) rows.set(name, createNode());
    },
    reserve(costMs, nowMs, use = 'usual') {
      if (costMs <= SHORT_REQUEST_MAX_MS) lastShortRequestMs = nowMs;
      const helper = chooseNode(costMs, nowMs, use);
      const row = helper === undefined ? undefined : rows.get(helper);
      if (helper === undefined || row === undefined) return undefined;
      const doneMs = computeIdleMs(row, nowMs) + costMs;
      const request: InFlightRequest = { use, costMs, doneMs };
      if (use === 'overdue-service' && isLastWithoutLong())
        lastNodeKeptUntilMs = doneMs + costMs;
      row.inFlight.add(request);
      return {
        helper,
        expectedMs: doneMs - nowMs + row.overheadMs,
        release(answered, endMs) {
          row.inFlight.delete(request);
          if (!answered) row.avoidUntilMs = endMs + UNANSWERED_BACKOFF_MS;
          else {
            const overMs = Math.max(0, endMs - doneMs);
            row.overheadMs += (overMs - row.overheadMs) * OVERHEAD_EWMA_WEIGHT;
          }
        },
      };
    },
  };
}

function createNode(): NodeRow {
  return { inFlight: new Set(), avoidUntilMs: -Infinity, overheadMs: 0 };
}

function hasServiceRequest(row: NodeRow): boolean {
  for (const { use } of row.inFlight)
    if (use === 'service' || use === 'overdue-service') return true;
  return false;
}

function hasLongRequest(row: NodeRow): boolean {
  for (const { costMs } of row.inFlight)
    if (costMs > SHORT_REQUEST_MAX_MS) return true;
  return false;
}

/** Returns the time at which the service is expected to have answered all requests of a node. */
function computeIdleMs(row: NodeRow, nowMs: number): number {
  let idleMs = nowMs;
  for (const { doneMs } of row.inFlight) idleMs = Math.max(idleMs, doneMs);
  return idleMs;
}
