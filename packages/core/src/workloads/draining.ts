/**
 * Moves service tasks off VMs that are about to leave. A VM that leaves ends its runs,
 * and its last answer may not tell that, so a task that stays to the end is missing until
 * the VM is known to be gone. A task stays while no other VM has room for it.
 */
import * as advice from './advice.js';
import * as placement from './placement.js';
import * as states from './state.js';
import * as tables from './tables.js';
import * as workspaceLimits from './workspaceLimits.js';

/** Places of service tasks on other VMs. The candidates of all steps share the free room of a VM. */
interface Places {
  readonly freeByVm: Map<tables.VmRow, placement.Candidate['free']>;
  readonly candidatesByStep: Map<tables.StepRow, placement.Candidate[]>;
}

/** Stops the service tasks on draining VMs that can run elsewhere. */
export function moveFromDraining(state: states.State, nowMs: number): void {
  const runs = collectRuns(state, 'running');
  if (runs.length === 0) return;
  const places: Places = { freeByVm: new Map(), candidatesByStep: new Map() };
  takeClaimedPlaces(state, places, nowMs);
  for (const run of runs)
    if (
      workspaceLimits.canRestart(run.task.step, 1) &&
      takePlace(state, places, run.task.step, nowMs)
    )
      states.stopRun(state, run, 'draining', nowMs);
}

/** Collects the runs of service tasks on draining VMs that answer. */
function collectRuns(
  state: states.State,
  phase: tables.RunPhase,
): readonly tables.RunRow[] {
  const runs: tables.RunRow[] = [];
  for (const vm of state.vms.values()) {
    if (!vm.leaving || !vm.usable) continue;
    for (const run of vm.runs)
      if (run.task.step.spec.lasts && run.phase === phase) runs.push(run);
  }
  return runs;
}

/** Takes the places of the service tasks that wait already, among them those that were stopped to be moved. */
function takeClaimedPlaces(
  state: states.State,
  places: Places,
  nowMs: number,
): void {
  for (const { task } of collectRuns(state, 'stopping'))
    if (!states.isJobOver(task.step.occurrence.job))
      takePlace(state, places, task.step, nowMs);
  for (const job of state.jobs.values()) {
    if (states.isJobOver(job)) continue;
    for (const { steps } of job.occurrences)
      for (const step of steps) {
        if (!step.spec.lasts || !tables.isStepOpen(step)) continue;
        // Its waiting tasks take no place before the limit covers them.
        if (!workspaceLimits.isWithinLimit(step)) continue;
        for (let task = 0; task < step.waitingCount; task += 1)
          if (!takePlace(state, places, step, nowMs)) break;
      }
  }
}

/** Takes a place for one task of a step; returns false when no VM has room for it. */
function takePlace(
  state: states.State,
  places: Places,
  step: tables.StepRow,
  nowMs: number,
): boolean {
  const candidates =
    places.candidatesByStep.get(step) ??
    collectCandidates(state, places, step, nowMs);
  places.candidatesByStep.set(step, candidates);
  const place = candidates.find((candidate) =>
    placement.canPlaceTask(candidate, step),
  );
  if (place === undefined) return false;
  placement.takeRoom(place, step);
  return true;
}

function collectCandidates(
  state: states.State,
  { freeByVm }: Places,
  step: tables.StepRow,
  nowMs: number,
): placement.Candidate[] {
  const candidates: placement.Candidate[] = [];
  for (const vm of state.vms.values()) {
    if (!placement.isEligible(vm, step, nowMs)) continue;
    if (placement.isReservedForOther(vm, step, nowMs)) continue;
    if (!advice.canBeApproved(step, vm)) continue;
    const free = freeByVm.get(vm) ?? { ...tables.getFree(vm) };
    freeByVm.set(vm, free);
    candidates.push({
      vm,
      ticket: undefined,
      free,
      sameStep: placement.countSameStep(vm, step),
    });
  }
  return candidates;
}
