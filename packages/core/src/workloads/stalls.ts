/**
 * Finds runs that stand still although their VM reports well, stops them and keeps
 * their VM free for a while. Reports come at least twice a second, so a run must be
 * unchanged over several of them.
 */
import * as placement from './placement.js';
import * as states from './state.js';
import type * as tables from './tables.js';

/** Time without progress after which a run counts as stalled, in ms. */
const STALLED_MS = 2_500;
/** Share of the estimated run time that a stalled run must also have stood still. */
const STALLED_SHARE = 0.2;
/** Time for which the VM gets no new work, in ms. */
const AVOID_STALLED_MS = 4_000;

/** Stops stalled runs. */
export function stopStalled(state: states.State, nowMs: number): void {
  for (const vm of state.vms.values()) {
    if (!vm.usable) continue;
    for (const run of [...vm.runs]) {
      if (!isStalled(run, vm, nowMs)) continue;
      run.task.avoided.add(vm.id);
      vm.avoidUntilMs = Math.max(vm.avoidUntilMs, nowMs + AVOID_STALLED_MS);
      states.stopRun(state, run, 'stalled', nowMs);
    }
  }
}

function isStalled(
  run: tables.RunRow,
  vm: tables.VmRow,
  nowMs: number,
): boolean {
  if (run.phase !== 'running' || run.percent === 100) return false;
  const { spec } = run.task.step;
  // Filling work may rightly get nothing for a while.
  if (spec.fills || placement.hasServing(vm)) return false;
  const stillMs = nowMs - run.movedMs;
  return stillMs > Math.max(STALLED_MS, STALLED_SHARE * spec.estimateMs);
}
