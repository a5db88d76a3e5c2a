/** Splits the quotas of teams among the regions in proportion to their capacity. */
import * as core from '@flamingoward/core';

/** A region's share of the capacity of each resource, 0 to 1. */
export type CapacityShare = core.resources.Resources;

/** Computes the share of a region; it is 0 for a resource that no worker has. */
export function computeShare(
  vms: readonly core.workers.VmRecord[],
  region: core.ids.RegionName,
): CapacityShare {
  const all = { ...core.resources.noResources };
  const own = { ...core.resources.noResources };
  for (const vm of vms) {
    if (vm.role !== 'worker' || vm.size === undefined) continue;
    addSize(all, vm.size);
    if (vm.region === region) addSize(own, vm.size);
  }
  return {
    cores: computeRatio(own.cores, all.cores),
    memoryMb: computeRatio(own.memoryMb, all.memoryMb),
    gpus: computeRatio(own.gpus, all.gpus),
  };
}

/** Computes the part of a quota that a region with `share` may use. */
export function splitQuota(
  quota: core.resources.Resources,
  share: CapacityShare,
): core.resources.Resources {
  return {
    cores: quota.cores * share.cores,
    memoryMb: quota.memoryMb * share.memoryMb,
    gpus: quota.gpus * share.gpus,
  };
}

function addSize(
  sum: Record<core.resources.ResourceName, number>,
  size: core.resources.Resources,
): void {
  for (const name of core.resources.resourceNames) sum[name] += size[name];
}

function computeRatio(part: number, whole: number): number {
  return whole === 0 ? 0 : part / whole;
}
