/** Service shards: their names, their backend servers and their settings. */
import * as core from '@flamingoward/core';

/** Service and region of a service shard. */
export interface ServiceShard {
  readonly service: core.ids.ServiceName;
  readonly region: core.ids.RegionName;
}

const namePattern = /^service\/([^@]+)@(.+)$/;

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
  const match = namePattern.exec(shard);
  const service = match?.[1];
  const region = match?.[2];
  if (service === undefined || region === undefined) return undefined;
  return { service, region };
}

/** Lists the VMs of the backend group of a service. */
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

/** Creates the settings of a shard's scheduler from the release in force. */
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
 * Longest term that a ticket of an earlier owner may have: the largest timeout that
 * any kept release gave the service.
 */
export function readLongestTerm(
  service: core.releases.ServiceEntry,
  state: core.releases.ReleaseState,
): number {
  const terms = state.history.flatMap(({ note, verdict }) =>
    verdict.verdict === 'adopted'
      ? note.changes.map((change) => readTimeout(change, service.name))
      : [],
  );
  return Math.max(service.timeoutMs, ...terms);
}

function readTimeout(
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
