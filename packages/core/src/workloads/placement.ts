/**
 * Placement: filters the VMs that may run a task, then scores them. The score packs
 * work tightly, so that whole VMs stay free for gangs and for tasks with many GPUs.
 */
import * as speeds from './speed.js';
import * as tables from './tables.js';

/** Penalties of a score; a packed VM scores between 0 and 3. */
const FAILED_HERE_PENALTY = 20;
const SERVING_PENALTY = 5;
const OTHER_RACK_PENALTY = 10;

/** A VM and its free room while a plan is being made. */
export interface Candidate {
  readonly vm: tables.VmRow;
  readonly free: { cores: number; memoryMb: number; gpus: number };
  readonly ticket: string | undefined;
  /** Tasks of the step that are on it. */
  sameStep: number;
}

/** Tells whether a VM may run tasks of a step now, room and tickets apart. */
export function isEligible(
  vm: tables.VmRow,
  step: tables.StepRow,
  nowMs: number,
): boolean {
  const { entry } = vm;
  if (entry === undefined || entry.draining || !vm.usable) return false;
  if (entry.pool !== step.occurrence.job.policy.pool) return false;
  if (vm.strangers > 0 || vm.avoidUntilMs > nowMs) return false;
  const { label } = step.spec;
  if (label !== undefined && !entry.labels.includes(label)) return false;
  return tables.hasRoom(entry.capacity, tables.readNeed(step.spec));
}

/** Keeps the room of a VM for a step; `readyMs` is the time at which it is expected to suffice. */
export function reserveVm(
  vm: tables.VmRow,
  step: tables.StepRow,
  times: { readonly untilMs: number; readonly readyMs: number },
): void {
  vm.reservedFor = step;
  vm.reservedUntilMs = times.untilMs;
  vm.reservedFromMs = times.readyMs;
}

/** Step for which a VM keeps its room now. */
export function readReserved(
  vm: tables.VmRow,
  nowMs: number,
): tables.StepRow | undefined {
  return vm.reservedUntilMs > nowMs ? vm.reservedFor : undefined;
}

/** Tells whether a VM keeps its room for another step. */
export function isReserved(
  vm: tables.VmRow,
  step: tables.StepRow,
  nowMs: number,
): boolean {
  const reserved = readReserved(vm, nowMs);
  return reserved !== undefined && reserved !== step;
}

/** Counts the tasks of a step on a VM. */
export function countSameStep(vm: tables.VmRow, step: tables.StepRow): number {
  let count = 0;
  for (const run of vm.runs) if (run.task.step === step) count += 1;
  return count;
}

/** Tells whether a VM runs lasting tasks with a target. */
export function hasServing(vm: tables.VmRow): boolean {
  for (const run of vm.runs)
    if (run.task.step.spec.targetMs !== undefined) return true;
  return false;
}

function hasFilling(vm: tables.VmRow): boolean {
  for (const run of vm.runs) if (run.task.step.spec.fills) return true;
  return false;
}

/** Tells whether a candidate has room for one more task. */
export function canHold(candidate: Candidate, step: tables.StepRow): boolean {
  const { maxPerVm } = step.spec;
  if (maxPerVm !== undefined && candidate.sameStep >= maxPerVm) return false;
  return tables.hasRoom(candidate.free, tables.readNeed(step.spec));
}

/** Takes the room of one task from a candidate. */
export function takeRoom(candidate: Candidate, step: tables.StepRow): void {
  tables.addAmount(candidate.free, tables.readNeed(step.spec), -1);
  candidate.sameStep += 1;
}

/** Scores a candidate; the smallest score is chosen. */
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
  const need = tables.readNeed(spec);
  let score =
    (free.cores - need.cores) / Math.max(1, capacity.cores) +
    (free.memoryMb - need.memoryMb) / Math.max(1, capacity.memoryMb) +
    (capacity.gpus > 0 ? (free.gpus - need.gpus) / capacity.gpus : 0);
  if (task?.avoided.has(vm.id) === true) score += FAILED_HERE_PENALTY;
  if (spec.dataRack !== undefined && vm.entry?.rack !== spec.dataRack)
    score += OTHER_RACK_PENALTY;
  score += speeds.scoreSpeed(vm, nowMs);
  if (spec.fills && hasServing(vm)) score += SERVING_PENALTY;
  if (spec.targetMs !== undefined && hasFilling(vm)) score += SERVING_PENALTY;
  return score;
}

/** Chooses the best candidate for one task. */
export function chooseCandidate(
  candidates: readonly Candidate[],
  step: tables.StepRow,
  task: tables.TaskRow,
  nowMs: number,
): Candidate | undefined {
  let best: Candidate | undefined;
  let bestScore = Infinity;
  for (const candidate of candidates) {
    if (!canHold(candidate, step)) continue;
    const score = scoreCandidate(candidate, step, task, nowMs);
    if (score >= bestScore) continue;
    best = candidate;
    bestScore = score;
  }
  return best;
}

/** Chooses places for all members of a gang, on one rack where that is asked and possible. */
export function chooseGang(
  candidates: readonly Candidate[],
  step: tables.StepRow,
  nowMs: number,
): readonly Candidate[] | undefined {
  if (step.spec.oneRack)
    for (const rack of new Set(candidates.map(({ vm }) => vm.entry?.rack))) {
      const places = fillGang(
        candidates.filter(({ vm }) => vm.entry?.rack === rack),
        step,
        nowMs,
      );
      if (places !== undefined) return places;
    }
  return fillGang(candidates, step, nowMs);
}

function fillGang(
  candidates: readonly Candidate[],
  step: tables.StepRow,
  nowMs: number,
): readonly Candidate[] | undefined {
  const trial = candidates.map((candidate) => ({
    candidate,
    copy: { ...candidate, free: { ...candidate.free } },
  }));
  const places: Candidate[] = [];
  for (const task of step.tasks) {
    const chosen = chooseCandidate(
      trial.map(({ copy }) => copy),
      step,
      task,
      nowMs,
    );
    const pair = trial.find(({ copy }) => copy === chosen);
    if (chosen === undefined || pair === undefined) return undefined;
    takeRoom(chosen, step);
    places.push(pair.candidate);
  }
  return places;
}
