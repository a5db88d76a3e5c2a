/**
 * Headroom: cores of a pool that are kept free for urgent steps. When a burst of large,
 * less urgent jobs fills every VM, an urgent task has to wait for the stop of another
 * run, which takes most of the time that its objective allows. The headroom follows the
 * recent peak of urgent use, up to a fixed share of the pool.
 */
import * as runTimes from './runTimes.js';
import type * as states from './state.js';
import * as tables from './tables.js';
import type * as types from './types.js';

/** A step is urgent when its objective allows less than this beyond its run time, in ms. A stop takes half of that. */
const URGENT_WAIT_MS = 2_000;
/** Factor on the recent peak of urgent use for which cores are reserved. */
const PEAK_FACTOR = 1.3;
/** Maximum share of a pool's cores that is reserved for urgent steps. */
const MAX_RESERVED_SHARE = 0.4;
/** Half-life of the remembered peak, in ms. Bursts in recorded loads last a few seconds. */
const PEAK_HALF_LIFE_MS = 8_000;

/** Free and reserved resources of a pool during one tick. */
export interface PoolRoom {
  freeCores: number;
  /** Number of usable VMs that aren't draining. */
  readonly vms: number;
  /** Free cores that only urgent steps and service tasks may use. */
  readonly reservedCores: number;
  /** Upper bound of the free cores on any one VM. */
  readonly largestCores: number;
  /** Upper bound of the free GPUs on any one VM. */
  readonly largestGpus: number;
}

/** Returns whether a step is urgent. */
export function isUrgent(
  state: states.State,
  step: tables.StepRow,
  nowMs: number,
): boolean {
  if (step.spec.lasts) return false;
  const { policy } = step.occurrence.job;
  const takesMs = runTimes.estimateStepMs(state.runTimes, step, nowMs);
  const allowedWaitMs = (policy.stretch - 1) * takesMs + policy.slackMs;
  return allowedWaitMs < URGENT_WAIT_MS;
}

/** Measures the free resources of every pool and the cores reserved for urgent steps. */
export function measureRooms(
  state: states.State,
  nowMs: number,
): ReadonlyMap<types.PoolName, PoolRoom> {
  const pools = new Map<
    types.PoolName,
    {
      freeCores: number;
      capacity: number;
      vms: number;
      urgentCores: number;
      largestCores: number;
      largestGpus: number;
    }
  >();
  for (const vm of state.vms.values()) {
    const { entry } = vm;
    if (entry === undefined || !vm.usable || entry.draining) continue;
    const pool = pools.get(entry.pool) ?? {
      freeCores: 0,
      capacity: 0,
      vms: 0,
      urgentCores: 0,
      largestCores: 0,
      largestGpus: 0,
    };
    pools.set(entry.pool, pool);
    pool.vms += 1;
    pool.capacity += entry.capacity.cores;
    const free = tables.getFree(vm);
    pool.freeCores += Math.max(0, free.cores);
    pool.largestCores = Math.max(pool.largestCores, free.cores);
    pool.largestGpus = Math.max(pool.largestGpus, free.gpus);
    for (const run of vm.runs)
      if (run.phase !== 'stopping' && isUrgent(state, run.task.step, nowMs))
        pool.urgentCores += tables.getNeed(run.task.step.spec).cores;
  }
  const rooms = new Map<types.PoolName, PoolRoom>();
  for (const [name, pool] of pools) {
    const { freeCores, capacity, urgentCores } = pool;
    const peak = updatePeak(state, name, urgentCores, nowMs);
    const missingCores = Math.max(0, peak * PEAK_FACTOR - urgentCores);
    const reservedCores = Math.min(missingCores, capacity * MAX_RESERVED_SHARE);
    rooms.set(name, {
      freeCores,
      vms: pool.vms,
      reservedCores,
      largestCores: pool.largestCores,
      largestGpus: pool.largestGpus,
    });
  }
  return rooms;
}

function updatePeak(
  state: states.State,
  pool: types.PoolName,
  cores: number,
  nowMs: number,
): number {
  const previous = state.urgentPeaks.get(pool);
  const decayed =
    previous === undefined
      ? 0
      : previous.cores * 0.5 ** ((nowMs - previous.atMs) / PEAK_HALF_LIFE_MS);
  const peak = Math.max(decayed, cores);
  state.urgentPeaks.set(pool, { cores: peak, atMs: nowMs });
  return peak;
}

/** Returns whether any VM may have room for a task. A cheap check that rules out most steps of a full pool. */
export function canFitOnVm(room: PoolRoom, step: tables.StepRow): boolean {
  const { cores, gpus } = tables.getNeed(step.spec);
  return tables.hasRoom(
    { cores: room.largestCores, memoryMb: Infinity, gpus: room.largestGpus },
    { cores, memoryMb: 0, gpus },
  );
}

/** Returns whether a task may use its cores. Service tasks may use reserved ones: they are few and must be replaced at once. */
export function canUseCores(
  state: states.State,
  room: PoolRoom,
  step: tables.StepRow,
  nowMs: number,
): boolean {
  if (step.spec.lasts || isUrgent(state, step, nowMs)) return true;
  const { cores } = tables.getNeed(step.spec);
  return cores === 0 || room.freeCores - cores >= room.reservedCores;
}
