/** Interfaces of the clients for the log service, the VM list, workers and backend servers. */
import type * as most from 'most';
import type * as core from '@flamingoward/core';

/** Outcome of an append. */
export type AppendOutcome =
  /**
   * The record is in the log. After a lost reply the log may hold a second copy; `offset`
   * is that of the first copy if the stream is open in this process.
   */
  | { readonly outcome: 'appended'; readonly offset: core.ids.Offset }
  /** The record is certainly not in the log and won't be appended. */
  | {
      readonly outcome: 'not-appended';
      readonly reason: 'buffer-full' | 'log-away';
    }
  /** A reply was lost and the retries have ended; the record may be in the log. */
  | { readonly outcome: 'unknown' };

/** How to append. */
export interface AppendOptions {
  /** `now` sends without waiting for further records to share the append. */
  readonly flush: 'now' | 'grouped';
  /** Time after which retrying stops; without it the append retries until the outcome is certain. */
  readonly giveUpMs?: number;
}

/** Reader of one stream in this process. Records with a duplicate id are dropped. */
export interface StreamReader<Body> {
  /**
   * Records in order, from the oldest retained one, delivered synchronously one by one.
   * Reading starts after the turn of the event loop in which the stream is opened, so an
   * observer that subscribes in that turn misses nothing.
   */
  readonly records: most.Stream<core.records.LogRecord<Body>>;
  /** Returns the offset of the next record to read. */
  getNextOffset(): core.ids.Offset;
  /** Returns the monotonic time when the last read that reached the head was sent; undefined before the first. */
  getHeadReadMs(): number | undefined;
  /** Returns the offset below which this reader missed records that the log's retention had removed; undefined if none. */
  getSkippedBelow?(): core.ids.Offset | undefined;
  /** Resolves when all records below `offset` have been delivered. */
  waitFor(offset: core.ids.Offset): Promise<void>;
  /** Fetches the current head and resolves when all records below it have been delivered. Rejects with `log-away`. */
  waitForHead(): Promise<void>;
}

/** The log's streams, for one process. */
export interface Streams {
  append(
    stream: string,
    body: unknown,
    options: AppendOptions,
  ): Promise<AppendOutcome>;
  /** Returns the reader of a stream; the first call creates it and starts reading. */
  open<Body>(stream: string): StreamReader<Body>;
  /** Returns the monotonic time since which the log hasn't answered; undefined while it answers. */
  getUnreachableSinceMs(): number | undefined;
  close(): Promise<void>;
}

/** Source of pages for a reader: the log service, or a peer that relays its records. */
export interface RecordSource {
  /**
   * Reads from offset `from` on, waiting up to `waitMs` for a first record. If the page's
   * `oldest` is above `from`, the log's retention has removed the records in between. A
   * peer may leave out duplicates; the `next` of its page is the offset below which it
   * leaves out nothing else. Rejects with a fault.
   */
  readPage(
    stream: string,
    from: core.ids.Offset,
    max: number,
    waitMs: number,
  ): Promise<core.records.RecordPage<unknown>>;
}

/** A record to append to the log. */
export interface NewRecord {
  readonly id: core.ids.RecordId;
  readonly body: unknown;
}

/** Result of one attempt to append a batch. */
export type AppendReply =
  | { readonly reply: 'appended'; readonly first: core.ids.Offset }
  /** This attempt certainly appended nothing. */
  | { readonly reply: 'not-appended'; readonly cause: Error }
  /** At least part of the request was sent, and no valid response arrived. */
  | { readonly reply: 'lost'; readonly cause: Error };

/** The log service. */
export interface LogClient extends RecordSource {
  /** Makes one attempt to append a batch; the log appends all of it or nothing. */
  append(
    stream: string,
    records: readonly NewRecord[],
    timeoutMs: number,
  ): Promise<AppendReply>;
  close(): Promise<void>;
}

/** The platform's list of VMs. */
export interface VmListClient {
  /** Rejects with a fault. */
  readList(): Promise<core.workers.VmList>;
  close(): Promise<void>;
}

/** Result of one attempt to start a task. */
export type StartOutcome =
  | { readonly outcome: 'answered'; readonly answer: core.workers.StartAnswer }
  /** The worker certainly didn't receive the request. */
  | { readonly outcome: 'not-sent'; readonly cause: Error }
  /** The task may have been started. */
  | { readonly outcome: 'uncertain'; readonly cause: Error };

/** One worker. */
export interface WorkerClient {
  /** Sends lease renewals and returns the worker's report; waits up to `request.waitMs` for a change. Rejects with a fault. */
  sync(request: core.workers.SyncRequest): Promise<core.workers.SyncReport>;
  start(request: core.workers.StartRequest): Promise<StartOutcome>;
  /** Requests the stop of an attempt. Rejects with a fault. */
  stop(
    session: core.workers.WorkerSession,
    attempt: core.ids.AttemptId,
  ): Promise<void>;
  /** Requests a checkpoint; the next report contains the saved progress. Rejects with a fault. */
  checkpoint(
    session: core.workers.WorkerSession,
    attempt: core.ids.AttemptId,
  ): Promise<void>;
  /** Limits an attempt to a share of its declared cores, 0 to 1. Rejects with a fault. */
  throttle(
    session: core.workers.WorkerSession,
    attempt: core.ids.AttemptId,
    share: number,
  ): Promise<void>;
  close(): Promise<void>;
}

/** Header fields of an HTTP message, with names in lower case. */
export type HeaderFields = Readonly<
  Record<string, string | string[] | undefined>
>;

/** One HTTP request. */
export interface HttpRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: HeaderFields;
  readonly body?: Uint8Array | string;
}

/** Limits of one HTTP request. */
export interface HttpOptions {
  /** Longest time from the call to the complete response, including the wait for a connection. */
  readonly timeoutMs: number;
  readonly maxResponseBytes: number;
  /** Called immediately before the first byte is written; false ends the request as `not-sent`. */
  readonly canSend?: () => boolean;
  /** Aborts the request and destroys its connection. */
  readonly signal?: AbortSignal;
}

/** Result of one HTTP request. */
export type HttpResult =
  /** The complete response arrived. */
  | {
      readonly result: 'answered';
      readonly status: number;
      readonly headers: HeaderFields;
      readonly body: Buffer;
    }
  /** Certainly no byte of the request was written. */
  | { readonly result: 'not-sent'; readonly cause: Error }
  /** Bytes may have been written, and no complete response arrived. */
  | { readonly result: 'uncertain'; readonly cause: Error };

/** State that a backend server reports. */
export interface BackendStatus {
  readonly slots: number;
  readonly busy: number;
  readonly connections: number;
}

/** All backend servers. */
export interface BackendClient {
  /** Sends one request at most once; never rejects. */
  send(
    address: core.ids.Address,
    request: HttpRequest,
    options: HttpOptions,
  ): Promise<HttpResult>;
  /** Rejects with a fault. */
  readStatus(
    address: core.ids.Address,
    timeoutMs: number,
  ): Promise<BackendStatus>;
  /** Closes the connections to a backend server that was removed from the list; in-flight requests finish first. */
  drop(address: core.ids.Address): void;
  close(): Promise<void>;
}
