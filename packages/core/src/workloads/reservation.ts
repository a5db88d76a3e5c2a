/**
 * Reserves VMs for a gang that has no room. Without reservations, a steady flow of small
 * tasks takes every part of a VM that becomes free, and a gang that needs whole VMs waits
 * past its objective. Tasks that are expected to end before the VM is ready for the gang
 * may still use it (backfilling).
 */
import * as admission from './admission.js';
import * as advice from './advice.js';
import * as openVms from './openVms.js';
import * as placement from './placement.js';
import * as runTimes from './runTimes.js';
import * as speeds from './speed.js';
import type * as states from './state.js';
import * as tables from './tables.js';

/** Time after which a reservation expires unless it is renewed, in ms: several ticks. */
const RESERVATION_MS = 400;
/** Share of the tasks that must be expected to end before a reserved VM is ready, for their step to use it. */
const BACKFILL_SHARE = 0.9;

/** Reserves VMs for all members of a gang; returns the estimated time at which all are ready, or undefined when there are too few suitable VMs. */
export function reserveForGang(
  state: states.State,
  step: tables.StepRow,
  nowMs: number,
): number | undefined {
  const ready = chooseEarliestVms(state, step, nowMs);
  if (ready === undefined) return undefined;
  for (const [vm, readyMs] of ready)
    placement.reserveVm(vm, step, { untilMs: nowMs + RESERVATION_MS, readyMs });
  return Math.max(...ready.values());
}

/** Returns whether the VMs that may run a gang could hold it once all runs have ended but those that `isLong` selects. */
export function canHoldGang(
  state: states.State,
  step: tables.StepRow,
  isLong: (run: tables.RunRow) => boolean,
  nowMs: number,
): boolean {
  let places = 0;
  for (const vm of openVms.listForStep(state.openVms, step)) {
    if (vm.entry === undefined || !placement.isEligible(vm, step, nowMs))
      continue;
    const capacity = { ...vm.entry.capacity };
    for (const run of vm.runs)
      if (isLong(run))
        tables.addAmount(capacity, tables.getNeed(run.task.step.spec), -1);
    places += admission.countTasksThatFit({ ...vm.entry, capacity }, step.spec);
    if (places >= step.spec.count) return true;
  }
  return false;
}

/** Chooses the VMs that are ready first, with the estimated time at which each is ready. */
function chooseEarliestVms(
  state: states.State,
  step: tables.StepRow,
  nowMs: number,
): ReadonlyMap<tables.VmRow, number> | undefined {
  const candidates = openVms
    .listForStep(state.openVms, step)
    .filter(
      (vm) =>
        placement.isEligible(vm, step, nowMs) &&
        !placement.isReservedForOther(vm, step, nowMs) &&
        advice.isApproved(step, vm),
    );
  const planned = new Map<tables.VmRow, number>();
  const ready = new Map<tables.VmRow, number>();
  for (let member = 0; member < step.spec.count; member += 1) {
    let best: tables.VmRow | undefined;
    let bestMs = Infinity;
    for (const vm of candidates) {
      const tasks = (planned.get(vm) ?? 0) + 1;
      if (tasks > (step.spec.maxPerVm ?? Infinity)) continue;
      const readyMs = estimateReady(state, vm, step, tasks, nowMs);
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

/** Estimates the time at which a VM has room for a number of tasks; undefined when it never has. */
function estimateReady(
  state: states.State,
  vm: tables.VmRow,
  step: tables.StepRow,
  tasks: number,
  nowMs: number,
): number | undefined {
  const free = { ...tables.getFree(vm) };
  tables.addAmount(free, tables.getNeed(step.spec), 1 - tasks);
  const need = tables.getNeed(step.spec);
  if (tables.hasRoom(free, need)) return nowMs;
  const ends = [...vm.runs]
    .filter((run) => !run.task.step.spec.lasts)
    .map((run) => ({ run, endMs: estimateEnd(state, run, nowMs) }))
    .sort((a, b) => a.endMs - b.endMs);
  for (const { run, endMs } of ends) {
    tables.addAmount(free, tables.getNeed(run.task.step.spec), 1);
    if (tables.hasRoom(free, need)) return endMs;
  }
  return undefined;
}

function estimateEnd(
  state: states.State,
  run: tables.RunRow,
  nowMs: number,
): number {
  const speed = Math.exp(speeds.estimateLastingLog(state, run.vm, nowMs));
  return (
    nowMs + runTimes.estimateRemainingMs(state.runTimes, run, speed, nowMs)
  );
}

/** Returns whether tasks of a step are likely to end before a reserved VM is ready for the other step. */
export function isOverBeforeReady(
  state: states.State,
  vm: tables.VmRow,
  step: tables.StepRow,
  nowMs: number,
): boolean {
  if (step.spec.lasts) return false;
  const leftMs = vm.reservedReadyMs - nowMs;
  // The quantile is above the median and takes longer to compute.
  if (runTimes.estimateStepMs(state.runTimes, step, nowMs) >= leftMs)
    return false;
  return (
    runTimes.estimateQuantileMs(state.runTimes, step, BACKFILL_SHARE, nowMs) <
    leftMs
  );
}
