/**
 * What a node needs from the outside: the log store, the VMs, the advice service and
 * the configuration. An adapter implements these for one platform; tests hand in fakes.
 */
import type * as core from '@flamingoward/core';

/** Streams of the product. Each keeps the newest record of every key. */
export type StreamName = 'claims' | 'jobs' | 'progress';

/** A record to append; without a value its key is dropped. */
export interface NewRecord {
  readonly key: string;
  readonly value: string | undefined;
}

/** A record that was read. */
export interface KeyedRecord extends NewRecord {
  readonly offset: core.ids.Offset;
}

/** Makes appends of an older writer fail and repeats harmless. */
export interface Writer {
  readonly name: string;
  /** Writers with a lower epoch are refused from the first append on. */
  readonly epoch: number;
  readonly sequence: number;
}

/** How to append. */
export interface AppendOptions {
  /** Append only if the stream ends here. */
  readonly expectedEnd?: core.ids.Offset;
  readonly writer?: Writer;
  readonly timeoutMs: number;
}

/** What became of an append. */
export type AppendResult =
  | {
      readonly outcome: 'appended';
      readonly offset: core.ids.Offset;
      readonly end: core.ids.Offset;
    }
  /** The stream ends elsewhere; nothing was appended. */
  | { readonly outcome: 'conflict'; readonly end: core.ids.Offset }
  /** A writer with a higher epoch has been there. */
  | { readonly outcome: 'fenced' }
  /** The store expects another sequence number. */
  | { readonly outcome: 'sequence'; readonly expected: number }
  /** Nothing was done. */
  | { readonly outcome: 'refused'; readonly why: string }
  /** It may have been done, or may still be. */
  | { readonly outcome: 'unknown'; readonly why: string };

/** What a read returned. */
export type ReadResult =
  | {
      readonly outcome: 'records';
      readonly records: readonly KeyedRecord[];
      /** Offset to read from next. */
      readonly next: core.ids.Offset;
      readonly end: core.ids.Offset;
    }
  /** The wanted records are gone; read the newest of each key instead. */
  | { readonly outcome: 'trimmed' }
  | { readonly outcome: 'failed'; readonly why: string };

/** The newest record of each key. */
export type NewestResult =
  | {
      readonly outcome: 'newest';
      readonly records: readonly KeyedRecord[];
      /** Offset from which later changes can be read. */
      readonly next: core.ids.Offset;
    }
  | { readonly outcome: 'failed'; readonly why: string };

/** How to read. */
export interface ReadOptions {
  /** Longest time that the store waits for a record, in ms. */
  readonly waitMs: number;
  /** Time beyond `waitMs` after which the read has failed. */
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
}

/** A configuration. */
export interface Configuration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly maxBodyBytes: number;
}

/** A decoded change of a configuration or a VM; unreadable ones carry a reason. */
export type Decoded<Value> =
  | { readonly readable: true; readonly value: Value }
  | { readonly readable: false; readonly why: string };

/** Configurations by the operator. */
export interface ConfigurationSource extends StreamSource {
  /** Undefined when the record isn't a configuration. */
  decode(record: KeyedRecord): Decoded<Configuration> | undefined;
}

/** Entries that VMs write about themselves. */
export interface VmSource extends StreamSource {
  decode(record: KeyedRecord): Decoded<core.workloads.VmEntry>;
}

/** The VM to call. */
export interface VmTarget {
  readonly id: core.ids.VmId;
  readonly address: core.ids.Address;
}

/** What a VM answered to a hold. */
export type HoldResult =
  | {
      readonly outcome: 'held';
      readonly report: Omit<core.workloads.VmReport, 'askedMs'>;
      /** Clock of the VM, in ms. */
      readonly clockMs: number;
    }
  | { readonly outcome: 'fenced' }
  | { readonly outcome: 'other-life' }
  | { readonly outcome: 'failed'; readonly why: string };

/** What every order about a run names. */
export interface RunOrder {
  readonly task: core.workloads.TaskKey;
  readonly run: number;
  readonly fence: number;
}

/** The calls to VMs. */
export interface VmCalls {
  /** Renews the lease until `untilMs` of the VM's clock and returns what runs there. */
  hold(
    vm: VmTarget,
    call: {
      readonly fence: number;
      readonly lastSeen: number;
      readonly untilMs: number | undefined;
      /** How long the answer may wait for an end, in ms. */
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
    },
    timeoutMs: number,
  ): Promise<core.workloads.StartOutcome>;
  /** Closes a run at a VM; `closed` when the VM answered that it is. */
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
  /** Closes the connections to a VM that is gone. */
  drop(address: core.ids.Address): void;
}

/** The advice service. */
export interface AdviceCalls {
  ask(
    step: core.workloads.StepKey,
    vms: readonly core.ids.VmId[],
    timeoutMs: number,
  ): Promise<readonly core.workloads.Ticket[] | undefined>;
}

/** What a caller submits; the queue and the time of acceptance are added here. */
export interface Submission {
  readonly payload: string;
  readonly steps: readonly core.workloads.StepSpec[];
  readonly schedule: core.workloads.Schedule | undefined;
}

/** A request of a caller. */
export interface CallerRequest {
  readonly method: string;
  readonly host: string;
  readonly path: string;
  readonly body: Uint8Array;
  /** How long the caller waits, in ms. */
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
  /** It has not been accepted and never runs. */
  | {
      readonly answer: 'refused';
      readonly why: string;
      readonly retryAfterS: number;
      readonly cause: 'load' | 'unavailable';
    }
  /** It may have been accepted; asking again with the same id finds out. */
  | { readonly answer: 'outcome-unknown'; readonly why: string };

/** Decodes what callers submit. */
export type DecodeSubmission = (body: Uint8Array) => Decoded<Submission>;

/** Server for callers, with readiness and metrics. */
export interface CallerServer {
  /** Rejects with `port-in-use`. */
  open(): Promise<void>;
  /** Ends idle connections and the others after their answers. */
  close(boundMs: number): Promise<void>;
}

/** What a server for callers calls. */
export interface CallerHandlers {
  handle(request: CallerRequest): Promise<CallerAnswer>;
  isReady(): boolean;
  renderMetrics(): string;
  renderDump(): string;
  readMaxBodyBytes(): number;
}

/** Everything that an adapter gives a node. */
export interface Ports {
  readonly store: LogStore;
  readonly configuration: ConfigurationSource;
  readonly vms: VmSource;
  readonly vmCalls: VmCalls;
  readonly advice: AdviceCalls;
  readonly decodeSubmission: DecodeSubmission;
  createServer(handlers: CallerHandlers): CallerServer;
}
