/** The job model and its scheduler. */
export type * from './types.js';
export { formatStep, formatTask, parseTask } from './names.js';
export type { StartSummary, UnstartedJobs } from './begins.js';
export { splitByJob as splitProgress } from './progress.js';
export type { WorkspaceSummary, WorkspaceView } from './shares.js';
export type { RunTimeSource } from './runTimes.js';
export { createWorkloadScheduler } from './scheduler.js';
export type { Decision, WorkloadScheduler } from './scheduler.js';
export type {
  Bounds,
  CrashedRun,
  CrashEvidence,
  EndedRun,
  GivenUpTask,
  SchedulerOptions,
} from './state.js';
export type { HeldRun, LateEnd, Removal, RemovalEvidence } from './removals.js';
export type { WorkspaceUse } from './workspaceLimits.js';
export type {
  Inconsistency,
  OwedCause,
  OwedQuery,
  OwedReason,
  OwedTask,
} from './owed.js';
