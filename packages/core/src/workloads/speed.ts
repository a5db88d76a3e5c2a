/**
 * Measures the speed of VMs from the progress of their runs. Without it, a VM that has
 * become slow gets as many short urgent tasks as the others, and these end late.
 */
import type * as tables from './tables.js';

/** Run time before which the progress of a run is too noisy to measure, in ms. */
const MIN_MEASURED_MS = 400;
/** Weight of a new sample in the moving average of the speed. */
const SPEED_EWMA_WEIGHT = 0.3;
/** Half-life of a measured slowdown, in ms; it decays so that the VM is tried again. */
const SPEED_HALF_LIFE_MS = 4_000;
/** A VM at or above this speed counts as normal: estimated run times are wrong by up to half. */
const NORMAL_SPEED = 0.6;
/** Penalty for a VM without any progress; without penalties a VM scores between 0 and 3. */
const STOPPED_PENALTY = 6;

/** Updates the speed of a VM from the progress of one of its runs. */
export function measureSpeed(run: tables.RunRow, nowMs: number): void {
  const { spec } = run.task.step;
  if (spec.lasts || spec.fills || spec.gang || (run.pace ?? 100) < 100) return;
  if (run.runningSinceMs === undefined || run.task.saved !== '') return;
  const ranMs = nowMs - run.runningSinceMs;
  if (ranMs < MIN_MEASURED_MS || spec.estimateMs <= 0) return;
  const speed = Math.min(1, ((run.percent / 100) * spec.estimateMs) / ranMs);
  const { vm } = run;
  vm.speed =
    estimateSpeed(vm, nowMs) * (1 - SPEED_EWMA_WEIGHT) +
    speed * SPEED_EWMA_WEIGHT;
  vm.speedAtMs = nowMs;
}

/** Estimates the speed of a VM; the older its last measurement, the closer to 1. */
export function estimateSpeed(vm: tables.VmRow, nowMs: number): number {
  if (vm.speed === 1) return 1;
  const confidence = 0.5 ** ((nowMs - vm.speedAtMs) / SPEED_HALF_LIFE_MS);
  return 1 - (1 - vm.speed) * confidence;
}

/** Returns the score penalty of a slow VM; 0 at normal speed. */
export function scoreSpeed(vm: tables.VmRow, nowMs: number): number {
  const shortfall = NORMAL_SPEED - estimateSpeed(vm, nowMs);
  return shortfall <= 0 ? 0 : (shortfall / NORMAL_SPEED) * STOPPED_PENALTY;
}
