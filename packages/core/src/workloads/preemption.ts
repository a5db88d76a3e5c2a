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
/** Cores that a GPU counts for when lost work is compared; the users price it so. */
const CORES_PER_GPU = 8;

/** A VM with the runs that would be stopped there. */
interface Plan {
  readonly vm: tables.VmRow;
  /** Room when those have ended. */
  readonly free: { cores: number; memoryMb: number; gpus: number };
  readonly victims: tables.RunRow[];
  /** Runs that may be stopped as well, in the order in which they would be. */
  readonly left: tables.RunRow[];
  /** Tasks of the step on the VM. */
  sameStep: number;
}

/** Stops runs so that waiting tasks of a step find room. */
export function preemptFor(
  state: states.State,
  step: tables.StepRow,
  nowMs: number,
): void {
  const plans = step.spec.gang
    ? chooseGangPlans(state, step, nowMs)
    : chooseTaskPlans(state, step, nowMs);
  for (const { vm, victims } of plans) {
    placement.reserveVm(vm, step, {
      untilMs: nowMs + RESERVE_MS,
      readyMs: nowMs,
    });
    for (const run of victims) {
      run.task.preemptions += 1;
      states.stopRun(state, run, 'preempted', nowMs);
    }
  }
}

/** Chooses VMs for single tasks, one task a VM. */
function chooseTaskPlans(
  state: states.State,
  step: tables.StepRow,
  nowMs: number,
): readonly Plan[] {
  let wanted = Math.min(step.waitingCount, MAX_VMS_PER_STEP);
  const choices: { readonly plan: Plan; readonly cost: number }[] = [];
  for (const vm of state.vms.values()) {
    if (!placement.isEligible(vm, step, nowMs)) continue;
    const reserved = placement.readReserved(vm, nowMs);
    if (reserved === step) wanted -= 1;
    if (reserved !== undefined) continue;
    if (!advice.isAllowedOn(step, vm)) continue;
    const plan = createPlan(vm, step, nowMs);
    const cost = addTask(plan, step);
    if (cost !== undefined && plan.victims.length > 0)
      choices.push({ plan, cost });
  }
  return choices
    .sort((a, b) => a.cost - b.cost)
    .slice(0, Math.max(0, wanted))
    .map(({ plan }) => plan);
}

/**
 * Chooses VMs for all members of a gang, those that cost least first, on one rack
 * where that is asked and possible; none when not all members find room.
 */
function chooseGangPlans(
  state: states.State,
  step: tables.StepRow,
  nowMs: number,
): readonly Plan[] {
  const vms: tables.VmRow[] = [];
  for (const vm of state.vms.values()) {
    if (!placement.isEligible(vm, step, nowMs)) continue;
    // Its members start as soon as the runs have ended that were stopped for them.
    if (placement.readReserved(vm, nowMs) === step) return [];
    if (placement.isReserved(vm, step, nowMs)) continue;
    if (advice.isAllowedOn(step, vm)) vms.push(vm);
  }
  const racks = step.spec.oneRack
    ? [...new Set(vms.map(({ entry }) => entry?.rack))]
    : [];
  let best: GangPlan | undefined;
  for (const rack of racks) {
    const there = vms.filter(({ entry }) => entry?.rack === rack);
    const plan = choosePlans(there, step, nowMs);
    if (plan !== undefined && (best === undefined || plan.cost < best.cost))
      best = plan;
  }
  return (best ?? choosePlans(vms, step, nowMs))?.plans ?? [];
}

interface GangPlan {
  readonly plans: readonly Plan[];
  readonly cost: number;
}

function choosePlans(
  vms: readonly tables.VmRow[],
  step: tables.StepRow,
  nowMs: number,
): GangPlan | undefined {
  const plans = vms.map((vm) => createPlan(vm, step, nowMs));
  const used = new Set<Plan>();
  let total = 0;
  for (let member = 0; member < step.spec.count; member += 1) {
    let best: Plan | undefined;
    let bestCost = Infinity;
    for (const plan of plans) {
      const cost = addTask(createCopy(plan), step);
      if (cost === undefined || cost >= bestCost) continue;
      best = plan;
      bestCost = cost;
    }
    if (best === undefined) return undefined;
    addTask(best, step);
    used.add(best);
    total += bestCost;
  }
  return { plans: [...used], cost: total };
}

function createCopy(plan: Plan): Plan {
  return {
    ...plan,
    free: { ...plan.free },
    victims: [...plan.victims],
    left: [...plan.left],
  };
}

function createPlan(
  vm: tables.VmRow,
  step: tables.StepRow,
  nowMs: number,
): Plan {
  const free = { ...tables.readFree(vm) };
  // Runs that are stopping already give their room soon.
  for (const run of vm.runs)
    if (run.phase === 'stopping')
      tables.addAmount(free, tables.readNeed(run.task.step.spec), 1);
  const left = [...vm.runs].filter((run) => isVictim(run, step, nowMs));
  left.sort(
    (a, b) =>
      b.task.step.occurrence.job.policy.priority -
        a.task.step.occurrence.job.policy.priority || a.percent - b.percent,
  );
  const sameStep = placement.countSameStep(vm, step);
  return { vm, free, victims: [], left, sameStep };
}

/** Makes room for one more task; returns what that costs, undefined when it can't. */
function addTask(plan: Plan, step: tables.StepRow): number | undefined {
  const need = tables.readNeed(step.spec);
  if (plan.sameStep >= (step.spec.maxPerVm ?? Infinity)) return undefined;
  let cost = 0;
  while (!tables.hasRoom(plan.free, need)) {
    const run = plan.left.shift();
    if (run === undefined) return undefined;
    const { spec } = run.task.step;
    tables.addAmount(plan.free, tables.readNeed(spec), 1);
    plan.victims.push(run);
    cost += spec.size.cores + spec.size.gpus * CORES_PER_GPU;
  }
  tables.addAmount(plan.free, need, -1);
  plan.sameStep += 1;
  return cost;
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
