/**
 * Makes room for urgent work by stopping less urgent runs that save their progress.
 * Answers a burst of urgent jobs onto full VMs: without it they wait for the end of
 * tasks that take many times as long as they do.
 */
import * as advice from './advice.js';
import * as placement from './placement.js';
import * as states from './state.js';
import * as tables from './tables.js';

/** Stops that a task bears at most. */
const MAX_PREEMPTIONS = 2;
/** Time for which the room of stopped runs is kept for the step, in ms; a stop takes less. */
const RESERVE_MS = 1_500;
/** VMs on which one step has others stopped at the same time. */
const MAX_VMS_PER_STEP = 6;
/** A run without saved progress is stopped only in its first part, in ms of work. */
const LITTLE_WORK_MS = 300;

/** Stops runs so that waiting tasks of a step find room. */
export function preemptFor(
  state: states.State,
  step: tables.StepRow,
  nowMs: number,
): void {
  const need = tables.readNeed(step.spec);
  let wanted = Math.min(step.waitingCount, MAX_VMS_PER_STEP);
  const choices: {
    vm: tables.VmRow;
    victims: tables.RunRow[];
    cost: number;
  }[] = [];
  for (const vm of state.vms.values()) {
    if (!placement.isEligible(vm, step, nowMs)) continue;
    if (vm.reservedUntilMs > nowMs) {
      if (vm.reservedFor === step) wanted -= 1;
      continue;
    }
    if (!advice.isAllowedOn(step, vm)) continue;
    const { maxPerVm } = step.spec;
    if (maxPerVm !== undefined && placement.countSameStep(vm, step) >= maxPerVm)
      continue;
    const victims = chooseVictims(vm, step, nowMs);
    if (victims === undefined) continue;
    const cost = victims.reduce(
      (sum, run) => sum + run.task.step.spec.size.cores,
      0,
    );
    choices.push({ vm, victims, cost: cost / Math.max(1, need.cores) });
  }
  choices.sort((a, b) => a.cost - b.cost);
  if (step.spec.gang && choices.length < wanted) return;
  for (const { vm, victims } of choices.slice(0, Math.max(0, wanted))) {
    vm.reservedFor = step;
    vm.reservedUntilMs = nowMs + RESERVE_MS;
    vm.reservedFromMs = nowMs;
    for (const run of victims) {
      run.task.preemptions += 1;
      states.stopRun(state, run, 'preempted', nowMs);
    }
  }
}

function chooseVictims(
  vm: tables.VmRow,
  step: tables.StepRow,
  nowMs: number,
): tables.RunRow[] | undefined {
  const need = tables.readNeed(step.spec);
  const free = { ...tables.readFree(vm) };
  // Runs that are stopping already give their room soon.
  for (const run of vm.runs)
    if (run.phase === 'stopping')
      tables.addAmount(free, tables.readNeed(run.task.step.spec), 1);
  const candidates = [...vm.runs].filter((run) => isVictim(run, step, nowMs));
  candidates.sort(
    (a, b) =>
      b.task.step.occurrence.job.policy.priority -
        a.task.step.occurrence.job.policy.priority || a.percent - b.percent,
  );
  const victims: tables.RunRow[] = [];
  for (const run of candidates) {
    if (tables.hasRoom(free, need)) break;
    tables.addAmount(free, tables.readNeed(run.task.step.spec), 1);
    victims.push(run);
  }
  return tables.hasRoom(free, need) && victims.length > 0 ? victims : undefined;
}

function isVictim(
  run: tables.RunRow,
  step: tables.StepRow,
  nowMs: number,
): boolean {
  const { spec, occurrence } = run.task.step;
  if (run.phase !== 'running' || spec.lasts || spec.gang) return false;
  if (occurrence.job.policy.priority <= step.occurrence.job.policy.priority)
    return false;
  if (run.task.preemptions >= MAX_PREEMPTIONS) return false;
  return (
    spec.savesProgress || nowMs - (run.runningSinceMs ?? nowMs) < LITTLE_WORK_MS
  );
}
