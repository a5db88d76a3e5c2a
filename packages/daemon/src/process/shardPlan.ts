/** Derives from the VM list and the release in force which shards need an owner. */
import type * as core from '@flamingoward/core';
import * as stores from '../jobs/stores.js';
import type * as ownership from '../ownership/ownership.js';
import * as serviceShards from '../requests/serviceShards.js';

/** Lists the shards: one per region with workers, one per service and region with backend servers. */
export function listShards(
  vms: readonly core.workers.VmRecord[],
  state: core.releases.ReleaseState,
): readonly ownership.ShardPlan[] {
  return [...listWorkersShards(vms), ...listServiceShards(vms, state)];
}

function listWorkersShards(
  vms: readonly core.workers.VmRecord[],
): readonly ownership.ShardPlan[] {
  const regions = new Set(
    vms.filter((vm) => vm.role === 'worker').map((vm) => vm.region),
  );
  return [...regions].map((region) => ({
    shard: stores.formatWorkersShard(region),
    region,
  }));
}

function listServiceShards(
  vms: readonly core.workers.VmRecord[],
  state: core.releases.ReleaseState,
): readonly ownership.ShardPlan[] {
  const servers = vms.filter((vm) => vm.role === 'backend');
  return [...state.services.values()].flatMap((service) => {
    const regions = new Set(
      servers
        .filter((vm) => vm.backend === service.backend)
        .map((vm) => vm.region),
    );
    return [...regions].map((region) => ({
      shard: serviceShards.formatServiceShard(service.name, region),
      region,
    }));
  });
}
