/** The core package: shared types, time, errors, and scheduling state and decisions without I/O. */
export * as ids from './types/ids.js';
export * as resources from './types/resources.js';
export type * as releases from './types/release.js';
export type * as jobs from './types/job.js';
export type * as reasons from './types/reasons.js';
export type * as workers from './types/worker.js';
export type * as scheduling from './types/scheduler.js';
export * as requests from './types/request.js';
export type * as records from './types/records.js';
export * as messages from './types/messages.js';
export type * as clusterMessages from './types/clusterMessages.js';
export {
  createAddressFault,
  decodeAddress,
  getUrlAddress,
  parseAddress,
  splitAddress,
} from './addresses.js';
export type { Endpoint } from './addresses.js';
export { createFault, describeError, getFaultInfo } from './errors.js';
export type { FaultCode, FaultInfo, FaultOrigin } from './errors.js';
export { createSubject } from './events.js';
export type { Subject } from './events.js';
export {
  computeBodyCapacity,
  createBodyBuffer,
  createBufferPool,
} from './bodyBuffer.js';
export type { BodyBuffer, BufferPool } from './bodyBuffer.js';
export { waitFor } from './time/timers.js';
export type {
  TimerRequest,
  TimerService,
  TimerSubscription,
} from './time/timers.js';
export { createSystemTimers } from './time/system.js';
export { createVirtualTimers } from './time/virtual.js';
export type { VirtualTimers } from './time/virtual.js';
export { compareEpochs, formatEpoch } from './ownership/epochs.js';
export { applyClaimRecord } from './ownership/claims.js';
export type { Claim, ClaimTable } from './ownership/claims.js';
export { rankCandidates } from './ownership/rank.js';
export {
  CLAIM_GRACE_MS,
  CLAIM_RANK_WAIT_MS,
  FOREIGN_CLAIM_AFTER_MS,
  decideOwnership,
} from './ownership/decide.js';
export type {
  OrphanTable,
  OwnershipView,
  OwnableShard,
} from './ownership/decide.js';
export { parseSettings, printSettings } from './settings/settings.js';
export type { SettingsResult } from './settings/settings.js';
export type * as settings from './settings/types.js';
export {
  DEFAULT_MAX_DESCRIPTORS,
  DEFAULT_MEMORY_MB,
} from './settings/machine.js';
export { createSlotScheduler } from './slots/scheduler.js';
export { describeRequestReason } from './slots/reasons.js';
export { defaultFloors } from './slots/types.js';
export type * as slots from './slots/types.js';
export { createKeyTable } from './keys/table.js';
export type { KeyState, KeyTable, KeyTableOptions } from './keys/table.js';
export {
  AUTHORITY_TERM_MS,
  LEASE_MARGIN_MS,
  LEASE_TERM_MS,
  applySessionReport,
  compareSessions,
  createAuthority,
  isInventoryComplete,
  computeAuthorityState,
  computeLeaseEnd,
} from './authority/authority.js';
export type {
  Authority,
  AuthorityState,
  SessionReport,
  SessionReportResult,
  WorkerKind,
} from './authority/authority.js';
export { decideJobEnd } from './jobs/end.js';
export type { JobEnd } from './jobs/end.js';
export { computeJobId, generateJobId } from './jobs/id.js';
export {
  applyJobRecord,
  createJobTable,
  dropEndedJobs,
} from './jobs/jobTable.js';
export type { JobChange, JobTable } from './jobs/jobTable.js';
export {
  applyTaskRecord,
  countTaskEnds,
  createTaskTable,
  dropTasks,
  listTaskEnds,
  getIntent,
  getTaskEnd,
} from './jobs/taskTable.js';
export type { Intent, TaskTable } from './jobs/taskTable.js';
export { createScheduler } from './scheduler/scheduler.js';
export { describeReason } from './explain/explain.js';
export { parseReleaseNote } from './release/note.js';
export type { NoteResult } from './release/note.js';
export { checkRelease, listEntries } from './release/check.js';
export {
  applyReleaseRecord,
  applySnapshot,
  buildSnapshot,
  emptyReleaseLog,
  isSnapshot,
  markGap,
} from './release/log.js';
export type { ReleaseLog } from './release/log.js';
export {
  describeDiff,
  describeFault,
  describeHistory,
  describeVerdict,
} from './release/describe.js';
export * as workloads from './workloads/index.js';
