/** Entry point of the daemon package; the daemon runs on every entry VM. */
export type * as parts from './types.js';
export { createJobStore } from './jobs/stores.js';
export type { JobStore } from './jobs/stores.js';
export { createWorkers } from './workers/workers.js';
export type { Workers } from './workers/workers.js';
export type { WorkerClient, WorkersDependencies } from './workers/types.js';
