/**
 * Index of the VMs that may get new runs. A round looks for places and for VMs to ask
 * about on behalf of hundreds of steps; a search through all VMs of the cluster for each
 * of them would cost more processor time than everything else that an owner does.
 */
import type * as states from './state.js';
import * as tables from './tables.js';
import type * as types from './types.js';

/** VMs that may get new runs in a round, in the order of the tables. */
export interface OpenVms {
  readonly byPool: ReadonlyMap<types.PoolName, readonly tables.VmRow[]>;
  readonly byIncarnationKey: ReadonlyMap<string, OpenVm>;
}

interface OpenVm {
  readonly vm: tables.VmRow;
  /** Position in the order of the tables. */
  readonly position: number;
}

/** Indexes the VMs that may get new runs now; the index holds for one round. */
export function collectOpenVms(state: states.State, nowMs: number): OpenVms {
  const byPool = new Map<types.PoolName, tables.VmRow[]>();
  const byIncarnationKey = new Map<string, OpenVm>();
  for (const vm of state.vms.values()) {
    if (!isOpen(vm, nowMs)) continue;
    const position = byIncarnationKey.size;
    byIncarnationKey.set(vm.incarnationKey, { vm, position });
    const { pool } = vm.entry;
    const vms = byPool.get(pool);
    if (vms === undefined) byPool.set(pool, [vm]);
    else vms.push(vm);
  }
  return { byPool, byIncarnationKey };
}

/** Returns whether a VM may get new runs, as far as no particular step is concerned. */
export function isOpen(
  vm: tables.VmRow,
  nowMs: number,
): vm is tables.VmRow & { readonly entry: types.VmEntry } {
  const { entry } = vm;
  return (
    entry !== undefined &&
    !entry.draining &&
    tables.hasCurrentEntry(vm) &&
    vm.usable &&
    vm.hasListedAll &&
    vm.strayRuns.size === 0 &&
    vm.avoidUntilMs <= nowMs
  );
}

/** Lists the open VMs of the pool that a step uses. */
export function listForStep(
  open: OpenVms,
  step: tables.StepRow,
): readonly tables.VmRow[] {
  return open.byPool.get(step.occurrence.job.policy.pool) ?? [];
}

/** Lists the open VMs for which a step has tickets, usable or expired. */
export function listApproved(
  open: OpenVms,
  step: tables.StepRow,
): readonly tables.VmRow[] {
  const approved: OpenVm[] = [];
  for (const key of step.advice.tickets.keys()) {
    const entry = open.byIncarnationKey.get(key);
    if (entry !== undefined) approved.push(entry);
  }
  return approved.sort((a, b) => a.position - b.position).map(({ vm }) => vm);
}
