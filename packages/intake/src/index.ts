/** Bounds what clients take of a process: connections, requests, bodies and processor time. */
export {
  DEFAULT_HEADER_TIMEOUT_MS,
  DEFAULT_MAX_DESCRIPTORS,
  DEFAULT_MEMORY_MB,
  computeIntakeLimits,
  computeMaxHandshakes,
  computeMaxOutgoing,
} from './intake.js';
export type { IdleTimeouts, IntakeLimits } from './intake.js';
export { createConnectionGuard } from './connectionGuard.js';
export type {
  ConnectionGuard,
  GuardOptions,
  Refusal,
} from './connectionGuard.js';
