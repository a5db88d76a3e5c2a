/**
 * Preemption under the limit of a workspace: makes capacity under the limit for a step by
 * stopping runs of the same workspace that preemption allows. Without it, an urgent task
 * waits for tasks of its own workspace that run many times as long, beside idle VMs.
 */
import * as resources from '../types/resources.js';
import * as headroom from './headroom.js';
import * as preemption from './preemption.js';
import * as states from './state.js';
import * as tables from './tables.js';
import type * as types from './types.js';
import * as workspaceLimits from './workspaceLimits.js';

/** Maximum number of runs that are being stopped in one workspace for its limit at the same time. */
const MAX_STOPPING_RUNS = 6;

/**
 * Stops runs for the first task of each workspace's most urgent blocked step. The stops of
 * earlier rounds count, so that no more runs are stopped than one task needs.
 */
export function preemptForLimits(
  state: states.State,
  blocked: readonly tables.StepRow[],
  rooms: ReadonlyMap<types.PoolName, headroom.PoolRoom>,
  nowMs: number,
): void {
  const mostUrgent = new Map<string, tables.StepRow>();
  for (const step of blocked) {
    const name = step.occurrence.job.workspace?.name;
    if (name === undefined || step.spec.gang || step.spec.lasts) continue;
    const room = rooms.get(step.occurrence.job.policy.pool);
    // In a full pool, less use under the limit alone doesn't let the task start.
    if (room === undefined || !headroom.canFitOnVm(room, step)) continue;
    const other = mostUrgent.get(name);
    if (other === undefined || getPriority(step) < getPriority(other))
      mostUrgent.set(name, step);
  }
  for (const step of mostUrgent.values()) preemptForStep(state, step, nowMs);
}

function getPriority({ occurrence }: tables.StepRow): number {
  return occurrence.job.policy.priority;
}

function preemptForStep(
  state: states.State,
  step: tables.StepRow,
  nowMs: number,
): void {
  const account = step.occurrence.job.workspace;
  if (account === undefined) return;
  const free = workspaceLimits.computeFree(account);
  const victims: tables.RunRow[] = [];
  let stopping = 0;
  for (const run of account.runs)
    if (run.phase === 'stopping') {
      stopping += 1;
      tables.addAmount(free, run.task.step.spec.size, 1);
    } else if (preemption.isVictim(run, step, nowMs)) victims.push(run);
  // The least urgent first; of those, the ones that have done the least work.
  victims.sort(
    (a, b) =>
      getPriority(b.task.step) - getPriority(a.task.step) ||
      a.percent - b.percent,
  );
  const chosen: tables.RunRow[] = [];
  for (const run of victims) {
    if (tables.hasRoom(free, step.spec.size)) break;
    if (stopping + chosen.length >= MAX_STOPPING_RUNS) return;
    if (!canRelieve(free, step.spec.size, run)) continue;
    tables.addAmount(free, run.task.step.spec.size, 1);
    chosen.push(run);
  }
  if (!tables.hasRoom(free, step.spec.size)) return;
  for (const run of chosen) {
    run.task.preemptions += 1;
    states.stopRun(state, run, 'preempted-for-limit', nowMs);
  }
}

/** Returns whether a run uses a resource of which too little is free. */
function canRelieve(
  free: resources.Resources,
  need: resources.Resources,
  { task }: tables.RunRow,
): boolean {
  const { size } = task.step.spec;
  return resources.resourceNames.some(
    (name) => free[name] < need[name] && size[name] > 0,
  );
}
