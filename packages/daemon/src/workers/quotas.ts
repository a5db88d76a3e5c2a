/** Splits the quotas of teams over the regions by their share of the capacity. */
import type * as core from '@flamingoward/core';

/** Computes what a region may use of a quota over all regions. */
export function splitQuota(
  quota: core.resources.Resources,
  vms: readonly core.workers.VmRecord[],
  region: core.ids.RegionName,
): core.resources.Resources {
  const workers = vms.filter((vm) => vm.role === 'worker');
  const own = workers.filter((vm) => vm.region === region);
  const take = (resource: core.resources.ResourceName): number => {
    const all = sumSize(workers, resource);
    if (all === 0) return 0;
    return (quota[resource] * sumSize(own, resource)) / all;
  };
  return {
    cores: take('cores'),
    memoryMb: take('memoryMb'),
    gpus: take('gpus'),
  };
}

function sumSize(
  vms: readonly core.workers.VmRecord[],
  resource: core.resources.ResourceName,
): number {
  return vms.reduce((sum, vm) => sum + (vm.size?.[resource] ?? 0), 0);
}
