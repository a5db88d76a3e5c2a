/** Amounts of resources: the capacity of a VM, the need of a task, the quota of a team. */

/** An amount of each resource. Cores may be fractional; GPUs are whole numbers. */
export interface Resources {
  readonly cores: number;
  readonly memoryMb: number;
  readonly gpus: number;
}

/** Name of a resource. */
export type ResourceName = keyof Resources;

/** All resources. */
export const resourceNames: readonly ResourceName[] = [
  'cores',
  'memoryMb',
  'gpus',
];

/** The amount 0 of each resource. */
export const noResources: Resources = { cores: 0, memoryMb: 0, gpus: 0 };
