/** Types of the request path: callers' requests and answers, and the client for backend servers. */
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
  /** Timeout from the call to the complete answer. */
  readonly timeoutMs: number;
  readonly maxResponseBytes: number;
  /** Called immediately before the first byte is written; false ends the request as `not-sent`. */
  readonly canSend: () => boolean;
}

/** Result of a request to a backend server. */
export type BackendResult =
  /** The complete answer was received. */
  | {
      readonly result: 'answered';
      readonly status: number;
      readonly headers: HeaderFields;
      readonly body: Uint8Array;
    }
  /** No byte of the request was written; the server can't have seen it. */
  | { readonly result: 'not-sent'; readonly cause: Error }
  /** Bytes may have been written and no complete answer was received. */
  | { readonly result: 'uncertain'; readonly cause: Error };

/** Client for the backend servers. */
export interface BackendClient {
  /** Sends at most once; never rejects. */
  send(
    address: core.ids.Address,
    request: BackendRequest,
    limits: BackendLimits,
  ): Promise<BackendResult>;
  /** Requests how many slots are busy; rejects with a fault when the server doesn't answer. */
  readStatus(
    address: core.ids.Address,
    timeoutMs: number,
  ): Promise<{ readonly busy: number }>;
}

/** A caller's request to a service, with its complete body. */
export interface CallerRequest {
  /** Id under which the journal explains the request. */
  readonly id: string;
  readonly service: core.ids.ServiceName;
  readonly method: string;
  /** Path and query for the backend server, beginning with `/`. */
  readonly path: string;
  /** Header fields without the hop-by-hop ones. */
  readonly headers: HeaderFields;
  readonly body: Uint8Array;
  /** Value of the header `Idempotency-Key`. */
  readonly key: string | undefined;
  readonly team: core.ids.TeamName;
  /** Aborted when the caller disconnects; a request that isn't sent yet is then dropped. */
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
  /** No byte was or will be sent to a backend server for this request. */
  | {
      readonly answer: 'not-run';
      readonly status: 400 | 404 | 422 | 429 | 503;
      readonly reason: string;
      readonly retryAfterMs?: number;
    }
  /** The request may have run; its outcome isn't known. */
  | {
      readonly answer: 'unknown';
      readonly reason: string;
      /** URL path under which the outcome can be requested later. */
      readonly ask?: string;
    };

/** State of an idempotency key as reported to callers. */
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
  /** The log can't be read, so the state of the key isn't known. */
  | { readonly state: 'unreadable' };

/** Handles callers' requests from their receipt to the answer. */
export interface RequestPath {
  handle(request: CallerRequest): Promise<CallerAnswer>;
  /** Reads the state of an idempotency key up to the head of the log. */
  readKey(key: string): Promise<KeyView>;
  /** Refuses new requests from now on; requests in flight continue. */
  drain(): void;
  /** Ends timers and subscriptions and refuses waiting requests. */
  close(): void;
  /** Backend servers whose tickets this process issues. */
  listServers(): readonly core.slots.ServerView[];
  /** Returns a JSON-serializable copy of the state. */
  dump(): unknown;
}
