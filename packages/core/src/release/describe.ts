/**
 * Formats releases as text for operators: what a note would change, what the cluster
 * does now, and which notes were adopted or refused.
 */
import type * as releases from '../types/release.js';
import * as check from './check.js';
import * as fields from './fields.js';

/** Describes what a note would change: one line per entry, and one per key that is set. */
export function describeDiff(
  state: check.Entries,
  note: releases.ReleaseNote,
): readonly string[] {
  return [
    `release ${note.id} on ${note.base}: ${note.title}`,
    ...note.changes.flatMap((change) => describeChange(state, change)),
  ];
}

/**
 * Describes the cell for a reader who doesn't know it: what it does now, then the
 * adopted releases that are kept, newest first, then the notes that were not adopted.
 */
export function describeHistory(
  state: releases.ReleaseState,
): readonly string[] {
  if (state.offset < 0 && state.history.length === 0)
    return ['No release is in force: the cluster serves nothing yet.'];
  const newestFirst = state.history.toReversed();
  const adopted = newestFirst.filter((item) => isAdopted(item));
  const refused = newestFirst.filter((item) => isRefused(item));
  return [
    ...describeNow(state),
    ...adopted.flatMap((item) => ['', ...describeRelease(item, state)]),
    ...(refused.length === 0 ? [] : ['', 'Notes that were not adopted:']),
    ...refused.map((item) => `- ${describeRefused(item)}`),
  ];
}

/** Describes a verdict in one line, followed by one line per fault. */
export function describeVerdict(verdict: releases.Verdict): readonly string[] {
  switch (verdict.verdict) {
    case 'adopted':
      return ['adopted'];
    case 'repeat':
      return [`a repeat of the note adopted at offset ${verdict.of}`];
    case 'conflict':
      return [
        `a conflict: release ${verdict.lostTo} was adopted first; look at it, then write the note again with another id and the release in force as base`,
      ];
    case 'invalid':
      return ['invalid', ...verdict.faults.map(describeFault)];
  }
}

/** Describes a fault in one line: file, section, key, and what is expected. */
export function describeFault(fault: releases.ConfigFault): string {
  const section = fault.section === '' ? '' : `[${fault.section}]`;
  const place = [section, fault.key].filter((part) => part !== '').join(' ');
  return [fault.file, place, fault.message]
    .filter((part) => part !== '')
    .join(': ');
}

function isAdopted(item: releases.ReleaseHistoryItem): boolean {
  return item.verdict.verdict === 'adopted';
}

// Repeats are left out of the history: the adopted note is listed already.
function isRefused(item: releases.ReleaseHistoryItem): boolean {
  return !isAdopted(item) && item.verdict.verdict !== 'repeat';
}

function describeChange(
  state: check.Entries,
  change: releases.ReleaseChange,
): readonly string[] {
  switch (change.action) {
    case 'added':
      return [
        `+ ${change.entry.kind} ${change.entry.name}`,
        ...[...fields.formatFields(change.entry)].map(
          ([key, value]) => `    ${key} = ${value}`,
        ),
      ];
    case 'changed':
      return [
        `~ ${change.entryKind} ${change.name}`,
        ...describeValues(state, change),
      ];
    case 'withdrawn':
      return [`- ${change.entryKind} ${change.name}: ${change.reason}`];
  }
}

function describeValues(
  state: check.Entries,
  change: Extract<releases.ReleaseChange, { action: 'changed' }>,
): readonly string[] {
  const entry = check.findEntry(state, change.entryKind, change.name);
  if (entry === undefined)
    return Object.entries(change.fields).map(
      ([key, value]) => `    ${key}: ? -> ${value}`,
    );
  const before = fields.formatFields(entry);
  const after = fields.formatFields(check.updateEntry(entry, change.fields));
  return Object.keys(change.fields).map((key) => {
    const values = [before.get(key) ?? '?', after.get(key) ?? '?'];
    return values[0] === values[1]
      ? `    ${key}: ${values[0] ?? ''} (unchanged)`
      : `    ${key}: ${values.join(' -> ')}`;
  });
}

function describeNow(state: releases.ReleaseState): readonly string[] {
  const entries = check.listEntries(state);
  return [
    `Release ${state.current} is in force.`,
    '',
    'What the cluster does now:',
    ...(entries.length === 0 ? ['- nothing'] : []),
    ...entries.map((entry) => `- ${describeEntry(entry)}`),
  ];
}

function describeRelease(
  item: releases.ReleaseHistoryItem,
  state: releases.ReleaseState,
): readonly string[] {
  const { note } = item;
  const { added, changed, withdrawn } = splitChanges(note.changes);
  return [
    `## ${note.id}: ${note.title}`,
    `Published by ${item.publisher}${formatTime(item.publishedMs)}${describeSuccessor(item, state)}.`,
    ...describeGroup('From then on the cluster:', added),
    ...describeGroup('Changed:', changed),
    ...describeGroup('The cluster no longer:', withdrawn),
  ];
}

function describeSuccessor(
  item: releases.ReleaseHistoryItem,
  state: releases.ReleaseState,
): string {
  return item.offset === state.offset ? ', in force' : '';
}

function describeGroup(
  title: string,
  lines: readonly string[],
): readonly string[] {
  if (lines.length === 0) return [];
  return [title, ...lines.map((line) => `- ${line}`)];
}

function splitChanges(changes: readonly releases.ReleaseChange[]): {
  readonly added: readonly string[];
  readonly changed: readonly string[];
  readonly withdrawn: readonly string[];
} {
  const added: string[] = [];
  const changed: string[] = [];
  const withdrawn: string[] = [];
  for (const change of changes)
    switch (change.action) {
      case 'added':
        added.push(describeEntry(change.entry));
        break;
      case 'changed':
        changed.push(
          `${change.entryKind} ${change.name}: ${describeNewValues(change.fields)}`,
        );
        break;
      case 'withdrawn':
        withdrawn.push(
          `${describePurpose(change.entryKind, change.name)}: ${change.reason}`,
        );
        break;
    }
  return { added, changed, withdrawn };
}

function describeNewValues(changed: Readonly<Record<string, string>>): string {
  return Object.entries(changed)
    .map(([key, value]) => `${key} is now ${value}`)
    .join(', ');
}

function describePurpose(kind: releases.EntryKind, name: string): string {
  switch (kind) {
    case 'service':
      return `serves requests of service ${name}`;
    case 'class':
      return `accepts jobs of class ${name}`;
    case 'team':
      return `works for team ${name}`;
    case 'backend':
      return `sends requests to backend servers ${name}`;
  }
}

function describeEntry(entry: releases.Entry): string {
  return `${describePurpose(entry.kind, entry.name)}: ${describeTerms(entry)}`;
}

function describeTerms(entry: releases.Entry): string {
  switch (entry.kind) {
    case 'service':
      return `${entry.urgency}, ${describeTries(entry)}, up to ${formatDuration(entry.timeoutMs)} each after a wait of up to ${formatDuration(entry.maxWaitMs)}, answers of up to ${formatBytes(entry.maxResponseBytes)}, from backend servers ${entry.backend}`;
    case 'class':
      return `${entry.urgency}, keeps ${formatPercent(entry.floor)} of the fleet in any flood, ${entry.idempotent ? 'tasks are restarted after a loss' : 'each task is started at most once'}, ${entry.preemptible ? 'may make room for urgent work' : 'is never stopped for other work'}, refused when the wait would exceed ${formatDuration(entry.maxWaitMs)}`;
    case 'team':
      return `at most ${entry.quota.cores} cores, ${entry.quota.memoryMb} MB of memory and ${entry.quota.gpus} GPUs, weight ${entry.weight}`;
    case 'backend':
      return `${entry.slots} requests and ${entry.connections} connections at a time on each`;
  }
}

function describeTries(entry: releases.ServiceEntry): string {
  return entry.idempotent
    ? 'retried after a failure'
    : 'each request runs at most once and needs an Idempotency-Key';
}

function describeRefused(item: releases.ReleaseHistoryItem): string {
  const { note } = item;
  const title = note.title === '' ? '' : ` "${note.title}"`;
  const lines = describeVerdict(item.verdict);
  return `${note.id}${title} by ${item.publisher}${formatTime(item.publishedMs)}: ${lines.join('; ')}`;
}

function formatPercent(share: number): string {
  return `${Number((share * 100).toFixed(4))}%`;
}

function formatDuration(ms: number): string {
  if (ms === 0 || ms % 1_000 !== 0) return `${ms} ms`;
  if (ms % 60_000 !== 0) return `${ms / 1_000} s`;
  if (ms % 3_600_000 !== 0) return `${ms / 60_000} min`;
  return `${ms / 3_600_000} h`;
}

function formatBytes(bytes: number): string {
  if (bytes % 1_024 !== 0) return `${bytes} bytes`;
  if (bytes % 1_048_576 !== 0) return `${bytes / 1_024} KiB`;
  return `${bytes / 1_048_576} MiB`;
}

function formatTime(publishedMs: number | undefined): string {
  if (publishedMs === undefined || !Number.isFinite(publishedMs)) return '';
  const date = new Date(publishedMs);
  if (Number.isNaN(date.getTime())) return '';
  return ` on ${date.toISOString().slice(0, 16).replace('T', ' at ')} UTC`;
}
