/** Amounts of what a VM holds and a task needs. */

/** An amount of each resource. Cores may be fractional; GPUs are whole. */
export interface Resources {
  readonly cores: number;
  readonly memoryMb: number;
  readonly gpus: number;
}

/** One dimension of `Resources`. */
export type ResourceName = keyof Resources;

/** All dimensions. */
export const resourceNames: readonly ResourceName[] = [
  'cores',
  'memoryMb',
  'gpus',
];

/** No resources at all. */
export const noResources: Resources = { cores: 0, memoryMb: 0, gpus: 0 };
