/**
 * Scores of workers that passed the filters; lower is better. Batch work goes where
 * it strands the least of the scarcer resource and leaves the least free; replicas
 * of a service go where the job has the fewest.
 */
import type * as ids from '../types/ids.js';
import type * as resources from '../types/resources.js';
import type * as rows from './rows.js';

/** Where the replicas of a job are: how many per zone, rack and worker. */
export type Spread = ReadonlyMap<string, number>;

/** What a score depends on besides the worker. */
export interface ScoreContext {
  readonly need: resources.Resources;
  /** The resource of the fleet that runs out first. */
  readonly scarce: resources.ResourceName;
  /** Present for replicas of services. */
  readonly spread: Spread | undefined;
  /** Worker to avoid unless there is no other, if any. */
  readonly avoid: ids.VmId | undefined;
}

const STRANDED_WEIGHT = 2;
/** Weight of a replica in the same zone; above everything else in a score. */
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

/** Scores an amount of free capacity on a worker of a size. */
export function scoreFree(
  free: resources.Resources,
  size: resources.Resources,
  context: ScoreContext,
): number {
  const cores = computeRemainder('cores', free, context, size);
  const memory = computeRemainder('memoryMb', free, context, size);
  const gpus = computeRemainder('gpus', free, context, size);
  const scarce =
    context.scarce === 'cores'
      ? cores
      : context.scarce === 'memoryMb'
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
  const packing = scoreFree(worker.open, worker.size, context);
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
