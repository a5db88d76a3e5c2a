/** Gauges of the use, the limit and the waiting steps of each workspace. */
import * as core from '@flamingoward/core';
import type * as observability from '@flamingoward/observability';

/** Gauges of workspaces. */
export interface WorkspaceGauges {
  /** Sets the gauges; workspaces that aren't in the list any more get 0. */
  update(uses: readonly core.workloads.WorkspaceUse[]): void;
}

/** Creates the gauges of workspaces. */
export function createWorkspaceGauges(
  metrics: observability.Metrics,
): WorkspaceGauges {
  const names = new Set<core.workloads.WorkspaceName>();

  function setGauges({
    name: workspace,
    used,
    limit,
    unrecorded,
    waitingSteps,
  }: core.workloads.WorkspaceUse): void {
    metrics.set('workspace_steps_waiting', { workspace }, waitingSteps);
    for (const resource of core.resources.resourceNames) {
      const labels = { workspace, resource };
      metrics.set('workspace_used', labels, used[resource]);
      metrics.set('workspace_unrecorded', labels, unrecorded[resource]);
      // As in the configuration, 0 stands for no limit.
      metrics.set(
        'workspace_limit',
        labels,
        Number.isFinite(limit[resource]) ? limit[resource] : 0,
      );
    }
  }

  return {
    update(uses) {
      const listed = new Set(uses.map(({ name }) => name));
      for (const name of names)
        if (!listed.has(name))
          setGauges({
            name,
            used: core.resources.noResources,
            limit: core.resources.noResources,
            unrecorded: core.resources.noResources,
            waitingSteps: 0,
          });
      for (const use of uses) {
        names.add(use.name);
        setGauges(use);
      }
    },
  };
}
