/**
 * The operators' configuration: what a release note adds, changes and withdraws,
 * and the state that results from all adopted notes.
 */
import type * as ids from './ids.js';
import type * as resources from './resources.js';

/** What a section of a release note is about. */
export type EntryKind = 'service' | 'class' | 'team' | 'backend';

/** A kind of request and how it is served. */
export interface ServiceEntry {
  readonly kind: 'service';
  readonly name: ids.ServiceName;
  readonly urgency: ids.Urgency;
  /** False: each request needs an Idempotency-Key and is sent at most once. */
  readonly idempotent: boolean;
  /** Longest time a backend server may take for one request, in ms. */
  readonly timeoutMs: number;
  /** Longest expected wait in the queue before a request is refused, in ms. */
  readonly maxWaitMs: number;
  readonly maxResponseBytes: number;
  /** Name of the group of backend servers; a `backend` entry. */
  readonly backend: string;
}

/** A class of jobs with its urgency and floor. */
export interface ClassEntry {
  readonly kind: 'class';
  readonly name: string;
  readonly urgency: ids.Urgency;
  /** Share of the fleet that this urgency keeps under any flood, 0 to 1. */
  readonly floor: number;
  /** False: a task of this class is started at most once. */
  readonly idempotent: boolean;
  /** True: a running task may be checkpointed to make room for urgent work. */
  readonly preemptible: boolean;
  /** Longest expected wait before a job is refused at submission, in ms. */
  readonly maxWaitMs: number;
}

/** A team with its quota over all regions. */
export interface TeamEntry {
  readonly kind: 'team';
  readonly name: ids.TeamName;
  readonly quota: resources.Resources;
  /** Weight in the fair share inside one urgency. */
  readonly weight: number;
}

/** A group of backend servers with the same limits. */
export interface BackendEntry {
  readonly kind: 'backend';
  readonly name: string;
  /** Requests that one backend server works on at a time. */
  readonly slots: number;
  /** TCP connections that one backend server accepts from all processes together. */
  readonly connections: number;
}

/** Anything that a release note adds or changes. */
export type Entry = ServiceEntry | ClassEntry | TeamEntry | BackendEntry;

/** What one section of a release note does. */
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
  /** Id of the release that the note was written against; `none` for the first. */
  readonly base: string;
  readonly title: string;
  readonly changes: readonly ReleaseChange[];
  /** The note as the operator wrote it. */
  readonly text: string;
}

/** A fault in a release note or a settings file. */
export interface NoteFault {
  readonly file: string;
  readonly section: string;
  readonly key: string;
  /** What is wrong and what is expected. */
  readonly message: string;
}

/** The verdict on one record of the `releases` stream; all processes reach the same. */
export type Verdict =
  | { readonly verdict: 'adopted' }
  | { readonly verdict: 'repeat'; readonly of: ids.Offset }
  | { readonly verdict: 'conflict'; readonly lostTo: string }
  | { readonly verdict: 'invalid'; readonly faults: readonly NoteFault[] };

/** A record of the `releases` stream with its verdict. */
export interface ReleaseHistoryItem {
  readonly offset: ids.Offset;
  readonly note: ReleaseNote;
  readonly publisher: string;
  /** Time of day at the publisher, in ms since 1970; for display only. */
  readonly publishedMs?: number;
  readonly verdict: Verdict;
}

/** An adopted release, as far as later verdicts need it. */
export interface KnownRelease {
  readonly id: string;
  readonly offset: ids.Offset;
  /** Digest of the note's text; tells a repeat from another note with the same id. */
  readonly digest: string;
}

/** The configuration in force, folded from the `releases` stream. */
export interface ReleaseState {
  /** Id of the release in force, `none` before the first. */
  readonly current: string;
  /** Offset of the release in force, -1 before the first. */
  readonly offset: ids.Offset;
  readonly services: ReadonlyMap<string, ServiceEntry>;
  readonly classes: ReadonlyMap<string, ClassEntry>;
  readonly teams: ReadonlyMap<string, TeamEntry>;
  readonly backends: ReadonlyMap<string, BackendEntry>;
  readonly history: readonly ReleaseHistoryItem[];
}
