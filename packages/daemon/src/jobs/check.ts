/**
 * Admission check of a job before it is accepted. The owner of the region's workers
 * shard asks its scheduler. Other processes only refuse jobs that can never run:
 * larger than the VMs in the VM list, or than the quota of the team.
 */
import type * as core from '@flamingoward/core';
import type * as types from '../types.js';

/** Checks whether a job may be accepted in a region. */
export type JobCheck = (
  spec: core.jobs.JobSpec,
  region: core.ids.RegionName,
) => core.scheduling.AdmissionVerdict;

const resourceNames: readonly core.resources.ResourceName[] = [
  'cores',
  'memoryMb',
  'gpus',
];

/**
 * Creates a check. `checkAtOwner` returns the scheduler's verdict when this process owns
 * the region's workers shard, and undefined otherwise.
 */
export function createJobCheck(
  membership: types.Membership,
  releases: types.Releases,
  checkAtOwner: (
    spec: core.jobs.JobSpec,
    region: core.ids.RegionName,
  ) => core.scheduling.AdmissionVerdict | undefined,
): JobCheck {
  return (spec, region) => {
    const ownerVerdict = checkAtOwner(spec, region);
    if (ownerVerdict !== undefined) return ownerVerdict;
    const team = releases.getState().teams.get(spec.team);
    const reason =
      checkFit(spec, membership.listVms(), region) ??
      (team === undefined ? undefined : checkQuota(spec, team));
    if (reason === undefined) return { admitted: true, expectedWaitMs: 0 };
    return { admitted: false, reason };
  };
}

/**
 * Returns why a job can never fit in a region, or undefined when it can. An empty VM
 * list hasn't been read yet and proves nothing.
 */
export function checkFit(
  spec: core.jobs.JobSpec,
  vms: readonly core.workers.VmRecord[],
  region: core.ids.RegionName,
): core.reasons.Reason | undefined {
  if (vms.length === 0) return undefined;
  const workers = vms.filter(
    (vm) => vm.role === 'worker' && vm.region === region,
  );
  const largeEnough = workers.filter(
    (vm) => countFittingTasks(spec.size, vm) > 0,
  );
  const inLocation = largeEnough.filter(
    (vm) =>
      spec.availabilityZone === undefined ||
      vm.availabilityZone === spec.availabilityZone,
  );
  const capacity = inLocation.reduce(
    (sum, vm) => sum + countFittingTasks(spec.size, vm),
    0,
  );
  const needed = spec.kind === 'gang' ? spec.count : 1;
  if (capacity >= needed) return undefined;
  return {
    reason: 'never-fits',
    total: workers.length,
    counts: [
      { filter: 'size', removed: workers.length - largeEnough.length },
      { filter: 'location', removed: largeEnough.length - inLocation.length },
    ],
  };
}

function countFittingTasks(
  size: core.resources.Resources,
  vm: core.workers.VmRecord,
): number {
  const fittingCounts = resourceNames
    .filter((resource) => size[resource] > 0)
    .map((resource) => Math.floor((vm.size?.[resource] ?? 0) / size[resource]));
  return Math.min(...fittingCounts);
}

/** Returns a resource of which the tasks that must run at the same time need more than the team's quota. */
export function checkQuota(
  spec: core.jobs.JobSpec,
  team: core.releases.TeamEntry,
): core.reasons.Reason | undefined {
  const concurrentTasks = spec.kind === 'batch' ? 1 : spec.count;
  for (const resource of resourceNames) {
    const required = spec.size[resource] * concurrentTasks;
    const quota = team.quota[resource];
    if (required > quota)
      return {
        reason: 'quota',
        team: team.name,
        resource,
        used: required,
        quota,
      };
  }
  return undefined;
}
