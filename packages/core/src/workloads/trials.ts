/**
 * Trials: a task that is suspected of crashing VMs starts on a VM on which nothing else has
 * only just started, and nothing else starts there until the VM has lived with it for a
 * while. So a further crash shows whether the task is the cause. Few trials run at a time,
 * so that the suspects of one crash can't take down a pool.
 */
import * as blame from './blame.js';
import * as placement from './placement.js';
import type * as states from './state.js';
import type * as tables from './tables.js';

/** Trials run on at most one of this many VMs of a pool at a time. */
const VMS_PER_TRIAL = 8;
/** Time after which the reservation of a VM for a trial expires unless it is renewed, in ms: several ticks. */
const RESERVATION_MS = 400;
/** Time between requests for a report that shows whether a trial is over, in ms. */
const POLL_INTERVAL_MS = 250;

/** Requests reports from the VMs whose trials are about to be over. */
export function pollTrials(state: states.State, nowMs: number): void {
  for (const vm of state.vms.values())
    if (vm.usable && blame.hasTrial(vm)) pollVm(state, vm, nowMs);
}

function pollVm(state: states.State, vm: tables.VmRow, nowMs: number): void {
  if (nowMs - vm.trialPolledMs < POLL_INTERVAL_MS) return;
  vm.trialPolledMs = nowMs;
  state.commands.push({ command: 'poll', vm: vm.id });
}

/** Returns whether only tasks of a step wait that may start in trials only. */
export function hasOnlyTrials(step: tables.StepRow): boolean {
  return step.tasks.every(
    (task) => task.state !== 'waiting' || blame.isOnTrial(task),
  );
}

/** Returns whether as many trials run or are prepared as the pool, or the job, may have. */
export function isLimitReached(
  state: states.State,
  step: tables.StepRow,
  nowMs: number,
): boolean {
  const { job } = step.occurrence;
  let poolVms = 0;
  let trials = 0;
  for (const vm of state.vms.values()) {
    if (vm.entry?.pool !== job.policy.pool) continue;
    poolVms += 1;
    const task = blame.hasTrial(vm)
      ? vm.trial?.task
      : getReservedTask(vm, nowMs);
    if (task === undefined || task.step === step) continue;
    if (task.step.occurrence.job === job) return true;
    trials += 1;
  }
  return trials >= Math.max(1, Math.floor(poolVms / VMS_PER_TRIAL));
}

/** Returns the task for whose trial a VM is reserved. */
export function getReservedTask(
  vm: tables.VmRow,
  nowMs: number,
): tables.TaskRow | undefined {
  const task = vm.reservedTask;
  if (task?.state !== 'waiting' || task.step !== vm.reservedFor)
    return undefined;
  return placement.getReservedStep(vm, nowMs) === task.step ? task : undefined;
}

/** Returns whether a VM has lived with its runs for long enough to begin a trial. */
export function isQuiet({ vm }: placement.Candidate): boolean {
  for (const run of vm.runs)
    if (blame.isFresh(run) || blame.isSuspect(run)) return false;
  return true;
}

/** Selects the candidates on which no trial runs or is prepared. */
export function selectWithoutTrial(
  candidates: readonly placement.Candidate[],
  nowMs: number,
): readonly placement.Candidate[] {
  return candidates.filter(
    ({ vm }) => !blame.hasTrial(vm) && getReservedTask(vm, nowMs) === undefined,
  );
}

/** Chooses a candidate for a trial. When none is quiet, reserves one and returns undefined. */
export function chooseTrialCandidate(
  state: states.State,
  candidates: readonly placement.Candidate[],
  task: tables.TaskRow,
  nowMs: number,
): placement.Candidate | undefined {
  const { step } = task;
  if (hasTrialOfStep(state, step) || isLimitReached(state, step, nowMs))
    return undefined;
  const suitable = candidates.filter((candidate) =>
    placement.canPlaceTask(candidate, step),
  );
  const chosen = chooseEmptiest(suitable.filter(isQuiet), task);
  if (chosen !== undefined) return chosen;
  const reserved =
    suitable.find(({ vm }) => getReservedTask(vm, nowMs) === task) ??
    chooseEmptiest(suitable, task);
  if (reserved === undefined) return undefined;
  placement.reserveVm(reserved.vm, step, {
    untilMs: nowMs + RESERVATION_MS,
    readyMs: nowMs,
  });
  reserved.vm.reservedTask = task;
  pollVm(state, reserved.vm, nowMs);
  return undefined;
}

/** Returns whether a VM is reserved for the trial of a step's task. */
export function isPrepared(
  state: states.State,
  step: tables.StepRow,
  nowMs: number,
): boolean {
  for (const vm of state.vms.values())
    if (getReservedTask(vm, nowMs)?.step === step) return true;
  return false;
}

function hasTrialOfStep(state: states.State, step: tables.StepRow): boolean {
  for (const vm of state.vms.values())
    if (blame.hasTrial(vm) && vm.trial?.task.step === step) return true;
  return false;
}

/** Chooses the candidate whose crash would end the fewest runs, if possible on another VM than before. */
function chooseEmptiest(
  candidates: readonly placement.Candidate[],
  task: tables.TaskRow,
): placement.Candidate | undefined {
  const rank = ({ vm }: placement.Candidate): number =>
    vm.runs.size + (task.avoidedVms.has(vm.id) ? Infinity : 0);
  let best: placement.Candidate | undefined;
  for (const candidate of candidates)
    if (best === undefined || rank(candidate) < rank(best)) best = candidate;
  return best;
}
