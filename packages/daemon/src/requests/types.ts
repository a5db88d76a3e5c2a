/** What the request path takes, gives and needs. */
import type * as core from '@flamingoward/core';

/** Header fields, names in lower case. */
export type HeaderFields = Readonly<
  Record<string, string | string[] | undefined>
>;

/** Request to a backend server. */
export interface BackendRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: HeaderFields;
  readonly body?: Uint8Array | string;
}

/** Limits of one request to a backend server. */
export interface BackendLimits {
  /** Longest time from the call to the complete answer. */
  readonly timeoutMs: number;
  readonly maxResponseBytes: number;
  /** Asked immediately before the first byte is written; false ends the request as `not-sent`. */
  readonly canSend: () => boolean;
}

/** What became of a request to a backend server. */
export type BackendResult =
  /** The answer is complete. */
  | {
      readonly result: 'answered';
      readonly status: number;
      readonly headers: HeaderFields;
      readonly body: Uint8Array;
    }
  /** Certain: no byte of the request was written. */
  | { readonly result: 'not-sent'; readonly cause: Error }
  /** A byte may have been written and no complete answer came. */
  | { readonly result: 'uncertain'; readonly cause: Error };

/** Connections to the backend servers. */
export interface BackendClient {
  /** Sends at most once; never rejects. */
  send(
    address: core.ids.Address,
    request: BackendRequest,
    limits: BackendLimits,
  ): Promise<BackendResult>;
  /** Rejects with a fault. */
  readStatus(
    address: core.ids.Address,
    timeoutMs: number,
  ): Promise<{ readonly busy: number }>;
}

/** A caller's request to a service, with its whole body. */
export interface CallerRequest {
  /** Id for explanations. */
  readonly id: string;
  readonly service: core.ids.ServiceName;
  readonly method: string;
  /** Path and query for the backend server, beginning with `/`. */
  readonly path: string;
  /** Without hop-by-hop fields. */
  readonly headers: HeaderFields;
  readonly body: Uint8Array;
  readonly key: string | undefined;
  readonly team: core.ids.TeamName;
  /** Aborted when the caller is gone; a request that isn't sent yet is dropped. */
  readonly signal: AbortSignal;
}

/** Answer to a caller's request. */
export type CallerAnswer =
  | {
      readonly answer: 'done';
      readonly status: number;
      readonly headers: HeaderFields;
      readonly body: Uint8Array;
    }
  /** No byte was sent to a backend server for this request, nor will be. */
  | {
      readonly answer: 'not-run';
      readonly status: 400 | 404 | 422 | 429 | 503;
      readonly reason: string;
      readonly retryAfterMs?: number;
    }
  | {
      readonly answer: 'unknown';
      readonly reason: string;
      /** Path to ask for the outcome later. */
      readonly ask?: string;
    };

/** What is known about an idempotency key. */
export type KeyView =
  | { readonly state: 'none' }
  /** A process may be running the request now. */
  | { readonly state: 'open'; readonly service: core.ids.ServiceName }
  | {
      readonly state: 'done';
      readonly service: core.ids.ServiceName;
      readonly status: number;
      readonly contentType: string;
      readonly body?: string;
    }
  | { readonly state: 'unknown'; readonly service: core.ids.ServiceName }
  /** The log can't be read, so nothing can be said. */
  | { readonly state: 'unreadable' };

/** The path of requests through this process. */
export interface RequestPath {
  handle(request: CallerRequest): Promise<CallerAnswer>;
  readKey(key: string): Promise<KeyView>;
  /** Refuses new requests from now on; those in hand go on. */
  drain(): void;
  /** Ends timers and subscriptions; waiting requests are refused. */
  close(): void;
  /** Backend servers for which this process decides. */
  listServers(): readonly core.slots.ServerView[];
  /** Plain JSON-ready copy of the state. */
  dump(): unknown;
}
