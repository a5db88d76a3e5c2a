/** Authenticated message connections between the processes of a cluster. */
export { encodeFrame } from './frames.js';
export { createHub } from './hub.js';
export type { Hub, HubOptions, LinkClosed, LinkTraffic } from './hub.js';
export type { LinkIdentity } from './handshake.js';
export { PROBE_AFTER_MS, UNRESPONSIVE_AFTER_MS } from './connection.js';
export type { QuestionHandler } from './connection.js';
