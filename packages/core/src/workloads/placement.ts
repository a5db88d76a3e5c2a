/**
 * Placement: filters the VMs that may run a task, then scores them. The score favours
 * VMs with little room left, so that whole VMs stay free for gangs and for tasks with
 * many GPUs.
 */
import * as blame from './blame.js';
import * as openVms from './openVms.js';
import * as shares from './shares.js';
import * as speeds from './speed.js';
import * as states from './state.js';
import * as tables from './tables.js';
import type * as types from './types.js';
import * as waits from './waits.js';

/** Penalties added to a score. Without penalties a VM scores between 0 (full) and 3 (empty). */
const AVOIDED_VM_PENALTY = 20;
const FILLER_BESIDE_SERVICE_PENALTY = 5;
const OTHER_RACK_PENALTY = 10;
const SUSPECT_PENALTY = 8;

/** A VM that may run a step, with its free room less the tasks placed on it so far. */
export interface Candidate {
  readonly vm: tables.VmRow;
  readonly free: { cores: number; memoryMb: number; gpus: number };
  readonly ticket: string | undefined;
  /** Number of tasks of the step on the VM, if the step limits them. */
  sameStep: number;
  /** What the lasting speed of the VM adds to its score, if the step prefers speed. */
  readonly speedScore?: number;
}

/** Returns whether a VM may run tasks of a step now, regardless of free room and tickets. */
export function isEligible(
  vm: tables.VmRow,
  step: tables.StepRow,
  nowMs: number,
): boolean {
  if (!openVms.isOpen(vm, nowMs)) return false;
  if (!isOfKind(vm.entry, step) || blame.hasTrial(vm)) return false;
  return tables.hasRoom(vm.entry.capacity, tables.getNeed(step.spec));
}

/** Returns whether a VM is in the pool of a step and has the label that it needs. */
export function isOfKind(entry: types.VmEntry, step: tables.StepRow): boolean {
  if (entry.pool !== step.occurrence.job.policy.pool) return false;
  const { label } = step.spec;
  return label === undefined || entry.labels.includes(label);
}

/** Reserves the room of a VM for a step; `readyMs` is the time at which there is expected to be enough of it. */
export function reserveVm(
  vm: tables.VmRow,
  step: tables.StepRow,
  times: { readonly untilMs: number; readonly readyMs: number },
): void {
  vm.reservedFor = step;
  vm.reservedTask = undefined;
  vm.reservedFromExcess = false;
  vm.reservedUntilMs = times.untilMs;
  vm.reservedReadyMs = times.readyMs;
}

/** Returns the step for which a VM is reserved now; undefined once that step has no waiting tasks. */
export function getReservedStep(
  vm: tables.VmRow,
  nowMs: number,
): tables.StepRow | undefined {
  const step = vm.reservedUntilMs > nowMs ? vm.reservedFor : undefined;
  if (step === undefined || step.waitingCount === 0) return undefined;
  return states.isJobOver(step.occurrence.job) ? undefined : step;
}

/**
 * Returns whether a VM is reserved for another step. An overdue service may use what is
 * kept for a gang: that room can stay unused until the last of the gang's VMs is ready.
 * What is reserved for an excess job is open to jobs within their rate.
 */
export function isReservedForOther(
  vm: tables.VmRow,
  step: tables.StepRow,
  nowMs: number,
): boolean {
  const reserved = getReservedStep(vm, nowMs);
  if (reserved === undefined || reserved === step) return false;
  const { job } = step.occurrence;
  if (shares.isYieldedTo(reserved.occurrence.job, job)) return false;
  // Otherwise steps of any priority would keep urgent ones from room that they took from excess jobs.
  if (
    vm.reservedFromExcess &&
    !job.yields &&
    job.policy.priority < reserved.occurrence.job.policy.priority
  )
    return false;
  return !(reserved.spec.gang && waits.isServiceOverdue(step, nowMs));
}

/** Counts the tasks of a step on a VM, if the step limits them. */
export function countSameStep(vm: tables.VmRow, step: tables.StepRow): number {
  if (step.spec.maxPerVm === undefined) return 0;
  let count = 0;
  for (const run of vm.runs) if (run.task.step === step) count += 1;
  return count;
}

/** Returns whether a VM runs a service task with a latency target. */
export function hasLatencyBoundTask(vm: tables.VmRow): boolean {
  for (const run of vm.runs)
    if (run.task.step.spec.targetMs !== undefined) return true;
  return false;
}

function hasFiller(vm: tables.VmRow): boolean {
  for (const run of vm.runs) if (run.task.step.spec.fills) return true;
  return false;
}

/** Returns whether a VM has room for one more task, apart from a limit of the step. */
export function hasRoomOn(vm: tables.VmRow, step: tables.StepRow): boolean {
  return tables.hasRoom(tables.getFree(vm), tables.getNeed(step.spec));
}

/** Returns whether a candidate has room for one more task. */
export function canPlaceTask(
  candidate: Candidate,
  step: tables.StepRow,
): boolean {
  const { maxPerVm } = step.spec;
  if (maxPerVm !== undefined && candidate.sameStep >= maxPerVm) return false;
  return tables.hasRoom(candidate.free, tables.getNeed(step.spec));
}

/** Takes the room of one task from a candidate. */
export function takeRoom(candidate: Candidate, step: tables.StepRow): void {
  tables.addAmount(candidate.free, tables.getNeed(step.spec), -1);
  candidate.sameStep += 1;
}

/** Scores a candidate; the lowest score is the best. */
export function scoreCandidate(
  candidate: Candidate,
  step: tables.StepRow,
  task: tables.TaskRow | undefined,
  nowMs: number,
): number {
  const { vm, free } = candidate;
  const { spec } = step;
  const capacity = vm.entry?.capacity;
  if (capacity === undefined) return Infinity;
  const need = tables.getNeed(spec);
  let score =
    (free.cores - need.cores) / Math.max(1, capacity.cores) +
    (free.memoryMb - need.memoryMb) / Math.max(1, capacity.memoryMb) +
    (capacity.gpus > 0 ? (free.gpus - need.gpus) / capacity.gpus : 0);
  if (task?.avoidedVms.has(vm.id) === true) score += AVOIDED_VM_PENALTY;
  if (spec.dataRack !== undefined && vm.entry?.rack !== spec.dataRack)
    score += OTHER_RACK_PENALTY;
  if (vm.hasSuspect) score += SUSPECT_PENALTY;
  score += speeds.scoreSpeed(vm, nowMs) + (candidate.speedScore ?? 0);
  if (spec.fills && hasLatencyBoundTask(vm))
    score += FILLER_BESIDE_SERVICE_PENALTY;
  if (spec.targetMs !== undefined && hasFiller(vm))
    score += FILLER_BESIDE_SERVICE_PENALTY;
  return score;
}

/** Returns the best candidate for one task; undefined when none has room. */
export function chooseCandidate(
  candidates: readonly Candidate[],
  step: tables.StepRow,
  task: tables.TaskRow,
  nowMs: number,
): Candidate | undefined {
  let best: Candidate | undefined;
  let bestScore = Infinity;
  for (const candidate of candidates) {
    if (!canPlaceTask(candidate, step)) continue;
    const score = scoreCandidate(candidate, step, task, nowMs);
    if (score >= bestScore) continue;
    best = candidate;
    bestScore = score;
  }
  return best;
}

/** Chooses a VM for each member of a gang, on one rack if the step prefers that and it is possible; undefined when not all members fit. */
export function chooseGangPlaces(
  candidates: readonly Candidate[],
  step: tables.StepRow,
  nowMs: number,
): readonly Candidate[] | undefined {
  if (step.spec.oneRack)
    for (const rack of new Set(candidates.map(({ vm }) => vm.entry?.rack))) {
      const places = placeMembers(
        candidates.filter(({ vm }) => vm.entry?.rack === rack),
        step,
        nowMs,
      );
      if (places !== undefined) return places;
    }
  return placeMembers(candidates, step, nowMs);
}

function placeMembers(
  candidates: readonly Candidate[],
  step: tables.StepRow,
  nowMs: number,
): readonly Candidate[] | undefined {
  const trials = candidates.map((candidate) => ({
    candidate,
    copy: { ...candidate, free: { ...candidate.free } },
  }));
  const places: Candidate[] = [];
  for (const task of step.tasks) {
    const chosen = chooseCandidate(
      trials.map(({ copy }) => copy),
      step,
      task,
      nowMs,
    );
    const pair = trials.find(({ copy }) => copy === chosen);
    if (chosen === undefined || pair === undefined) return undefined;
    takeRoom(chosen, step);
    places.push(pair.candidate);
  }
  return places;
}
