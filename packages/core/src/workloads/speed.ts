/**
 * Speed of VMs, from the progress of their runs. Answers VMs that turn slow: without
 * it they look free and get the same share of short urgent tasks, which end late.
 */
import type * as tables from './tables.js';

/** Run time from which progress says something, in ms. */
const MEASURED_AFTER_MS = 400;
/** Weight of one measurement. */
const WEIGHT = 0.3;
/** Time in which a measured slowness is half forgotten, in ms; then the VM is tried again. */
const HALF_LIFE_MS = 4_000;
/** Estimates are off by half, so smaller differences say nothing. */
const SOUND_SPEED = 0.6;
/** Score of a VM that stands still; a packed VM scores between 0 and 3. */
const STILL_PENALTY = 6;

/** Measures the speed of a VM by one run. */
export function measureSpeed(run: tables.RunRow, nowMs: number): void {
  const { spec } = run.task.step;
  if (spec.lasts || spec.fills || spec.gang || run.pace < 100) return;
  if (run.runningSinceMs === undefined || run.task.saved !== '') return;
  const ranMs = nowMs - run.runningSinceMs;
  if (ranMs < MEASURED_AFTER_MS || spec.estimateMs <= 0) return;
  const speed = Math.min(1, ((run.percent / 100) * spec.estimateMs) / ranMs);
  const { vm } = run;
  vm.speed = readSpeed(vm, nowMs) * (1 - WEIGHT) + speed * WEIGHT;
  vm.speedAtMs = nowMs;
}

/** Speed of a VM, nearer to 1 the older its measurement is. */
export function readSpeed(vm: tables.VmRow, nowMs: number): number {
  if (vm.speed === 1) return 1;
  const known = 0.5 ** ((nowMs - vm.speedAtMs) / HALF_LIFE_MS);
  return 1 - (1 - vm.speed) * known;
}

/** Penalty for the score of a slow VM. */
export function scoreSpeed(vm: tables.VmRow, nowMs: number): number {
  const missing = SOUND_SPEED - readSpeed(vm, nowMs);
  return missing <= 0 ? 0 : (missing / SOUND_SPEED) * STILL_PENALTY;
}
