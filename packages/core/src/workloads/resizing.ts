/**
 * Applies that a VM has changed: its capacity has shrunk, it drains, or it was restarted,
 * perhaps as another kind. What runs there stays, since stopping it would lose work, and
 * nothing starts until it fits again. Starts that haven't been sent yet are withdrawn as
 * far as they don't fit any more: their records may take long, and a VM that doesn't
 * check its capacity carries out every start.
 */
import * as ends from './ends.js';
import * as placement from './placement.js';
import * as states from './state.js';
import * as tables from './tables.js';

const nothing = { cores: 0, memoryMb: 0, gpus: 0 };

/** Withdraws the starts on a VM that don't suit it any more. */
export function cancelUnfitStarts(
  state: states.State,
  vm: tables.VmRow,
  nowMs: number,
): void {
  for (const run of vm.runs)
    if (run.phase === 'recording' && !isFit(run))
      cancelStart(state, run, 'vm-changed', nowMs);
  cancelExcessStarts(state, vm, nowMs);
}

/** Returns whether a VM is still what it was when a start was decided, as far as its entry tells. */
function isFit({ task, vm, incarnation }: tables.RunRow): boolean {
  if (incarnation !== vm.incarnation) return false;
  const { entry } = vm;
  if (entry === undefined) return true;
  return (
    tables.hasCurrentEntry(vm) &&
    !entry.draining &&
    placement.isOfKind(entry, task.step)
  );
}

function cancelStart(
  state: states.State,
  run: tables.RunRow,
  why: string,
  nowMs: number,
): void {
  states.countEvent(state, `start.${why}`);
  if (run.task.step.spec.gang) ends.stopGang(state, run.task.step, nowMs);
  else states.stopRun(state, run, why, nowMs);
}

/** Withdraws starts on a VM, the latest first, until the others fit into its capacity. */
function cancelExcessStarts(
  state: states.State,
  vm: tables.VmRow,
  nowMs: number,
): void {
  for (const run of [...vm.runs].reverse()) {
    if (tables.hasRoom(tables.getFree(vm), nothing)) return;
    if (run.phase !== 'recording') continue;
    cancelStart(state, run, 'shrunk', nowMs);
  }
}
