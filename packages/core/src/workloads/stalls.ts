/**
 * Stops runs that make no progress although their VM reports regularly, and places no new
 * runs on that VM for a while. VMs report at least twice a second, so several reports in
 * a row must show no progress.
 */
import * as placement from './placement.js';
import * as runTimes from './runTimes.js';
import * as states from './state.js';
import type * as tables from './tables.js';

/** Time without progress after which a run counts as stalled, in ms. */
const STALL_TIMEOUT_MS = 2_500;
/** Share of the estimated run time that must also have passed without progress. */
const STALL_TIMEOUT_SHARE = 0.2;
/** Time for which the VM of a stalled run gets no new runs, in ms. */
const STALL_BACKOFF_MS = 4_000;

/** Stops stalled runs. */
export function stopStalled(state: states.State, nowMs: number): void {
  for (const vm of state.vms.values()) {
    if (!vm.usable) continue;
    for (const run of vm.runs) {
      if (!isStalled(state, run, vm, nowMs)) continue;
      run.task.avoidedVms.add(vm.id);
      vm.avoidUntilMs = Math.max(vm.avoidUntilMs, nowMs + STALL_BACKOFF_MS);
      states.stopRun(state, run, 'stalled', nowMs);
    }
  }
}

function isStalled(
  state: states.State,
  run: tables.RunRow,
  vm: tables.VmRow,
  nowMs: number,
): boolean {
  if (run.phase !== 'running' || run.percent === 100) return false;
  const { spec } = run.task.step;
  const noProgressMs = nowMs - run.progressChangedMs;
  if (noProgressMs <= STALL_TIMEOUT_MS) return false;
  const takesMs = runTimes.estimateStepMs(state.runTimes, run.task.step, nowMs);
  if (noProgressMs <= STALL_TIMEOUT_SHARE * takesMs) return false;
  // Filler tasks may get no processor time for a while.
  return !spec.fills && !placement.hasLatencyBoundTask(vm);
}
