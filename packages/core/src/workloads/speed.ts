/**
 * Learns the speed of VMs in two parts. The lasting part is a factor of the VM and of its
 * kind, learned from finished runs relative to what was expected of them. The passing part
 * shows VMs that have become slow, from the progress of their runs. Without it, a VM that
 * has become slow gets as many short urgent tasks as the others, and these end late.
 */
import * as headroom from './headroom.js';
import * as runTimes from './runTimes.js';
import type * as states from './state.js';
import type * as tables from './tables.js';
import type * as types from './types.js';

/** Run time before which the progress of a run is too noisy to measure, in ms. */
const MIN_MEASURED_MS = 400;
/** Weight of a new sample in the moving average of the passing part. */
const SPEED_EWMA_WEIGHT = 0.3;
/** Half-life of a measured slowdown, in ms; it decays so that the VM is tried again. */
const SPEED_HALF_LIFE_MS = 4_000;
/** A VM at or above this passing speed counts as normal: expected run times are wrong by up to half. */
const NORMAL_SPEED = 0.6;
/** Penalty for a VM without any progress; without penalties a VM scores between 0 and 3. */
const STOPPED_PENALTY = 6;
/** Variance of the logarithm of the lasting speed between VMs of a kind, and between kinds: factors of 0.8 to 1.25. */
const SPEED_VARIANCE = 0.2 ** 2;
/** Limit of the logarithm of a lasting speed: half to twice the usual. */
const MAX_LOG_SPEED = Math.log(2);
/** Half-life of what is known of the lasting speed of a VM or kind, in ms. */
const LASTING_HALF_LIFE_MS = 600_000;
/** Standard deviations to which the speed that one run shows is limited: it may be a straggler. */
const MAX_DEVIATIONS = 2;
/** Weight of a new sample in the moving averages of a pool; about the last 100 runs. */
const POOL_EWMA_WEIGHT = 0.02;
/** Number of runs that the averages of a pool need before speeds are compared with them. */
const MIN_POOL_RUNS = 20;
/** Score for one unit of the logarithm of the lasting speed; 0.8 or 1.25 of the usual counts as a tenth of the way from full to empty. */
const SPEED_SCORE = 1.2;
/** Tasks that take longer than this multiple of the usual time in their pool prefer faster VMs. */
const LONG_TASK_FACTOR = 2;
/** Maximum number of kinds of VMs for which speeds are kept. */
const MAX_KINDS = 500;

/** Sum of measured logarithms of speeds, each divided by its variance; decays. */
export interface MeasuredSpeed {
  precision: number;
  sum: number;
  atMs: number;
}

/** Learned speeds that aren't those of one VM. */
export interface Speeds {
  readonly kinds: Map<string, MeasuredSpeed>;
  /** Averages over the runs of a pool. */
  readonly pools: Map<types.PoolName, PoolAverages>;
}

interface PoolAverages {
  runs: number;
  /** Speed that all runs show; that of VMs and kinds is relative to it, as expected times may be wrong in one direction. */
  readonly speed: MeasuredSpeed;
  /** Average logarithm of the time of a task, in ms. */
  logTime: number;
}

/** Creates speeds of which nothing is known. */
export function createSpeeds(): Speeds {
  return { kinds: new Map(), pools: new Map() };
}

/** Learns the lasting speed of a VM and the run times of a step from the end of a run. */
export function observeEnd(
  state: states.State,
  run: tables.RunRow,
  how: types.RunEnd,
  nowMs: number,
): void {
  const { vm } = run;
  const outcome = runTimes.observeEnd(
    state.runTimes,
    run,
    how,
    estimateLastingLog(state, vm, nowMs),
    nowMs,
  );
  const { entry } = vm;
  if (outcome === undefined || entry === undefined) return;
  const pool = state.speeds.pools.get(entry.pool) ?? {
    runs: 0,
    speed: { precision: 0, sum: 0, atMs: nowMs },
    logTime: outcome.logTime,
  };
  state.speeds.pools.set(entry.pool, pool);
  pool.runs += 1;
  const averageLog = computeMean(pool.speed);
  const limit = MAX_DEVIATIONS * Math.sqrt(SPEED_VARIANCE + outcome.variance);
  const log = averageLog + computeLimited(outcome.logSpeed - averageLog, limit);
  addMeasurement(pool.speed, log, outcome.variance, nowMs);
  // The average of the first runs is their mean.
  const weight = Math.max(POOL_EWMA_WEIGHT, 1 / pool.runs);
  pool.logTime += weight * (outcome.logTime - pool.logTime);
  if (vm.lastingIncarnation !== vm.incarnation) {
    vm.lasting = { precision: 0, sum: 0, atMs: nowMs };
    vm.lastingIncarnation = vm.incarnation;
  }
  addMeasurement(vm.lasting, log, outcome.variance, nowMs);
  addMeasurement(ensureKind(state, entry, nowMs), log, outcome.variance, nowMs);
}

function ensureKind(
  state: states.State,
  entry: types.VmEntry,
  nowMs: number,
): MeasuredSpeed {
  const { kinds } = state.speeds;
  const key = formatKind(entry);
  const kind = kinds.get(key) ?? { precision: 0, sum: 0, atMs: nowMs };
  // Kinds are kept in the order of their last use.
  kinds.delete(key);
  kinds.set(key, kind);
  if (kinds.size > MAX_KINDS)
    for (const oldest of kinds.keys()) {
      kinds.delete(oldest);
      break;
    }
  return kind;
}

/** Keys of kinds; they are needed for each run of each report. */
const kindKeys = new WeakMap<types.VmEntry, string>();

function formatKind(entry: types.VmEntry): string {
  const known = kindKeys.get(entry);
  if (known !== undefined) return known;
  const key = [entry.pool, ...[...entry.labels].sort()].join('|');
  kindKeys.set(entry, key);
  return key;
}

function addMeasurement(
  measured: MeasuredSpeed,
  log: number,
  variance: number,
  nowMs: number,
): void {
  const kept = 0.5 ** ((nowMs - measured.atMs) / LASTING_HALF_LIFE_MS);
  measured.precision = measured.precision * kept + 1 / variance;
  measured.sum = measured.sum * kept + log / variance;
  measured.atMs = nowMs;
}

/** Estimates the logarithm of the lasting speed of a VM relative to its pool; 0 while nothing is known. */
export function estimateLastingLog(
  state: states.State,
  vm: tables.VmRow,
  nowMs: number,
): number {
  const { entry } = vm;
  if (entry === undefined) return 0;
  const pool = state.speeds.pools.get(entry.pool);
  const kind = state.speeds.kinds.get(formatKind(entry));
  if (pool === undefined || pool.runs < MIN_POOL_RUNS || kind === undefined)
    return 0;
  const averageLog = computeMean(pool.speed);
  const kindLog = estimateLog(kind, averageLog, 0, nowMs);
  const log =
    vm.lastingIncarnation === vm.incarnation
      ? estimateLog(vm.lasting, averageLog, kindLog, nowMs)
      : kindLog;
  return computeLimited(log, MAX_LOG_SPEED);
}

function computeMean({ precision, sum }: MeasuredSpeed): number {
  return precision > 0 ? sum / precision : 0;
}

/** Estimates a logarithm relative to an average from its measurements, shrunk towards a base. */
function estimateLog(
  { precision, sum, atMs }: MeasuredSpeed,
  averageLog: number,
  base: number,
  nowMs: number,
): number {
  const kept = 0.5 ** ((nowMs - atMs) / LASTING_HALF_LIFE_MS);
  return (
    ((sum - precision * averageLog) * kept + base / SPEED_VARIANCE) /
    (precision * kept + 1 / SPEED_VARIANCE)
  );
}

function computeLimited(log: number, limit: number): number {
  return Math.min(limit, Math.max(-limit, log));
}

/** Updates the passing speed of a VM from the progress of one of its runs; `logSpeed` is the logarithm of its lasting speed. */
export function measureSpeed(
  state: states.State,
  run: tables.RunRow,
  logSpeed: number,
  nowMs: number,
): void {
  const { step } = run.task;
  const { spec } = step;
  if (spec.lasts || spec.fills || spec.gang || (run.pace ?? 100) < 100) return;
  if (run.runningSinceMs === undefined || run.task.saved !== '') return;
  const ranMs = nowMs - run.runningSinceMs;
  if (ranMs < MIN_MEASURED_MS || spec.estimateMs <= 0) return;
  const { vm } = run;
  const expectedMs =
    runTimes.estimateStepMs(state.runTimes, step, nowMs) / Math.exp(logSpeed);
  const speed = Math.min(1, ((run.percent / 100) * expectedMs) / ranMs);
  vm.speed =
    estimatePassing(vm, nowMs) * (1 - SPEED_EWMA_WEIGHT) +
    speed * SPEED_EWMA_WEIGHT;
  vm.speedAtMs = nowMs;
}

/** Estimates the passing part of the speed of a VM; the older its last measurement, the closer to 1. */
function estimatePassing(vm: tables.VmRow, nowMs: number): number {
  if (vm.speed === 1) return 1;
  const confidence = 0.5 ** ((nowMs - vm.speedAtMs) / SPEED_HALF_LIFE_MS);
  return 1 - (1 - vm.speed) * confidence;
}

/** Returns the score penalty of a VM that has become slow; 0 at normal speed. */
export function scoreSpeed(vm: tables.VmRow, nowMs: number): number {
  const shortfall = NORMAL_SPEED - estimatePassing(vm, nowMs);
  return shortfall <= 0 ? 0 : (shortfall / NORMAL_SPEED) * STOPPED_PENALTY;
}

/** Returns whether a step prefers VMs of a higher lasting speed: urgent steps, and those with the longest tasks. */
export function isSpeedPreferred(
  state: states.State,
  step: tables.StepRow,
  nowMs: number,
): boolean {
  if (step.spec.gang || !runTimes.isLearned(state.runTimes, step)) return false;
  if (headroom.isUrgent(state, step, nowMs)) return true;
  const pool = state.speeds.pools.get(step.occurrence.job.policy.pool);
  if (pool === undefined || pool.runs < MIN_POOL_RUNS) return false;
  const takesMs = runTimes.estimateStepMs(state.runTimes, step, nowMs);
  return takesMs > LONG_TASK_FACTOR * Math.exp(pool.logTime);
}

/**
 * Returns what the lasting speed of a VM adds to its score for a step that prefers speed.
 * An empty VM gets no advantage, since it is kept for gangs.
 */
export function scoreLasting(
  state: states.State,
  vm: tables.VmRow,
  nowMs: number,
): number {
  const log = estimateLastingLog(state, vm, nowMs);
  return -SPEED_SCORE * (vm.runs.size === 0 ? Math.min(0, log) : log);
}
