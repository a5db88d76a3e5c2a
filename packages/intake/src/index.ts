/** Bounds what clients take of a process: connections, requests, bodies and processor time. */
export {
  DEFAULT_HEADER_TIMEOUT_MS,
  computeIntakeLimits,
  computeMaxHandshakes,
  computeMaxOutgoing,
} from './limits.js';
export type { IntakeLimits } from './limits.js';
export type { IdleTimeouts } from './intake.js';
export { createConnectionGuard } from './connectionGuard.js';
export type {
  ConnectionGuard,
  GuardOptions,
  GuardedRequest,
} from './connectionGuard.js';
export { slowBody } from './refusals.js';
export type { EncodedRefusal, Refusal } from './refusals.js';
export type { ReceivedBody } from './requestBody.js';
