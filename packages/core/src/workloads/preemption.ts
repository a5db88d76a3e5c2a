/**
 * Preemption: makes room for a step by stopping runs of lower priority, or of excess jobs,
 * that save their progress or have only just started. Without it, a burst of urgent jobs on full VMs
 * waits for tasks that run many times as long.
 */
import * as advice from './advice.js';
import * as openVms from './openVms.js';
import * as placement from './placement.js';
import * as shares from './shares.js';
import * as states from './state.js';
import * as tables from './tables.js';
import * as workspaceLimits from './workspaceLimits.js';

/** Maximum number of times that one task is preempted. */
const MAX_PREEMPTIONS = 2;
/** Time for which the room of the stopped runs is reserved for the step, in ms; longer than a stop takes. */
const RESERVATION_MS = 1_500;
/** Maximum number of VMs on which runs are preempted for one step at the same time. */
const MAX_VMS_PER_STEP = 6;
/** A run that doesn't save its progress is preempted only if it has run for less than this, in ms. */
const MAX_LOST_WORK_MS = 300;
/** Number of cores that a GPU counts for in the cost of preemption, as in the users' prices. */
const CORES_PER_GPU = 8;

/** Runs that would be preempted on one VM. */
interface Plan {
  readonly vm: tables.VmRow;
  /** Free room after the victims have ended. */
  readonly free: { cores: number; memoryMb: number; gpus: number };
  readonly victims: tables.RunRow[];
  /** Further runs that may be preempted, in that order. */
  readonly preemptible: tables.RunRow[];
  /** Number of tasks of the step on the VM. */
  sameStep: number;
}

/** Preempts runs so that waiting tasks of a step get room. */
export function preemptForStep(
  state: states.State,
  step: tables.StepRow,
  nowMs: number,
): void {
  const plans = step.spec.gang
    ? chooseGangPlans(state, step, nowMs)
    : chooseTaskPlans(state, step, nowMs);
  for (const { vm, victims } of plans) {
    placement.reserveVm(vm, step, {
      untilMs: nowMs + RESERVATION_MS,
      readyMs: nowMs,
    });
    vm.reservedFromExcess = victims.some(
      ({ task }) =>
        task.step.occurrence.job.excess !== step.occurrence.job.excess,
    );
    for (const run of victims) {
      run.task.preemptions += 1;
      states.stopRun(state, run, 'preempted', nowMs);
    }
  }
}

/** Chooses the cheapest VMs for the waiting tasks of a step, one task per VM. */
function chooseTaskPlans(
  state: states.State,
  step: tables.StepRow,
  nowMs: number,
): readonly Plan[] {
  let maxPlans = Math.min(
    step.waitingCount,
    MAX_VMS_PER_STEP,
    workspaceLimits.countStartable(step),
  );
  const choices: { readonly plan: Plan; readonly cost: number }[] = [];
  for (const vm of openVms.listForStep(state.openVms, step)) {
    if (!placement.isEligible(vm, step, nowMs)) continue;
    const reserved = placement.getReservedStep(vm, nowMs);
    if (reserved === step) maxPlans -= 1;
    if (
      reserved !== undefined &&
      !shares.isYieldedTo(reserved.occurrence.job, step.occurrence.job)
    )
      continue;
    if (!advice.isApproved(step, vm)) continue;
    const plan = createPlan(vm, step, nowMs);
    const cost = addTask(plan, step);
    if (cost !== undefined && plan.victims.length > 0)
      choices.push({ plan, cost });
  }
  return choices
    .sort((a, b) => a.cost - b.cost)
    .slice(0, Math.max(0, maxPlans))
    .map(({ plan }) => plan);
}

/**
 * Chooses the cheapest VMs for all members of a gang, on one rack if the step prefers
 * that and it is possible; none when not all members get room.
 */
function chooseGangPlans(
  state: states.State,
  step: tables.StepRow,
  nowMs: number,
): readonly Plan[] {
  const vms: tables.VmRow[] = [];
  for (const vm of openVms.listForStep(state.openVms, step)) {
    if (!placement.isEligible(vm, step, nowMs)) continue;
    // Runs have already been preempted for the gang; it starts when they have ended.
    if (placement.getReservedStep(vm, nowMs) === step) return [];
    if (placement.isReservedForOther(vm, step, nowMs)) continue;
    if (advice.isApproved(step, vm)) vms.push(vm);
  }
  const racks = step.spec.oneRack
    ? [...new Set(vms.map(({ entry }) => entry?.rack))]
    : [];
  let best: GangPlan | undefined;
  for (const rack of racks) {
    const rackVms = vms.filter(({ entry }) => entry?.rack === rack);
    const plan = chooseMemberPlans(rackVms, step, nowMs);
    if (plan !== undefined && (best === undefined || plan.cost < best.cost))
      best = plan;
  }
  return (best ?? chooseMemberPlans(vms, step, nowMs))?.plans ?? [];
}

interface GangPlan {
  readonly plans: readonly Plan[];
  readonly cost: number;
}

function chooseMemberPlans(
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
    preemptible: [...plan.preemptible],
  };
}

function createPlan(
  vm: tables.VmRow,
  step: tables.StepRow,
  nowMs: number,
): Plan {
  const free = { ...tables.getFree(vm) };
  // Runs that are already being stopped free their room soon.
  for (const run of vm.runs)
    if (run.phase === 'stopping')
      tables.addAmount(free, tables.getNeed(run.task.step.spec), 1);
  const preemptible = [...vm.runs].filter((run) => isVictim(run, step, nowMs));
  preemptible.sort(
    (a, b) =>
      Number(b.task.step.occurrence.job.excess) -
        Number(a.task.step.occurrence.job.excess) ||
      b.task.step.occurrence.job.policy.priority -
        a.task.step.occurrence.job.policy.priority ||
      a.percent - b.percent,
  );
  const sameStep = placement.countSameStep(vm, step);
  return { vm, free, victims: [], preemptible, sameStep };
}

/** Adds victims until there is room for one more task. Returns their cost in cores; undefined when there are too few. */
function addTask(plan: Plan, step: tables.StepRow): number | undefined {
  const need = tables.getNeed(step.spec);
  if (plan.sameStep >= (step.spec.maxPerVm ?? Infinity)) return undefined;
  let cost = 0;
  while (!tables.hasRoom(plan.free, need)) {
    const run = plan.preemptible.shift();
    if (run === undefined) return undefined;
    const { spec } = run.task.step;
    tables.addAmount(plan.free, tables.getNeed(spec), 1);
    plan.victims.push(run);
    cost += spec.size.cores + spec.size.gpus * CORES_PER_GPU;
  }
  tables.addAmount(plan.free, need, -1);
  plan.sameStep += 1;
  return cost;
}

/** Returns whether runs of a job may be preempted for another: excess ones for any within its rate, else those of lower priority. */
function isPreemptedBy(job: tables.JobRow, other: tables.JobRow): boolean {
  if (job.excess !== other.excess) return job.excess;
  return job.policy.priority > other.policy.priority;
}

/** Returns whether a run may be preempted for a step. */
export function isVictim(
  run: tables.RunRow,
  step: tables.StepRow,
  nowMs: number,
): boolean {
  const { spec, occurrence } = run.task.step;
  if (run.phase !== 'running' || spec.lasts || spec.gang) return false;
  if (!isPreemptedBy(occurrence.job, step.occurrence.job)) return false;
  if (run.task.preemptions >= MAX_PREEMPTIONS) return false;
  return (
    spec.savesProgress ||
    nowMs - (run.runningSinceMs ?? nowMs) < MAX_LOST_WORK_MS
  );
}
