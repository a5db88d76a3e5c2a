/** The job model and its scheduler. */
export type * from './types.js';
export { formatStep, formatTask, parseTask } from './names.js';
export { createWorkloadScheduler } from './scheduler.js';
export type {
  Decision,
  SchedulerOptions,
  WorkloadScheduler,
} from './scheduler.js';
export type { Bounds } from './state.js';
