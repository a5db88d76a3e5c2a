/**
 * Room kept free for urgent work. Answers a burst of large, less urgent jobs onto a
 * pool that also serves short urgent ones: with every VM full, an urgent task waits
 * for the stop of another, which takes most of the time that its objective leaves.
 * The room follows the recent peak of urgent use and never takes most of a pool.
 */
import type * as states from './state.js';
import * as tables from './tables.js';
import type * as types from './types.js';

/** Work counts as urgent when its objective leaves less than this beyond its run time, in ms: a stop takes half of it. */
const URGENT_LEEWAY_MS = 2_000;
/** Recent peak of urgent use that is provided for, as a factor. */
const PEAK_FACTOR = 1.3;
/** Share of a pool that is kept for urgent work at most. */
const MAX_SHARE = 0.4;
/** Time in which a remembered peak halves, in ms: bursts of the recorded days last a few seconds. */
const HALF_LIFE_MS = 8_000;

/** Cores that may still be given in one tick. */
export interface PoolRoom {
  freeCores: number;
  /** VMs that take work. */
  readonly vms: number;
  /** Cores kept for urgent work. */
  readonly keptCores: number;
  /** At least the cores that are free on any one VM. */
  readonly largestCores: number;
  /** At least the GPUs that are free on any one VM. */
  readonly largestGpus: number;
}

/** Tells whether a step is urgent. */
export function isUrgent(step: tables.StepRow): boolean {
  const { policy } = step.occurrence.job;
  const leewayMs = (policy.stretch - 1) * step.spec.estimateMs + policy.slackMs;
  return !step.spec.lasts && leewayMs < URGENT_LEEWAY_MS;
}

/** Measures the room of every pool and what of it is kept for urgent work. */
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
    const free = tables.readFree(vm);
    pool.freeCores += Math.max(0, free.cores);
    pool.largestCores = Math.max(pool.largestCores, free.cores);
    pool.largestGpus = Math.max(pool.largestGpus, free.gpus);
    for (const run of vm.runs)
      if (run.phase !== 'stopping' && isUrgent(run.task.step))
        pool.urgentCores += tables.readNeed(run.task.step.spec).cores;
  }
  const rooms = new Map<types.PoolName, PoolRoom>();
  for (const [name, pool] of pools) {
    const { freeCores, capacity, urgentCores } = pool;
    const peak = updatePeak(state, name, urgentCores, nowMs);
    const wanted = Math.max(0, peak * PEAK_FACTOR - urgentCores);
    const keptCores = Math.min(wanted, capacity * MAX_SHARE);
    rooms.set(name, {
      freeCores,
      vms: pool.vms,
      keptCores,
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
  const before = state.urgentPeaks.get(pool);
  const faded =
    before === undefined
      ? 0
      : before.cores * 0.5 ** ((nowMs - before.atMs) / HALF_LIFE_MS);
  const peak = Math.max(faded, cores);
  state.urgentPeaks.set(pool, { cores: peak, atMs: nowMs });
  return peak;
}

/** Tells whether any VM may have room for a task; most steps of a full pool end here. */
export function canFit(room: PoolRoom, step: tables.StepRow): boolean {
  const { cores, gpus } = tables.readNeed(step.spec);
  return tables.hasRoom(
    { cores: room.largestCores, memoryMb: Infinity, gpus: room.largestGpus },
    { cores, memoryMb: 0, gpus },
  );
}

/** Tells whether a task may take its cores; lasting work is few and must be replaced at once. */
export function canTake(room: PoolRoom, step: tables.StepRow): boolean {
  if (isUrgent(step) || step.spec.lasts) return true;
  const { cores } = tables.readNeed(step.spec);
  return cores === 0 || room.freeCores - cores >= room.keptCores;
}
