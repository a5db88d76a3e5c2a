/**
 * The configuration of a cell: release notes, which add, change and withdraw entries,
 * and the state that results from all adopted notes.
 */
import type * as ids from './ids.js';
import type * as resources from './resources.js';

/** Kind of the entry that a section of a release note affects. */
export type EntryKind = 'service' | 'class' | 'team' | 'backend';

/** A service: a kind of request, and how it is served. */
export interface ServiceEntry {
  readonly kind: 'service';
  readonly name: ids.ServiceName;
  readonly urgency: ids.Urgency;
  /** If false, each request needs an Idempotency-Key and is sent at most once. */
  readonly idempotent: boolean;
  /** Timeout of one attempt at a backend server, in ms. */
  readonly timeoutMs: number;
  /** Longest expected wait in the queue in ms; a request that would wait longer is refused. */
  readonly maxWaitMs: number;
  readonly maxResponseBytes: number;
  /** Name of the `backend` entry whose servers serve the requests. */
  readonly backend: string;
}

/** A class of jobs with its urgency and floor. */
export interface ClassEntry {
  readonly kind: 'class';
  readonly name: string;
  readonly urgency: ids.Urgency;
  /** Share of the fleet (0 to 1) that is guaranteed to this urgency whatever the load of others. */
  readonly floor: number;
  /** If false, a task of this class is started at most once. */
  readonly idempotent: boolean;
  /** If true, a running task may be checkpointed and stopped in favour of urgent work. */
  readonly preemptible: boolean;
  /** Longest expected wait in ms; a job that would wait longer is refused at submission. */
  readonly maxWaitMs: number;
}

/** A team, with its quota for all regions together. */
export interface TeamEntry {
  readonly kind: 'team';
  readonly name: ids.TeamName;
  readonly quota: resources.Resources;
  /** Weight in the fair share among teams of one urgency. */
  readonly weight: number;
}

/** A group of backend servers with the same limits. */
export interface BackendEntry {
  readonly kind: 'backend';
  readonly name: string;
  /** Requests that one backend server processes at a time. */
  readonly slots: number;
  /** TCP connections that one backend server accepts, all processes together. */
  readonly connections: number;
}

/** An entry of the configuration. */
export type Entry = ServiceEntry | ClassEntry | TeamEntry | BackendEntry;

/** The change that one section of a release note makes. */
export type ReleaseChange =
  | { readonly action: 'added'; readonly entry: Entry }
  | {
      readonly action: 'changed';
      readonly entryKind: EntryKind;
      readonly name: string;
      readonly fields: Readonly<Record<string, string>>;
    }
  | {
      readonly action: 'withdrawn';
      readonly entryKind: EntryKind;
      readonly name: string;
      readonly reason: string;
    };

/** A parsed release note. */
export interface ReleaseNote {
  readonly id: string;
  /** Id of the release that the note builds on; `none` for the first. */
  readonly base: string;
  readonly title: string;
  readonly changes: readonly ReleaseChange[];
  /** The text of the note as the operator wrote it. */
  readonly text: string;
}

/** A fault in a release note or a settings file. */
export interface ConfigFault {
  readonly file: string;
  readonly section: string;
  readonly key: string;
  /** What is wrong and what is expected. */
  readonly message: string;
}

/**
 * Verdict on one note in the `releases` stream; all processes reach the same one.
 * `repeat`: same text as the release adopted at offset `of`; `conflict`: release `lostTo`
 * was adopted on the same base first.
 */
export type Verdict =
  | { readonly verdict: 'adopted' }
  | { readonly verdict: 'repeat'; readonly of: ids.Offset }
  | { readonly verdict: 'conflict'; readonly lostTo: string }
  | { readonly verdict: 'invalid'; readonly faults: readonly ConfigFault[] };

/** A note in the `releases` stream with its verdict. */
export interface ReleaseHistoryItem {
  readonly offset: ids.Offset;
  readonly note: ReleaseNote;
  readonly publisher: string;
  /** Time of publication on the publisher's clock, in ms since 1970; only displayed. */
  readonly publishedMs?: number;
  readonly verdict: Verdict;
}

/** The data of an adopted release that later verdicts need. */
export interface KnownRelease {
  readonly id: string;
  readonly offset: ids.Offset;
  /** Digest of the note's text; distinguishes a repeat from another note with the same id. */
  readonly digest: string;
}

/** The configuration in force and its history, folded from the `releases` stream. */
export interface ReleaseState {
  /** Id of the release in force; `none` before the first. */
  readonly current: string;
  /** Offset of the release in force; -1 before the first. */
  readonly offset: ids.Offset;
  readonly services: ReadonlyMap<string, ServiceEntry>;
  readonly classes: ReadonlyMap<string, ClassEntry>;
  readonly teams: ReadonlyMap<string, TeamEntry>;
  readonly backends: ReadonlyMap<string, BackendEntry>;
  readonly history: readonly ReleaseHistoryItem[];
}
