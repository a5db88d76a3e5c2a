/**
 * Moves service tasks off VMs that are about to leave. A VM that leaves ends its runs,
 * and its last answer may not tell that, so a task that stays to the end is missing until
 * the VM is known to be gone. A task stays while no other VM has room for it. Starts on
 * such a VM that haven't been sent yet are withdrawn.
 */
import * as advice from './advice.js';
import * as ends from './ends.js';
import * as placement from './placement.js';
import * as states from './state.js';
import * as tables from './tables.js';

/** Withdraws starts on draining VMs whose records aren't durable yet. */
export function cancelStartsOnDraining(
  state: states.State,
  nowMs: number,
): void {
  for (const vm of state.vms.values()) {
    if (!vm.leaving) continue;
    for (const run of [...vm.runs]) {
      if (run.phase !== 'recording') continue;
      if (run.task.step.spec.gang) ends.stopGang(state, run.task.step, nowMs);
      else states.stopRun(state, run, 'draining', nowMs);
    }
  }
}

/** Stops the service tasks on draining VMs that can run elsewhere. */
export function moveFromDraining(state: states.State, nowMs: number): void {
  const placesByStep = new Map<tables.StepRow, placement.Candidate[]>();
  for (const vm of state.vms.values()) {
    if (!vm.leaving || !vm.usable) continue;
    for (const run of [...vm.runs]) {
      const { step } = run.task;
      if (!step.spec.lasts || run.phase !== 'running') continue;
      const places =
        placesByStep.get(step) ?? collectPlaces(state, step, nowMs);
      placesByStep.set(step, places);
      const place = places.find((candidate) =>
        placement.canPlaceTask(candidate, step),
      );
      if (place === undefined) continue;
      placement.takeRoom(place, step);
      states.stopRun(state, run, 'draining', nowMs);
    }
  }
}

function collectPlaces(
  state: states.State,
  step: tables.StepRow,
  nowMs: number,
): placement.Candidate[] {
  return [...state.vms.values()]
    .filter(
      (vm) =>
        placement.isEligible(vm, step, nowMs) &&
        !placement.isReservedForOther(vm, step, nowMs) &&
        advice.canBeApproved(step, vm),
    )
    .map((vm) => ({
      vm,
      ticket: undefined,
      free: { ...tables.getFree(vm) },
      sameStep: placement.countSameStep(vm, step),
    }));
}
