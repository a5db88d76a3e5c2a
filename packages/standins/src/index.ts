/** Stand-ins for the platform, control of daemon child processes, and the replay of recorded traces. */
export { LogStandin, waitMs } from './log.js';
export type { LogAudit, LogControl } from './log.js';
export { VmListStandin, respondVmList } from './vmlist.js';
export type { VmListControl } from './vmlist.js';
export { Fleet } from './fleet.js';
export type { FleetAudit, StartAudit, UseSample } from './fleet.js';
export { WorkerStandin } from './worker.js';
export type { WorkerAudit, WorkerControl, WorkerOptions } from './worker.js';
export { BackendStandin } from './backend.js';
export type { BackendAudit, BackendOptions, Behaviour } from './backend.js';
export { serve } from './serve.js';
export type { Handler, Incoming, Server, Traffic } from './serve.js';
export {
  hasRelease,
  isReady,
  loadDrafts,
  listLinks,
  publishRelease,
  readProcessCost,
  startDaemon,
  stopDaemon,
  waitUntil,
  writeSettings,
} from './daemons.js';
export type { Daemon } from './daemons.js';
export { findPorts } from './ports.js';
export { Platform } from './platform.js';
export type {
  PlatformAudit,
  PlatformControl,
  PlatformOptions,
} from './platform.js';
export { loadPlatformFile, parsePlatformFile } from './platformfile.js';
export type { PlatformFile } from './platformfile.js';
export { formatTrace, loadTrace, parseTrace } from './trace.js';
export type {
  CancelLine,
  EventLine,
  JobLine,
  RequestLine,
  Trace,
  TraceHead,
} from './trace.js';
export { generateTrace } from './generate.js';
export type { Customer } from './generate.js';
export { replayTrace } from './replay.js';
export type {
  JobResult,
  ReplayOptions,
  ReplayResult,
  RequestResult,
} from './replay.js';
export { buildReport, hasPassed, fetchCost, renderReport } from './report.js';
export type { Check, PackingRow, Report, WaitRow } from './report.js';
