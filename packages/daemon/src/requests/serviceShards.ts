/** Service shards: their names, their backend servers and the policy of their schedulers. */
import * as core from '@flamingoward/core';

/** Service and region of a service shard. */
export interface ServiceShard {
  readonly service: core.ids.ServiceName;
  readonly region: core.ids.RegionName;
}

const serviceShardPattern = /^service\/([^@]+)@(.+)$/;

/** Formats the name of a service shard. */
export function formatServiceShard(
  service: core.ids.ServiceName,
  region: core.ids.RegionName,
): core.ids.ShardName {
  return `service/${service}@${region}`;
}

/** Parses a shard name; undefined when it isn't a service shard. */
export function parseServiceShard(
  shard: core.ids.ShardName,
): ServiceShard | undefined {
  const match = serviceShardPattern.exec(shard);
  const service = match?.[1];
  const region = match?.[2];
  if (service === undefined || region === undefined) return undefined;
  return { service, region };
}

/** Lists the VMs of a backend group, of one region when it is given. */
export function listBackendVms(
  vms: readonly core.workers.VmRecord[],
  backend: string,
  region?: core.ids.RegionName,
): readonly core.workers.VmRecord[] {
  return vms.filter(
    (vm) =>
      vm.role === 'backend' &&
      vm.backend === backend &&
      (region === undefined || vm.region === region),
  );
}

/** Creates the policy of a shard's scheduler from the release in force. */
export function createPolicy(
  service: core.releases.ServiceEntry,
  state: core.releases.ReleaseState,
  maxProcesses: number,
): core.slots.SlotPolicy {
  const weights = new Map(
    [...state.teams].map(([name, team]) => [name, team.weight]),
  );
  return {
    termMs: service.timeoutMs,
    maxWaitMs: service.maxWaitMs,
    floors: core.defaultFloors,
    weights,
    maxProcesses,
  };
}

/**
 * Returns the longest term that a ticket of an earlier owner may have: the largest
 * timeout that any release in the history gave the service.
 */
export function computeLongestTerm(
  service: core.releases.ServiceEntry,
  state: core.releases.ReleaseState,
): number {
  const terms = state.history.flatMap(({ note, verdict }) =>
    verdict.verdict === 'adopted'
      ? note.changes.map((change) => getTimeout(change, service.name))
      : [],
  );
  return Math.max(service.timeoutMs, ...terms);
}

function getTimeout(
  change: core.releases.ReleaseChange,
  service: core.ids.ServiceName,
): number {
  if (change.action === 'added')
    return change.entry.kind === 'service' && change.entry.name === service
      ? change.entry.timeoutMs
      : 0;
  if (change.action === 'withdrawn') return 0;
  if (change.entryKind !== 'service' || change.name !== service) return 0;
  return Number(change.fields.timeout_ms ?? 0) || 0;
}
