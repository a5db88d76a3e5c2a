/**
 * Routes each advice request to the node that the scheduler chose for it: to this
 * node's own connection to the advice service, or to a peer over its link.
 */
import type * as core from '@flamingoward/core';
import type * as contexts from './context.js';

/** Added to the expected duration of a call to get its timeout, in ms. */
const ADVICE_TIMEOUT_MARGIN_MS = 1_500;

/** An advice request as the scheduler issues it. */
export type AdviceCommand = Extract<
  core.workloads.Command,
  { readonly command: 'advise' }
>;

/** Sends advice requests through this node or a peer. */
export interface AdviceRouter {
  /** Resolves with undefined when the call failed or timed out. */
  ask(
    command: AdviceCommand,
  ): Promise<readonly core.workloads.Ticket[] | undefined>;
  /** Connected peers that can send a request to the advice service. */
  listHelpers(): readonly core.workloads.HelperName[];
}

/** Creates the router; `askPeer` sends a request through another node. */
export function createAdviceRouter(
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
): AdviceRouter {
  const { metrics } = context;
  return {
    listHelpers: listPeers,
    ask({ step, vms, helper, expectedMs }) {
      const timeoutMs = Math.ceil(expectedMs + ADVICE_TIMEOUT_MARGIN_MS);
      const through = helper === '' ? 'self' : 'peer';
      metrics.count('advice_calls', { through });
      return helper === ''
        ? context.ports.advice.ask(step, vms, timeoutMs)
        : askPeer(
            helper,
            { kind: 'cluster.advise', step, vms, timeoutMs },
            timeoutMs,
          );
    },
  };
}
