/**
 * Applies that the capacity of a VM has shrunk. What runs there stays, since stopping it
 * would lose work, and nothing starts until it fits again. Starts that haven't been sent
 * yet are withdrawn as far as they don't fit any more: their records may take long, and a
 * VM that doesn't check its capacity carries out every start.
 */
import * as ends from './ends.js';
import * as states from './state.js';
import * as tables from './tables.js';

const nothing = { cores: 0, memoryMb: 0, gpus: 0 };

/** Withdraws starts on a VM, the latest first, until the others fit into its capacity. */
export function cancelExcessStarts(
  state: states.State,
  vm: tables.VmRow,
  nowMs: number,
): void {
  for (const run of [...vm.runs].reverse()) {
    if (tables.hasRoom(tables.getFree(vm), nothing)) return;
    if (run.phase !== 'recording') continue;
    states.countEvent(state, 'start.shrunk');
    if (run.task.step.spec.gang) ends.stopGang(state, run.task.step, nowMs);
    else states.stopRun(state, run, 'shrunk', nowMs);
  }
}
