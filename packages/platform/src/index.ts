/** Clients for the platform: log, VM list, workers and backend servers. */
export { createLogClient } from './log.js';
export type { LogClientOptions } from './log.js';
export { createStreams } from './streams.js';
export type { StreamsOptions } from './streams.js';
export type * from './types.js';
