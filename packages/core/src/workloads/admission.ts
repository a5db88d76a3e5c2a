/**
 * Admission check: refuses jobs that the limit of their workspace never covers, or that
 * the VMs of their pool couldn't run even if all were idle. They would otherwise wait until their caller gives up. A long queue is no reason
 * to refuse. An earlier attempt whose answer was lost may still become durable, so a
 * refusal must also hold for that attempt.
 */
import * as tables from './tables.js';
import type * as states from './state.js';
import type * as types from './types.js';
import * as workspaceLimits from './workspaceLimits.js';

/** Time after a change of owner before VMs count as missing, in ms. Their entries are back within 2 s. */
const VM_DISCOVERY_MS = 5_000;

/** Returns why the limit of a job's workspace or the listed VMs can't cover it; undefined when they can or when the VM list may be incomplete. */
export function checkAdmission(
  state: states.State,
  steps: readonly types.StepSpec[],
  pool: types.PoolName,
  nowMs: number,
  workspace?: types.WorkspaceName,
): string | undefined {
  const limitReason =
    workspace === undefined
      ? undefined
      : workspaceLimits.checkSteps(state.workspaces.get(workspace), steps);
  if (limitReason !== undefined) return limitReason;
  if (nowMs - state.createdMs < VM_DISCOVERY_MS) return undefined;
  const entries = [...state.vms.values()]
    .map(({ entry }) => entry)
    .filter((entry) => entry?.pool === pool)
    .filter((entry) => entry !== undefined);
  if (entries.length === 0) return undefined;
  for (const [index, spec] of steps.entries()) {
    const taskCapacity = entries.reduce(
      (sum, entry) => sum + countTasksThatFit(entry, spec),
      0,
    );
    if (taskCapacity === 0)
      return `no VM of the pool is large enough for a task of step ${index}, or has its label`;
    if (spec.gang && taskCapacity < spec.count)
      return `the VMs of the pool hold ${taskCapacity} of the ${spec.count} tasks of step ${index}, which start together`;
  }
  return undefined;
}

/** Counts the tasks of a step that fit on an idle VM. */
export function countTasksThatFit(
  entry: types.VmEntry,
  spec: types.StepSpec,
): number {
  if (spec.label !== undefined && !entry.labels.includes(spec.label)) return 0;
  const need = tables.getNeed(spec);
  const free = { ...entry.capacity };
  const maxCount = Math.min(spec.count, spec.maxPerVm ?? Infinity);
  let count = 0;
  while (count < maxCount && tables.hasRoom(free, need)) {
    tables.addAmount(free, need, -1);
    count += 1;
  }
  return count;
}
