/**
 * Scores candidate workers; lower is better. Tasks are packed where they leave the least
 * of the scarce resource stranded and free; replicas of a service are also spread over
 * zones, racks and workers.
 */
import type * as ids from '../types/ids.js';
import type * as resources from '../types/resources.js';
import type * as rows from './rows.js';

/** Number of replicas of a job by zone, rack and worker. */
export type Spread = ReadonlyMap<string, number>;

/** Inputs of a score besides the worker. */
export interface ScoreContext {
  readonly need: resources.Resources;
  /** The resource in highest demand relative to the fleet. */
  readonly scarceResource: resources.ResourceName;
  /** Present for replicas of services. */
  readonly spread: Spread | undefined;
  /** Worker to choose only when there is no other, if any. */
  readonly avoidedWorker: ids.VmId | undefined;
}

/** Weight of capacity of the scarce resource that the other resources leave unusable. */
const STRANDED_WEIGHT = 2;
/** Weight of a replica in the same zone; exceeds all other terms of a score. */
export const ZONE_WEIGHT = 100;
const RACK_WEIGHT = 10;
const WORKER_WEIGHT = 5;

function computeRemainder(
  name: resources.ResourceName,
  free: resources.Resources,
  context: ScoreContext,
  size: resources.Resources,
): number {
  return size[name] > 0 ? (free[name] - context.need[name]) / size[name] : 0;
}

/** Scores the packing of a task into free capacity on a worker of the given size. */
export function scoreFree(
  free: resources.Resources,
  size: resources.Resources,
  context: ScoreContext,
): number {
  const cores = computeRemainder('cores', free, context, size);
  const memory = computeRemainder('memoryMb', free, context, size);
  const gpus = computeRemainder('gpus', free, context, size);
  const scarce =
    context.scarceResource === 'cores'
      ? cores
      : context.scarceResource === 'memoryMb'
        ? memory
        : gpus;
  const least =
    context.need.gpus > 0
      ? Math.min(cores, memory, gpus)
      : Math.min(cores, memory);
  return STRANDED_WEIGHT * Math.max(0, scarce - least) + scarce;
}

/** Scores a worker. */
export function scoreWorker(
  worker: rows.WorkerRow,
  context: ScoreContext,
): number {
  const packing = scoreFree(worker.unclaimed, worker.size, context);
  const { spread } = context;
  if (spread === undefined) return packing;
  const { availabilityZone, rack } = worker.record;
  return (
    packing +
    ZONE_WEIGHT * (spread.get(`zone ${availabilityZone}`) ?? 0) +
    RACK_WEIGHT * (spread.get(`rack ${rack}`) ?? 0) +
    WORKER_WEIGHT * (spread.get(`worker ${worker.id}`) ?? 0)
  );
}
