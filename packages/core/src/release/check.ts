/**
 * Checks the changes of a parsed release note against the entries in force, and
 * applies them. Every process gets the same result for the same note and entries.
 */
import type * as ids from '../types/ids.js';
import type * as releases from '../types/release.js';
import * as fields from './fields.js';

/** File name in faults of notes read from the log; the same on every process. */
export const noteFile = 'release note';

/** The entries of a release, by kind and name. */
export type Entries = Pick<
  releases.ReleaseState,
  'services' | 'classes' | 'teams' | 'backends'
>;

/** Entries that can be changed. */
interface OpenEntries {
  readonly services: Map<string, releases.ServiceEntry>;
  readonly classes: Map<string, releases.ClassEntry>;
  readonly teams: Map<string, releases.TeamEntry>;
  readonly backends: Map<string, releases.BackendEntry>;
}

/** Lists all faults that keep a note from being adopted on this state; its id and base are not checked. */
export function checkRelease(
  state: Entries,
  note: releases.ReleaseNote,
  file = noteFile,
): readonly releases.ConfigFault[] {
  const faults: releases.ConfigFault[] = [];
  const reportFault = (section: string, key: string, message: string) => {
    faults.push({ file, section, key, message });
  };
  for (const change of note.changes) {
    const fault = checkPresence(state, change);
    if (fault !== undefined) reportFault(formatHeading(change), '', fault);
  }
  const next = applyChanges(state, note.changes);
  checkBackends(next, note, reportFault);
  checkFloors(next, note, reportFault);
  return faults;
}

/** Applies changes to entries; changes of entries that don't exist are ignored. */
export function applyChanges(
  state: Entries,
  changes: readonly releases.ReleaseChange[],
): Entries {
  const next = openEntries(state);
  for (const change of changes) applyChange(next, change);
  return next;
}

/** Lists the entries of a state, backends before the services that refer to them. */
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

/** Formats the section heading of a change. */
export function formatHeading(change: releases.ReleaseChange): string {
  const subject = getSubject(change);
  return `${change.action} ${subject.kind} ${subject.name}`;
}

/** Returns the kind and name of the entry that a change affects. */
export function getSubject(change: releases.ReleaseChange): {
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
  const { kind, name } = getSubject(change);
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
  reportFault: (section: string, key: string, message: string) => void,
): void {
  const sections = new Map(
    note.changes.map((change) => {
      const { kind, name } = getSubject(change);
      return [`${kind} ${name}`, formatHeading(change)];
    }),
  );
  const users = new Map<string, string>();
  for (const service of next.services.values()) {
    const user = users.get(service.backend);
    users.set(service.backend, user ?? service.name);
    // A service grants all slots of its backend servers, so two services that share a
    // backend would send more requests than the servers have slots.
    if (user !== undefined)
      reportFault(
        sections.get(`service ${service.name}`) ??
          sections.get(`service ${user}`) ??
          '',
        'backend',
        `services ${user} and ${service.name} both name backend ${service.backend}; each service needs backend servers of its own`,
      );
    if (next.backends.has(service.backend)) continue;
    const withdrawal = sections.get(`backend ${service.backend}`);
    if (withdrawal !== undefined)
      reportFault(
        withdrawal,
        '',
        `service ${service.name} uses this backend; withdraw the service or change its backend in the same note`,
      );
    else
      reportFault(
        sections.get(`service ${service.name}`) ?? '',
        'backend',
        `backend ${service.backend} doesn't exist; expected one in force or added in this note`,
      );
  }
}

function checkFloors(
  next: Entries,
  note: releases.ReleaseNote,
  reportFault: (section: string, key: string, message: string) => void,
): void {
  const sums = new Map<ids.Urgency, number>();
  for (const entry of next.classes.values())
    sums.set(entry.urgency, (sums.get(entry.urgency) ?? 0) + entry.floor);
  for (const change of note.changes) {
    const { kind, name } = getSubject(change);
    const entry = kind === 'class' ? next.classes.get(name) : undefined;
    const sum = entry === undefined ? 0 : (sums.get(entry.urgency) ?? 0);
    // The tolerance covers rounding errors in sums of decimals such as 0.7 + 0.2 + 0.1.
    if (entry !== undefined && sum > 1 + 1e-9)
      reportFault(
        formatHeading(change),
        'floor',
        `the floors of all ${entry.urgency} classes add up to ${Number(sum.toFixed(6))}; expected at most 1`,
      );
  }
}
