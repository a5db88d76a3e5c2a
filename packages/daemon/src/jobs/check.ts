/**
 * The check of a job before it is accepted. The owner of the shard asks its
 * scheduler; other processes check against the VM list whether it can ever fit and
 * against the quota whether it may ever run.
 */
import type * as core from '@flamingoward/core';
import type * as parts from '../types.js';

/** Checks a job against one region. */
export type JobCheck = (
  spec: core.jobs.JobSpec,
  region: core.ids.RegionName,
) => core.scheduling.AdmissionVerdict;

const resourceNames: readonly core.resources.ResourceName[] = [
  'cores',
  'memoryMb',
  'gpus',
];

/** Creates a check; `checkOwned` answers for the shards of this process. */
export function createJobCheck(
  membership: parts.Membership,
  releases: parts.Releases,
  checkOwned: (
    spec: core.jobs.JobSpec,
    region: core.ids.RegionName,
  ) => core.scheduling.AdmissionVerdict | undefined,
): JobCheck {
  return (spec, region) => {
    const owned = checkOwned(spec, region);
    if (owned !== undefined) return owned;
    const team = releases.readState().teams.get(spec.team);
    const reason =
      checkFit(spec, membership.readVms(), region) ??
      (team === undefined ? undefined : checkQuota(spec, team));
    if (reason === undefined) return { admitted: true, expectedWaitMs: 0 };
    return { admitted: false, reason };
  };
}

/** Returns why a job can never fit in a region; undefined when it can or when the list is empty. */
export function checkFit(
  spec: core.jobs.JobSpec,
  vms: readonly core.workers.VmRecord[],
  region: core.ids.RegionName,
): core.reasons.Reason | undefined {
  if (vms.length === 0) return undefined;
  const workers = vms.filter(
    (vm) => vm.role === 'worker' && vm.region === region,
  );
  const large = workers.filter((vm) => countFitting(spec.size, vm) > 0);
  const placed = large.filter(
    (vm) =>
      spec.availabilityZone === undefined ||
      vm.availabilityZone === spec.availabilityZone,
  );
  const room = placed.reduce((sum, vm) => sum + countFitting(spec.size, vm), 0);
  const needed = spec.kind === 'gang' ? spec.count : 1;
  if (room >= needed) return undefined;
  return {
    reason: 'never-fits',
    total: workers.length,
    counts: [
      { filter: 'size', removed: workers.length - large.length },
      { filter: 'location', removed: large.length - placed.length },
    ],
  };
}

function countFitting(
  size: core.resources.Resources,
  vm: core.workers.VmRecord,
): number {
  const room = resourceNames
    .filter((resource) => size[resource] > 0)
    .map((resource) => Math.floor((vm.size?.[resource] ?? 0) / size[resource]));
  return Math.min(...room);
}

/** Returns the resource of which the tasks that must run together need more than the team's quota. */
export function checkQuota(
  spec: core.jobs.JobSpec,
  team: core.releases.TeamEntry,
): core.reasons.Reason | undefined {
  const together = spec.kind === 'batch' ? 1 : spec.count;
  for (const resource of resourceNames) {
    const used = spec.size[resource] * together;
    const quota = team.quota[resource];
    if (used > quota)
      return { reason: 'quota', team: team.name, resource, used, quota };
  }
  return undefined;
}
