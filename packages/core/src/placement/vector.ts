/**
 * Arithmetic on amounts of resources. Cores and memory are rounded to thousandths, so
 * that sums of fractional declarations return exactly to zero when the tasks end.
 */
import type * as resources from '../types/resources.js';

/** Resources that can be changed in place. */
export interface Amount {
  cores: number;
  memoryMb: number;
  gpus: number;
}

/** Creates an amount of zero. */
export function createAmount(): Amount {
  return { cores: 0, memoryMb: 0, gpus: 0 };
}

/** Adds `times` of `b` to `a` in place. */
export function addTo(a: Amount, b: resources.Resources, times: number): void {
  a.cores = Math.round((a.cores + b.cores * times) * 1000) / 1000;
  a.memoryMb = Math.round((a.memoryMb + b.memoryMb * times) * 1000) / 1000;
  a.gpus += b.gpus * times;
}

/** Returns whether `need` fits into `free`. */
export function isWithin(
  need: resources.Resources,
  free: resources.Resources,
): boolean {
  return (
    need.cores <= free.cores &&
    need.memoryMb <= free.memoryMb &&
    need.gpus <= free.gpus
  );
}

/** Counts how many times `need` fits into `free`. */
export function countFits(
  need: resources.Resources,
  free: resources.Resources,
): number {
  let fits = Number.MAX_SAFE_INTEGER;
  if (need.cores > 0) fits = Math.floor(free.cores / need.cores + 1e-9);
  if (need.memoryMb > 0)
    fits = Math.min(fits, Math.floor(free.memoryMb / need.memoryMb));
  if (need.gpus > 0) fits = Math.min(fits, Math.floor(free.gpus / need.gpus));
  return Math.max(0, fits);
}

/** Computes the largest share of `total` that `part` takes in any resource. */
export function computeShare(
  part: resources.Resources,
  total: resources.Resources,
): number {
  return Math.max(
    total.cores > 0 ? part.cores / total.cores : 0,
    total.memoryMb > 0 ? part.memoryMb / total.memoryMb : 0,
    total.gpus > 0 ? part.gpus / total.gpus : 0,
  );
}
