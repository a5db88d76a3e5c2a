/** What the streams of the log offer to the rest of the system. */
import type * as most from 'most';
import type * as core from '@flamingoward/core';

/** What became of an append. */
export type AppendOutcome =
  /**
   * The record is in the log. After a lost reply the log may hold a second copy;
   * the offset is that of the first one when the stream is open in this process.
   */
  | { readonly outcome: 'appended'; readonly offset: core.ids.Offset }
  /** Certain: the record is not in the log and won't be. */
  | {
      readonly outcome: 'not-appended';
      readonly reason: 'buffer-full' | 'log-away';
    }
  /** A reply was lost and the retries ended; the record may be in the log. */
  | { readonly outcome: 'unknown' };

/** How to append. */
export interface AppendOptions {
  /** `now` doesn't wait for a batch to fill. */
  readonly flush: 'now' | 'grouped';
  /** Stop retrying after this time; without it the append retries until it is certain. */
  readonly giveUpMs?: number;
}

/** One stream as this process reads it. Repeated record ids are dropped. */
export interface StreamReader<Body> {
  /**
   * Records in order, from the oldest kept; delivered synchronously one after another.
   * Reading begins after the turn in which the stream is opened, so an observer
   * that subscribes in that turn misses nothing.
   */
  readonly records: most.Stream<core.records.LogRecord<Body>>;
  /** Offset of the next record to read. */
  readNext(): core.ids.Offset;
  /** Monotonic time when the last read that reached the head was sent; undefined before the first. */
  readHeadMs(): number | undefined;
  /** Offset below which records had left the log's retention before this reader read them. */
  readSkipped?(): core.ids.Offset | undefined;
  /** Resolves when all records below `offset` are delivered. */
  waitFor(offset: core.ids.Offset): Promise<void>;
  /** Fetches the head now and resolves when everything below it is delivered. Rejects with `log-away`. */
  waitForHead(): Promise<void>;
}

/** The log's streams. */
export interface Streams {
  append(
    stream: string,
    body: unknown,
    options: AppendOptions,
  ): Promise<AppendOutcome>;
  /** Returns the reader of a stream, the same one for each call; reading begins with the first call. */
  open<Body>(stream: string): StreamReader<Body>;
  /** Monotonic time since which the log hasn't answered; undefined while it answers. */
  readAwaySince(): number | undefined;
  close(): Promise<void>;
}

/** Where a reader gets pages from: the log service, or a peer that relays them. */
export interface RecordSource {
  /**
   * Reads from `from` on, waiting up to `waitMs` for a first record. A page whose
   * `oldest` is above `from` says that the records in between are gone. A peer may
   * leave out repeats; its `next` then tells how far the page reaches.
   * Rejects with a fault.
   */
  readPage(
    stream: string,
    from: core.ids.Offset,
    max: number,
    waitMs: number,
  ): Promise<core.records.RecordPage<unknown>>;
}

/** A record on its way into the log. */
export interface NewRecord {
  readonly id: core.ids.RecordId;
  readonly body: unknown;
}

/** What one try at appending a batch led to. */
export type AppendReply =
  | { readonly reply: 'appended'; readonly first: core.ids.Offset }
  /** Certain: this try appended nothing. */
  | { readonly reply: 'not-appended'; readonly cause: Error }
  /** The request was sent, or part of it, and no valid answer came. */
  | { readonly reply: 'lost'; readonly cause: Error };

/** The log service. */
export interface LogClient extends RecordSource {
  /** Makes one try at appending a batch; the log takes all of it or nothing. */
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

/** What one try at starting a task led to. */
export type StartOutcome =
  | { readonly outcome: 'answered'; readonly answer: core.workers.StartAnswer }
  /** Certain: the worker didn't receive the request. */
  | { readonly outcome: 'not-sent'; readonly cause: Error }
  /** The task may have been started. */
  | { readonly outcome: 'uncertain'; readonly cause: Error };

/** One worker. */
export interface WorkerClient {
  /** Renews and reports; waits up to `request.waitMs` for a change. Rejects with a fault. */
  sync(request: core.workers.SyncRequest): Promise<core.workers.SyncReport>;
  start(request: core.workers.StartRequest): Promise<StartOutcome>;
  /** Asks for the end of an attempt. Rejects with a fault. */
  stop(
    session: core.workers.WorkerSession,
    attempt: core.ids.AttemptId,
  ): Promise<void>;
  /** Asks for a checkpoint; the next report says what it keeps. Rejects with a fault. */
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

/** Header fields of an HTTP message, names in lower case. */
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
  /** Longest time from the call to the complete answer. */
  readonly timeoutMs: number;
  readonly maxResponseBytes: number;
  /** Asked immediately before the first byte is written; false ends the request as `not-sent`. */
  readonly canSend?: () => boolean;
  /** Ends the request; its connection is destroyed. */
  readonly signal?: AbortSignal;
}

/** What became of one HTTP request. */
export type HttpResult =
  /** The answer is complete. */
  | {
      readonly result: 'answered';
      readonly status: number;
      readonly headers: HeaderFields;
      readonly body: Buffer;
    }
  /** Certain: no byte of the request was written. */
  | { readonly result: 'not-sent'; readonly cause: Error }
  /** A byte may have been written and no complete answer came. */
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
  /** Closes the connections to a backend server that is gone. */
  drop(address: core.ids.Address): void;
  close(): Promise<void>;
}
