/**
 * Keeps VMs for a gang that finds no room. Answers a steady flow of small tasks onto
 * VMs with GPUs: without it a gang that needs whole VMs waits until its objective has
 * passed, because every part that becomes free is taken. Tasks that end before the
 * VM can be ready for the gang may still use it.
 */
import * as advice from './advice.js';
import * as placement from './placement.js';
import type * as states from './state.js';
import * as tables from './tables.js';

/** Time for which a reservation holds unless it is renewed, in ms: several ticks. */
const HOLD_MS = 400;
/** Declared run times are off by half in either direction. */
const ESTIMATE_MARGIN = 1.5;

/** Reserves VMs for all members of a gang; false when too few VMs could ever hold it. */
export function reserveFor(
  state: states.State,
  step: tables.StepRow,
  nowMs: number,
): boolean {
  const ready = choosePlaces(state, step, nowMs);
  if (ready === undefined) return false;
  for (const [vm, readyMs] of ready)
    placement.reserveVm(vm, step, { untilMs: nowMs + HOLD_MS, readyMs });
  return true;
}

/** Chooses VMs that are ready first, with the time at which each is. */
function choosePlaces(
  state: states.State,
  step: tables.StepRow,
  nowMs: number,
): ReadonlyMap<tables.VmRow, number> | undefined {
  const candidates = [...state.vms.values()].filter(
    (vm) =>
      placement.isEligible(vm, step, nowMs) &&
      !placement.isReserved(vm, step, nowMs) &&
      advice.isAllowedOn(step, vm),
  );
  const planned = new Map<tables.VmRow, number>();
  const ready = new Map<tables.VmRow, number>();
  for (let member = 0; member < step.spec.count; member += 1) {
    let best: tables.VmRow | undefined;
    let bestMs = Infinity;
    for (const vm of candidates) {
      const tasks = (planned.get(vm) ?? 0) + 1;
      if (tasks > (step.spec.maxPerVm ?? Infinity)) continue;
      const readyMs = estimateReady(vm, step, tasks, nowMs);
      if (readyMs === undefined || readyMs >= bestMs) continue;
      best = vm;
      bestMs = readyMs;
    }
    if (best === undefined) return undefined;
    planned.set(best, (planned.get(best) ?? 0) + 1);
    ready.set(best, bestMs);
  }
  return ready;
}

/** Time at which a VM has room for a number of tasks, when its runs end as estimated. */
function estimateReady(
  vm: tables.VmRow,
  step: tables.StepRow,
  tasks: number,
  nowMs: number,
): number | undefined {
  const free = { ...tables.readFree(vm) };
  tables.addAmount(free, tables.readNeed(step.spec), 1 - tasks);
  const need = tables.readNeed(step.spec);
  if (tables.hasRoom(free, need)) return nowMs;
  const ends = [...vm.runs]
    .filter((run) => !run.task.step.spec.lasts)
    .map((run) => ({ run, endMs: estimateEnd(run, nowMs) }))
    .sort((a, b) => a.endMs - b.endMs);
  for (const { run, endMs } of ends) {
    tables.addAmount(free, tables.readNeed(run.task.step.spec), 1);
    if (tables.hasRoom(free, need)) return endMs;
  }
  return undefined;
}

function estimateEnd(run: tables.RunRow, nowMs: number): number {
  const left = 1 - run.percent / 100;
  return nowMs + left * run.task.step.spec.estimateMs;
}

/** Tells whether a step's tasks are likely to end before a reserved VM is ready. */
export function isOverBefore(
  vm: tables.VmRow,
  step: tables.StepRow,
  nowMs: number,
): boolean {
  return (
    !step.spec.lasts &&
    nowMs + step.spec.estimateMs * ESTIMATE_MARGIN < vm.reservedFromMs
  );
}
