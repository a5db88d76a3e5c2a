/**
 * Spreads questions for advice over the nodes: the service answers one call of each
 * node at a time, so calls of the owner alone would queue behind each other while
 * other nodes have none.
 */
import type * as core from '@flamingoward/core';
import type * as contexts from './context.js';

/** Calls that may wait at one node. */
const CALLS_PER_NODE = 2;
/** Time beyond the expected one after which a call has failed, in ms. */
const ANSWER_MARGIN_MS = 1_500;
/** Time for which a node that failed is passed over, in ms. */
const AVOID_MS = 2_000;

/** A node that can ask for advice. */
export interface Helper {
  /** Undefined for this node. */
  readonly instance: core.ids.InstanceId | undefined;
}

/** Asks for advice through the nodes. */
export interface Adviser {
  ask(
    step: core.workloads.StepKey,
    vms: readonly core.ids.VmId[],
    costMs: number,
  ): Promise<readonly core.workloads.Ticket[] | undefined>;
  /** Calls that may be under way at the same time. */
  readonly readSlots: () => number;
}

interface HelperRow {
  freeAtMs: number;
  avoidUntilMs: number;
}

/** Creates the adviser; `askPeer` asks through another node. */
export function createAdviser(
  context: contexts.NodeContext,
  listPeers: () => readonly core.ids.InstanceId[],
  askPeer: (
    peer: core.ids.InstanceId,
    question: Extract<
      core.messages.Question,
      { readonly kind: 'cluster.advise' }
    >,
    timeoutMs: number,
  ) => Promise<readonly core.workloads.Ticket[] | undefined>,
): Adviser {
  const { timers, metrics } = context;
  const rows = new Map<string, HelperRow>();

  function ensureRow(name: string): HelperRow {
    const row = rows.get(name) ?? { freeAtMs: 0, avoidUntilMs: 0 };
    rows.set(name, row);
    return row;
  }

  /** Chooses the node that is free first; '' is this node. */
  function chooseHelper(nowMs: number): string {
    let best = '';
    let bestAtMs = Math.max(nowMs, ensureRow('').freeAtMs);
    for (const peer of listPeers()) {
      const row = ensureRow(peer);
      if (row.avoidUntilMs > nowMs) continue;
      const atMs = Math.max(nowMs, row.freeAtMs);
      if (atMs >= bestAtMs) continue;
      best = peer;
      bestAtMs = atMs;
    }
    return best;
  }

  return {
    readSlots: () => (1 + listPeers().length) * CALLS_PER_NODE,
    async ask(step, vms, costMs) {
      const nowMs = timers.readNow();
      const helper = chooseHelper(nowMs);
      const row = ensureRow(helper);
      row.freeAtMs = Math.max(nowMs, row.freeAtMs) + costMs;
      const timeoutMs = row.freeAtMs - nowMs + ANSWER_MARGIN_MS;
      metrics.count('advice_calls', {
        through: helper === '' ? 'self' : 'peer',
      });
      const good =
        helper === ''
          ? await context.ports.advice.ask(step, vms, timeoutMs)
          : await askPeer(
              helper,
              { kind: 'cluster.advise', step, vms, timeoutMs },
              timeoutMs,
            );
      if (good === undefined) row.avoidUntilMs = timers.readNow() + AVOID_MS;
      return good;
    },
  };
}
