/**
 * Carries a question for advice to the node that was chosen for it: this one, or a
 * peer over its link.
 */
import type * as core from '@flamingoward/core';
import type * as contexts from './context.js';

/** Time beyond the expected one after which a call has failed, in ms. */
const ANSWER_MARGIN_MS = 1_500;

/** A question for advice, as the scheduler decides it. */
export type AdviceCommand = Extract<
  core.workloads.Command,
  { readonly command: 'advise' }
>;

/** Asks for advice through the nodes. */
export interface Adviser {
  /** Undefined when no answer came in time. */
  ask(
    command: AdviceCommand,
  ): Promise<readonly core.workloads.Ticket[] | undefined>;
  /** Peers that can ask. */
  listHelpers(): readonly core.workloads.HelperName[];
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
  const { metrics } = context;
  return {
    listHelpers: listPeers,
    ask({ step, vms, helper, expectedMs }) {
      const timeoutMs = Math.ceil(expectedMs + ANSWER_MARGIN_MS);
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
