/** Clients of the log service, the VM list, the workers and the backend servers. */
export { createLogClient } from './log.js';
export type { LogClientOptions } from './log.js';
export { createStreams } from './streams.js';
export type { StreamsOptions } from './streams.js';
export { createRelay } from './relay.js';
export type { RelayOptions } from './relay.js';
export { createVmListClient } from './vmlist.js';
export type { VmListClientOptions } from './vmlist.js';
export { createWorkerClient } from './worker.js';
export type { WorkerClientOptions } from './worker.js';
export { createBackendClient } from './backend.js';
export type { BackendClientOptions } from './backend.js';
export type * from './types.js';
