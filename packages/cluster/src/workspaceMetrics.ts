/** Gauges of the jobs, shares, use and limits of workspaces. Those of a process that owns nothing any more are 0. */
import * as core from '@flamingoward/core';
import type * as observability from '@flamingoward/observability';

/** Sets the gauges. */
export interface WorkspaceMetrics {
  /** Sets the gauges of the workspaces as their owner lists them; none when there is no owner. */
  set(
    workspaces: readonly core.workloads.WorkspaceSummary[],
    uses: readonly core.workloads.WorkspaceUse[],
  ): void;
}

/** Creates the gauges. */
export function createWorkspaceMetrics(
  metrics: observability.Metrics,
): WorkspaceMetrics {
  /** Gauges that were set, by name and labels. */
  const known = new Map<
    string,
    { readonly name: string; readonly labels: Record<string, string> }
  >();
  let current = new Set<string>();

  function setGauge(
    name: string,
    labels: Record<string, string>,
    value: number,
  ): void {
    const key = JSON.stringify([name, labels]);
    known.set(key, { name, labels });
    current.add(key);
    metrics.set(name, labels, value);
  }

  function setShares({
    workspace,
    accepted,
    excess,
    pools,
  }: core.workloads.WorkspaceSummary): void {
    setGauge('workspace_jobs_accepted', { workspace }, accepted);
    setGauge('workspace_jobs_excess', { workspace }, excess);
    for (const [pool, { used, entitled }] of pools) {
      const labels = { workspace, pool };
      setGauge('workspace_share_used', labels, used);
      setGauge('workspace_share_entitled', labels, entitled);
    }
  }

  function setUse({
    name: workspace,
    used,
    limit,
    unrecorded,
    waitingSteps,
  }: core.workloads.WorkspaceUse): void {
    setGauge('workspace_steps_waiting', { workspace }, waitingSteps);
    for (const resource of core.resources.resourceNames) {
      const labels = { workspace, resource };
      setGauge('workspace_used', labels, used[resource]);
      setGauge('workspace_unrecorded', labels, unrecorded[resource]);
      // As in the configuration, 0 stands for no limit.
      setGauge(
        'workspace_limit',
        labels,
        Number.isFinite(limit[resource]) ? limit[resource] : 0,
      );
    }
  }

  return {
    set(workspaces, uses) {
      current = new Set();
      workspaces.forEach(setShares);
      uses.forEach(setUse);
      for (const [key, { name, labels }] of known)
        if (!current.has(key)) metrics.set(name, labels, 0);
    },
  };
}
