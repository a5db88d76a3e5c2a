/** The core: types, time, errors, and pure state and decisions. */
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
export { createFault, describeError, readFault } from './errors.js';
export type { FaultCode, FaultInfo, FaultOrigin } from './errors.js';
export { createSubject } from './events.js';
export type { Subject } from './events.js';
export { waitFor } from './time/timers.js';
export type {
  TimerRequest,
  TimerService,
  TimerSubscription,
} from './time/timers.js';
export { createSystemTimers } from './time/system.js';
export { createVirtualTimers } from './time/virtual.js';
export type { VirtualTimers } from './time/virtual.js';
export { createScheduler } from './scheduler/scheduler.js';
export { describeReason } from './explain/explain.js';
