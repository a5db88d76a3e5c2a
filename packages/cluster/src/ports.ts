/**
 * The interfaces between a node and its platform: the log store, the VMs, the advice
 * service, the configuration and the server for callers. An adapter implements them for
 * one platform; tests use fakes.
 */
import type * as core from '@flamingoward/core';

/** Streams of the product. Each keeps the newest record of every key. */
export type StreamName = 'claims' | 'jobs' | 'progress';

/** A record to append; without a value its key is dropped. */
export interface NewRecord {
  readonly key: string;
  readonly value: string | undefined;
}

/** A record that was read. A value that isn't UTF-8 is read as an empty one, which no reader accepts. */
export interface KeyedRecord extends NewRecord {
  readonly offset: core.ids.Offset;
}

/** Identifies a writer, so that appends of older writers fail and retries are written once. */
export interface Writer {
  readonly name: string;
  /** After the first append under this epoch, appends with a lower one are refused. */
  readonly epoch: number;
  readonly sequence: number;
}

/** Conditions and timeout of an append. */
export interface AppendOptions {
  /** Append only if the stream ends here. */
  readonly expectedEnd?: core.ids.Offset;
  readonly writer?: Writer;
  readonly timeoutMs: number;
}

/** Result of an append. */
export type AppendResult =
  | {
      readonly outcome: 'appended';
      readonly offset: core.ids.Offset;
      readonly end: core.ids.Offset;
    }
  /** The stream doesn't end at `expectedEnd`; nothing was appended. */
  | { readonly outcome: 'conflict'; readonly end: core.ids.Offset }
  /** The store has seen a writer with a higher epoch. */
  | { readonly outcome: 'fenced' }
  /** The store expects another sequence number. */
  | { readonly outcome: 'sequence'; readonly expected: number }
  /** Nothing was appended; the store may take the same records later. */
  | { readonly outcome: 'refused'; readonly why: string }
  /** Nothing was appended, and the store will never take these records together; a part of them may be what it rejects. */
  | { readonly outcome: 'rejected'; readonly why: string }
  /** The append may have been carried out, or may still be. */
  | { readonly outcome: 'unknown'; readonly why: string };

/** Result of a read. */
export type ReadResult =
  | {
      readonly outcome: 'records';
      readonly records: readonly KeyedRecord[];
      /** Offset from which to continue reading. */
      readonly next: core.ids.Offset;
      readonly end: core.ids.Offset;
    }
  /** Records from the requested offset on have been trimmed; read the newest of each key instead. */
  | { readonly outcome: 'trimmed' }
  | { readonly outcome: 'failed'; readonly why: string };

/** Result of reading the newest record of each key. */
export type NewestResult =
  | {
      readonly outcome: 'newest';
      readonly records: readonly KeyedRecord[];
      /** Offset from which later changes can be read. */
      readonly next: core.ids.Offset;
    }
  | { readonly outcome: 'failed'; readonly why: string };

/** Wait and timeout of a read. */
export interface ReadOptions {
  /** Longest time that the store waits for a record, in ms. */
  readonly waitMs: number;
  /** Time beyond `waitMs` after which the read fails, in ms. */
  readonly timeoutMs: number;
}

/** A stream that can be read. */
export interface StreamSource {
  read(from: core.ids.Offset, options: ReadOptions): Promise<ReadResult>;
  readNewest(timeoutMs: number): Promise<NewestResult>;
}

/** The log store. */
export interface LogStore {
  append(
    stream: StreamName,
    records: readonly NewRecord[],
    options: AppendOptions,
  ): Promise<AppendResult>;
  openStream(stream: StreamName): StreamSource;
}

/** A route from callers to a queue. */
export interface Route {
  readonly host: string;
  readonly pathPrefix: string;
  readonly policy: core.workloads.QueuePolicy;
  /** Whether requests need no key. */
  readonly isPublic?: boolean;
}

/** A workspace and its keys. */
export interface Workspace {
  readonly policy: core.workloads.WorkspacePolicy;
  /** Digests of its keys, in hexadecimal; the keys themselves aren't kept. */
  readonly keyDigests: readonly string[];
}

/** A configuration. */
export interface Configuration {
  readonly version: number;
  readonly routes: readonly Route[];
  /** Absent when the configuration names no workspaces, so that requests need no key. */
  readonly workspaces?: readonly Workspace[];
  readonly maxBodyBytes: number;
  /** Limits of connections of callers. */
  readonly connectionLimits?: ConnectionLimits;
}

/** Limits of connections of callers; absent ones have defaults. */
export interface ConnectionLimits {
  readonly maxHeaderBytes?: number | undefined;
  /** Time in which a header must arrive, in ms. */
  readonly headerTimeoutMs?: number | undefined;
  /** Time for which callers keep connections without a request, in ms. */
  readonly idleTimeoutMs?: number | undefined;
}

/** A decoded value, or the reason why it can't be read. */
export type Decoded<Value> =
  | { readonly readable: true; readonly value: Value }
  | { readonly readable: false; readonly why: string };

/** The stream of the operator's configurations. */
export interface ConfigurationSource extends StreamSource {
  /** Decodes a record; undefined when it isn't a configuration. */
  decode(record: KeyedRecord): Decoded<Configuration> | undefined;
}

/** Why an entry names no VM that can be used. */
export type VmEntryFault =
  /** The value isn't text, or isn't in the format of entries. */
  | 'encoding'
  /** A field is missing, of another type or out of range. */
  | 'fields'
  /** No connection can be opened to its address. */
  | 'address'
  /** Its key can't be sent as the id of a VM. */
  | 'id';

/** A decoded entry of a VM, or the reason why it names none that can be used. */
export type DecodedVm =
  | { readonly readable: true; readonly value: core.workloads.VmEntry }
  | {
      readonly readable: false;
      readonly reason: VmEntryFault;
      readonly why: string;
    };

/** The stream of entries that VMs write about themselves. */
export interface VmSource extends StreamSource {
  decode(record: KeyedRecord): DecodedVm;
}

/** The VM to which a call is sent. */
export interface VmTarget {
  readonly id: core.ids.VmId;
  readonly address: core.ids.Address;
}

/** Result of a hold: a call that renews a VM's lease, waits for an end and returns a report. */
export type HoldResult =
  | {
      readonly outcome: 'held';
      readonly report: Omit<
        core.workloads.VmReport,
        'requestSentMs' | 'clockMs'
      >;
      /** Clock of the VM, in ms. */
      readonly clockMs: number;
    }
  | { readonly outcome: 'fenced' }
  | { readonly outcome: 'other-life' }
  /** No process listens at the VM's address, so nothing that ran there is left. */
  | { readonly outcome: 'refused'; readonly why: string }
  | {
      readonly outcome: 'failed';
      readonly why: string;
      /** There is an answer, but it is longer than any report or isn't one. */
      readonly unreadable?: boolean;
    };

/** Fields of every order about a run. */
export interface RunOrder {
  readonly task: core.workloads.TaskKey;
  readonly run: number;
  readonly fence: number;
}

/** Calls to VMs. */
export interface VmCalls {
  /** Renews the lease until `untilMs` on the VM's clock and returns a report of its runs and ends. */
  hold(
    vm: VmTarget,
    call: {
      readonly fence: number;
      readonly lastSeen: number;
      readonly untilMs: number | undefined;
      /** Longest time that the VM waits for an end before it answers, in ms. */
      readonly waitMs: number;
    },
    timeoutMs: number,
  ): Promise<HoldResult>;
  start(
    vm: VmTarget,
    call: RunOrder & {
      readonly payload: string;
      readonly saved: string;
      readonly ticket: string | undefined;
      readonly untilMs: number;
      /** Called with the VM's clock, in ms, if its answer tells that. */
      readonly onClock?: (clockMs: number) => void;
    },
    timeoutMs: number,
  ): Promise<core.workloads.StartOutcome>;
  /** Closes a run on a VM; resolves with `closed` only when the VM has confirmed it. */
  stop(
    vm: VmTarget,
    call: RunOrder,
    timeoutMs: number,
  ): Promise<'closed' | 'fenced' | 'unknown'>;
  pace(
    vm: VmTarget,
    call: RunOrder & { readonly percent: number },
    timeoutMs: number,
  ): Promise<boolean>;
  /** Closes the connections to a VM that has been removed. */
  drop(address: core.ids.Address): void;
}

/** Calls to the advice service. */
export interface AdviceCalls {
  ask(
    step: core.workloads.StepKey,
    vms: readonly core.ids.VmId[],
    timeoutMs: number,
  ): Promise<readonly core.workloads.Ticket[] | undefined>;
}

/** A submitted job, before the queue and the time of acceptance are added. */
export interface Submission {
  readonly payload: string;
  readonly steps: readonly core.workloads.StepSpec[];
  readonly schedule: core.workloads.Schedule | undefined;
}

/** Credentials of a request. */
export type Credentials =
  /** Digest of the key, in hexadecimal; the key itself isn't kept. */
  | { readonly kind: 'key'; readonly digest: string }
  /** They aren't in a form that can be read. */
  | { readonly kind: 'malformed' };

/** A request of a caller. */
export interface CallerRequest {
  readonly method: string;
  readonly host: string;
  readonly path: string;
  readonly body: Uint8Array;
  /** Absent when the request carries none. */
  readonly credentials?: Credentials;
  /** Time for which the caller waits, in ms. */
  readonly deadlineMs: number | undefined;
}

/** An answer to a caller. */
export type CallerAnswer =
  | { readonly answer: 'accepted' }
  | { readonly answer: 'state'; readonly state: core.workloads.JobState }
  | { readonly answer: 'waiting'; readonly waiting: number }
  | { readonly answer: 'cancelled' }
  /** There is no such job. */
  | { readonly answer: 'unknown-job' }
  /** There is no such queue. */
  | { readonly answer: 'unknown-queue' }
  | { readonly answer: 'malformed'; readonly why: string }
  | { readonly answer: 'too-large'; readonly limitBytes: number }
  | { readonly answer: 'unknown-method' }
  /** The request carries no key, or one of no workspace; it has not run. */
  | { readonly answer: 'unauthorized'; readonly why: string }
  /** The job id is in use by another workspace; the request has not run. */
  | { readonly answer: 'id-in-use' }
  /** The job has not been accepted and will never run. */
  | {
      readonly answer: 'refused';
      readonly why: string;
      readonly retryAfterS: number;
      readonly cause: 'load' | 'unavailable';
    }
  /** The job may have been accepted; the caller can repeat the request with the same id. */
  | { readonly answer: 'outcome-unknown'; readonly why: string };

/** Decodes the body of a submission. */
export type DecodeSubmission = (body: Uint8Array) => Decoded<Submission>;

/** The server for callers, readiness and metrics. */
export interface CallerServer {
  /** Rejects with the fault `port-in-use` when it can't listen. */
  open(): Promise<void>;
  /** Closes idle connections at once, busy ones after their answer, and all of them after `timeoutMs`. */
  close(timeoutMs: number): Promise<void>;
}

/** Functions that the server for callers calls. */
export interface CallerHandlers {
  handle(request: CallerRequest): Promise<CallerAnswer>;
  isReady(): boolean;
  renderMetrics(): string;
  renderDump(): string;
  getMaxBodyBytes(): number;
  getConnectionLimits?(): ConnectionLimits | undefined;
  /** Counts a connection that was closed, or a request that was refused, to bound the load. */
  recordShed?(reason: string): void;
}

/** All that an adapter provides to a node. */
export interface Ports {
  readonly store: LogStore;
  readonly configuration: ConfigurationSource;
  readonly vms: VmSource;
  readonly vmCalls: VmCalls;
  readonly advice: AdviceCalls;
  readonly decodeSubmission: DecodeSubmission;
  createServer(handlers: CallerHandlers): CallerServer;
}
