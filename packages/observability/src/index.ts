/** Log lines and metrics of a process. */
export { createLineWriter } from './lines.js';
export type { LineWriter } from './lines.js';
export { createLogger } from './logger.js';
export type { LoggerOptions } from './logger.js';
export { createMetrics } from './metrics.js';
export type { LogFields, Logger, LogLevel, Metrics } from './types.js';
