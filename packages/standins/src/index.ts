/** Stand-ins for the platform, and the replay of recorded traces. */
export { LogStandin } from './log.js';
export type { LogAudit, LogControl } from './log.js';
