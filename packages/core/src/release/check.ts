/** Checks a parsed note against the release in force, and applies it. */
import type * as ids from '../types/ids.js';
import type * as releases from '../types/release.js';
import * as fields from './fields.js';

/** File name in faults that every process derives from the log. */
export const noteFile = 'release note';

/** The entries of a release, by kind and name. */
export type Entries = Pick<
  releases.ReleaseState,
  'services' | 'classes' | 'teams' | 'backends'
>;

interface OpenEntries {
  readonly services: Map<string, releases.ServiceEntry>;
  readonly classes: Map<string, releases.ClassEntry>;
  readonly teams: Map<string, releases.TeamEntry>;
  readonly backends: Map<string, releases.BackendEntry>;
}

/** Lists everything that keeps a note from being adopted on this state, except its id and base. */
export function checkRelease(
  state: Entries,
  note: releases.ReleaseNote,
  file = noteFile,
): readonly releases.NoteFault[] {
  const faults: releases.NoteFault[] = [];
  const refuse = (section: string, key: string, message: string) => {
    faults.push({ file, section, key, message });
  };
  for (const change of note.changes) {
    const fault = checkPresence(state, change);
    if (fault !== undefined) refuse(formatHeading(change), '', fault);
  }
  const next = applyChanges(state, note.changes);
  checkBackends(next, note, refuse);
  checkFloors(next, note, refuse);
  return faults;
}

/** Applies changes to entries; those that don't fit the entries are left out. */
export function applyChanges(
  state: Entries,
  changes: readonly releases.ReleaseChange[],
): Entries {
  const next = openEntries(state);
  for (const change of changes) applyChange(next, change);
  return next;
}

/** Lists the entries of a state: backends first, since services refer to them. */
export function listEntries(state: Entries): readonly releases.Entry[] {
  return [
    ...state.backends.values(),
    ...state.services.values(),
    ...state.classes.values(),
    ...state.teams.values(),
  ];
}

/** Builds the entries of a state from a list. */
export function buildEntries(entries: readonly releases.Entry[]): Entries {
  const built: OpenEntries = {
    services: new Map(),
    classes: new Map(),
    teams: new Map(),
    backends: new Map(),
  };
  for (const entry of entries) putEntry(built, entry);
  return built;
}

/** Finds an entry by kind and name. */
export function findEntry(
  state: Entries,
  kind: releases.EntryKind,
  name: string,
): releases.Entry | undefined {
  switch (kind) {
    case 'service':
      return state.services.get(name);
    case 'class':
      return state.classes.get(name);
    case 'team':
      return state.teams.get(name);
    case 'backend':
      return state.backends.get(name);
  }
}

/** Formats the heading of a change's section. */
export function formatHeading(change: releases.ReleaseChange): string {
  const subject = readSubject(change);
  return `${change.action} ${subject.kind} ${subject.name}`;
}

/** Reads the kind and name that a change is about. */
export function readSubject(change: releases.ReleaseChange): {
  readonly kind: releases.EntryKind;
  readonly name: string;
} {
  return change.action === 'added'
    ? change.entry
    : { kind: change.entryKind, name: change.name };
}

/** Builds the entry that results from a `changed` section. */
export function updateEntry(
  entry: releases.Entry,
  changed: Readonly<Record<string, string>>,
): releases.Entry {
  const merged = new Map([
    ...fields.formatFields(entry),
    ...Object.entries(changed),
  ]);
  return fields.buildEntry(entry.kind, entry.name, merged);
}

function openEntries(state: Entries): OpenEntries {
  return {
    services: new Map(state.services),
    classes: new Map(state.classes),
    teams: new Map(state.teams),
    backends: new Map(state.backends),
  };
}

function applyChange(next: OpenEntries, change: releases.ReleaseChange): void {
  switch (change.action) {
    case 'added':
      putEntry(next, change.entry);
      return;
    case 'changed': {
      const entry = findEntry(next, change.entryKind, change.name);
      if (entry !== undefined)
        putEntry(next, updateEntry(entry, change.fields));
      return;
    }
    case 'withdrawn':
      dropEntry(next, change.entryKind, change.name);
      return;
  }
}

function putEntry(next: OpenEntries, entry: releases.Entry): void {
  switch (entry.kind) {
    case 'service':
      next.services.set(entry.name, entry);
      return;
    case 'class':
      next.classes.set(entry.name, entry);
      return;
    case 'team':
      next.teams.set(entry.name, entry);
      return;
    case 'backend':
      next.backends.set(entry.name, entry);
      return;
  }
}

function dropEntry(
  next: OpenEntries,
  kind: releases.EntryKind,
  name: string,
): void {
  const maps: Readonly<Record<releases.EntryKind, Map<string, unknown>>> = {
    service: next.services,
    class: next.classes,
    team: next.teams,
    backend: next.backends,
  };
  maps[kind].delete(name);
}

function checkPresence(
  state: Entries,
  change: releases.ReleaseChange,
): string | undefined {
  const { kind, name } = readSubject(change);
  const exists = findEntry(state, kind, name) !== undefined;
  if (change.action === 'added')
    return exists
      ? `${kind} ${name} exists already; expected a new name, or [changed ${kind} ${name}]`
      : undefined;
  return exists
    ? undefined
    : `${kind} ${name} doesn't exist; expected the name of one in force`;
}

function checkBackends(
  next: Entries,
  note: releases.ReleaseNote,
  refuse: (section: string, key: string, message: string) => void,
): void {
  const sections = new Map(
    note.changes.map((change) => {
      const { kind, name } = readSubject(change);
      return [`${kind} ${name}`, formatHeading(change)];
    }),
  );
  const users = new Map<string, string>();
  for (const service of next.services.values()) {
    const user = users.get(service.backend);
    users.set(service.backend, user ?? service.name);
    // Each service grants all slots of its backend servers, so two would exceed them.
    if (user !== undefined)
      refuse(
        sections.get(`service ${service.name}`) ??
          sections.get(`service ${user}`) ??
          '',
        'backend',
        `services ${user} and ${service.name} both name backend ${service.backend}; each service needs backend servers of its own`,
      );
    if (next.backends.has(service.backend)) continue;
    const withdrawal = sections.get(`backend ${service.backend}`);
    if (withdrawal !== undefined)
      refuse(
        withdrawal,
        '',
        `service ${service.name} uses this backend; withdraw the service or change its backend in the same note`,
      );
    else
      refuse(
        sections.get(`service ${service.name}`) ?? '',
        'backend',
        `backend ${service.backend} doesn't exist; expected one in force or added in this note`,
      );
  }
}

function checkFloors(
  next: Entries,
  note: releases.ReleaseNote,
  refuse: (section: string, key: string, message: string) => void,
): void {
  const sums = new Map<ids.Urgency, number>();
  for (const entry of next.classes.values())
    sums.set(entry.urgency, (sums.get(entry.urgency) ?? 0) + entry.floor);
  for (const change of note.changes) {
    const { kind, name } = readSubject(change);
    const entry = kind === 'class' ? next.classes.get(name) : undefined;
    const sum = entry === undefined ? 0 : (sums.get(entry.urgency) ?? 0);
    // Sums of decimals such as 0.7 + 0.2 + 0.1 exceed 1 by a rounding error.
    if (entry !== undefined && sum > 1 + 1e-9)
      refuse(
        formatHeading(change),
        'floor',
        `the floors of all ${entry.urgency} classes add up to ${Number(sum.toFixed(6))}; expected at most 1`,
      );
  }
}
