/** Gauges of the jobs and shares of workspaces. Those of a process that owns nothing any more are 0. */
import type * as core from '@flamingoward/core';
import type * as observability from '@flamingoward/observability';

/** Sets the gauges. */
export interface WorkspaceMetrics {
  /** Sets the gauges of the workspaces as their owner lists them; none when there is no owner. */
  set(workspaces: readonly core.workloads.WorkspaceSummary[]): void;
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
  return {
    set(workspaces) {
      const current = new Set<string>();
      const setGauge = (
        name: string,
        labels: Record<string, string>,
        value: number,
      ): void => {
        const key = JSON.stringify([name, labels]);
        known.set(key, { name, labels });
        current.add(key);
        metrics.set(name, labels, value);
      };
      for (const { workspace, accepted, excess, pools } of workspaces) {
        setGauge('workspace_jobs_accepted', { workspace }, accepted);
        setGauge('workspace_jobs_excess', { workspace }, excess);
        for (const [pool, { used, entitled }] of pools) {
          const labels = { workspace, pool };
          setGauge('workspace_share_used', labels, used);
          setGauge('workspace_share_entitled', labels, entitled);
        }
      }
      for (const [key, { name, labels }] of known)
        if (!current.has(key)) metrics.set(name, labels, 0);
    },
  };
}
