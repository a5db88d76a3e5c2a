/**
 * Folds stream `releases` into the release in force. Verdicts depend on the content
 * of the log only: not on time, on the reader, or on how the records arrive. A change
 * to the checks of a note changes verdicts, so it needs a new `linkVersion`.
 */
import * as crypto from 'node:crypto';
import type * as ids from '../types/ids.js';
import type * as records from '../types/records.js';
import type * as releases from '../types/release.js';
import * as check from './check.js';
import * as parser from './note.js';

/** How many adopted releases are kept to recognise repeats and lost bases. */
export const KNOWN_RELEASES = 256;

/** How many records with their verdicts are kept for the history. */
export const HISTORY_ITEMS = 500;

/** Most characters of note texts in one snapshot; the newest note always fits. */
export const SNAPSHOT_TEXT_CHARACTERS = parser.MAX_NOTE_CHARACTERS;

/** A record of the `releases` stream. */
export type StreamRecord = records.LogRecord<records.ReleaseStreamRecord>;

type NoteRecord = records.LogRecord<records.ReleaseRecord>;

/** The `releases` stream as one process has read it. */
export interface ReleaseLog {
  readonly state: releases.ReleaseState;
  /** Every record below this offset is taken into account. */
  readonly next: ids.Offset;
  /** Adopted releases, oldest first. */
  readonly known: readonly releases.KnownRelease[];
  readonly reading: Reading;
}

/**
 * Whether all records were read. In a `gap` the log dropped records before they were
 * read: the state stays as it is, and later records wait for a snapshot that covers
 * the missing ones.
 */
export type Reading =
  | { readonly mode: 'unread' }
  | { readonly mode: 'complete' }
  | {
      readonly mode: 'gap';
      /** Offset of the first record after the missing ones. */
      readonly from: ids.Offset;
      readonly waiting: readonly NoteRecord[];
    };

/** The log before anything was read. */
export const emptyReleaseLog: ReleaseLog = {
  state: {
    current: 'none',
    offset: -1,
    ...check.buildEntries([]),
    history: [],
  },
  next: 0,
  known: [],
  reading: { mode: 'unread' },
};

/** Applies the next record. Records that are taken into account already change nothing. */
export function applyReleaseRecord(
  log: ReleaseLog,
  record: StreamRecord,
): ReleaseLog {
  const begun = beginReading(log, record.offset);
  if (record.offset < begun.next) return begun;
  const body: unknown = record.body;
  if (isSnapshot(body) && body.upTo <= record.offset)
    return moveNext(applySnapshot(begun, body), record.offset + 1);
  if (isNote(body))
    return moveNext(applyNote(begun, { ...record, body }), record.offset + 1);
  // Of a later version, or damaged: everybody passes over it.
  return moveNext(begun, record.offset + 1);
}

/** Notes that the log dropped all records below `from` before they were read. */
export function noteGap(log: ReleaseLog, from: ids.Offset): ReleaseLog {
  if (from <= log.next) return log;
  const waiting = log.reading.mode === 'gap' ? log.reading.waiting : [];
  return { ...log, reading: { mode: 'gap', from, waiting } };
}

/**
 * Takes over a snapshot when records are missing here; otherwise it says nothing new.
 * The state never moves to an older release.
 */
export function applySnapshot(
  log: ReleaseLog,
  snapshot: records.ReleaseSnapshotRecord,
): ReleaseLog {
  if (snapshot.offset < log.state.offset) return log;
  switch (log.reading.mode) {
    case 'unread':
      return snapshot.upTo > log.next ? loadSnapshot(log, snapshot, []) : log;
    case 'complete':
      // A later release than ours is proof that records were missed.
      return snapshot.offset > log.state.offset
        ? loadSnapshot(log, snapshot, listNotes(log))
        : log;
    case 'gap':
      // Below `from` the records between the snapshot and the gap's end would be missing.
      return snapshot.upTo >= log.reading.from
        ? loadSnapshot(log, snapshot, log.reading.waiting)
        : log;
  }
}

/** Builds a snapshot of everything read; undefined while records are missing. */
export function buildSnapshot(
  log: ReleaseLog,
): records.ReleaseSnapshotRecord | undefined {
  if (log.reading.mode === 'gap') return undefined;
  const { state } = log;
  return {
    type: 'snapshot',
    upTo: log.next,
    current: state.current,
    offset: state.offset,
    entries: check.listEntries(state),
    known: log.known,
    notes: listKeptNotes(state),
  };
}

/** True for the body of a snapshot record. */
export function isSnapshot(
  body: unknown,
): body is records.ReleaseSnapshotRecord {
  const snapshot = body as Partial<records.ReleaseSnapshotRecord> | null;
  return (
    typeof snapshot === 'object' &&
    snapshot?.type === 'snapshot' &&
    Number.isSafeInteger(snapshot.upTo) &&
    Number.isSafeInteger(snapshot.offset) &&
    typeof snapshot.current === 'string' &&
    Array.isArray(snapshot.entries) &&
    Array.isArray(snapshot.known) &&
    Array.isArray(snapshot.notes)
  );
}

function isNote(body: unknown): body is records.ReleaseRecord {
  const note = body as Partial<records.ReleaseRecord> | null;
  return (
    typeof note === 'object' &&
    note?.type === 'release' &&
    typeof note.text === 'string' &&
    typeof note.publisher === 'string'
  );
}

// A reader's first record is the oldest that the log keeps. Later ones may leave out
// offsets, because repeated record ids aren't delivered.
function beginReading(log: ReleaseLog, offset: ids.Offset): ReleaseLog {
  if (log.reading.mode !== 'unread') return log;
  if (offset > log.next) return noteGap(log, offset);
  return { ...log, reading: { mode: 'complete' } };
}

function moveNext(log: ReleaseLog, next: ids.Offset): ReleaseLog {
  return next > log.next ? { ...log, next } : log;
}

function applyNote(log: ReleaseLog, record: NoteRecord): ReleaseLog {
  if (log.reading.mode !== 'gap') return foldNote(log, record);
  const waiting = [...log.reading.waiting, record];
  return { ...log, reading: { ...log.reading, waiting } };
}

function foldNote(log: ReleaseLog, record: NoteRecord): ReleaseLog {
  const { state } = log;
  const parsed = parser.parseReleaseNote(record.body.text, check.noteFile);
  const note = 'note' in parsed ? parsed.note : buildFaulty(record.body.text);
  const verdict: releases.Verdict =
    'note' in parsed
      ? decideVerdict(log, parsed.note)
      : { verdict: 'invalid', faults: parsed.faults };
  const item = buildItem(record, note, verdict);
  const history = [...state.history, item].slice(-HISTORY_ITEMS);
  if (verdict.verdict !== 'adopted')
    return { ...log, state: { ...state, history } };
  const known = [
    ...log.known,
    { id: note.id, offset: record.offset, digest: computeDigest(note.text) },
  ].slice(-KNOWN_RELEASES);
  const entries = check.applyChanges(state, note.changes);
  const adopted = { current: note.id, offset: record.offset, history };
  return { ...log, known, state: { ...adopted, ...entries } };
}

function decideVerdict(
  log: ReleaseLog,
  note: releases.ReleaseNote,
): releases.Verdict {
  const { state, known } = log;
  const same = known.find((one) => one.id === note.id);
  if (same?.digest === computeDigest(note.text))
    return { verdict: 'repeat', of: same.offset };
  if (note.base !== state.current) return decideConflict(log, note);
  const faults = [...check.checkRelease(state, note)];
  if (same !== undefined)
    faults.unshift({
      file: check.noteFile,
      section: 'release',
      key: 'id',
      message: `${note.id} is the id of an adopted release; expected a new id`,
    });
  return faults.length > 0
    ? { verdict: 'invalid', faults }
    : { verdict: 'adopted' };
}

function decideConflict(
  log: ReleaseLog,
  note: releases.ReleaseNote,
): releases.Verdict {
  const { current } = log.state;
  if (current === 'none') {
    const message = `${note.base} isn't a release of this cell; expected none for the first release`;
    const fault = { file: check.noteFile, section: 'release', key: 'base' };
    return { verdict: 'invalid', faults: [{ ...fault, message }] };
  }
  return { verdict: 'conflict', lostTo: findWinner(log, note.base) };
}

// Adopted releases form a chain: the one after the base is the one that won.
function findWinner(log: ReleaseLog, base: string): string {
  const index = log.known.findIndex((one) => one.id === base);
  const first = log.known[0];
  if (base === 'none' && first !== undefined && first.offset === findFirst(log))
    return first.id;
  return (
    (index < 0 ? undefined : log.known[index + 1]?.id) ?? log.state.current
  );
}

// Offset of the first release ever while the list still holds it.
function findFirst(log: ReleaseLog): ids.Offset | undefined {
  return log.known.length < KNOWN_RELEASES ? log.known[0]?.offset : undefined;
}

function computeDigest(text: string): string {
  return crypto.createHash('sha256').update(text).digest('hex').slice(0, 32);
}

// The history shows unreadable notes too.
function buildFaulty(text: string): releases.ReleaseNote {
  return { id: '?', base: '?', title: '', changes: [], text };
}

function buildItem(
  record: NoteRecord,
  note: releases.ReleaseNote,
  verdict: releases.Verdict,
): releases.ReleaseHistoryItem {
  const { offset, body } = record;
  return {
    offset,
    note,
    publisher: body.publisher,
    publishedMs: body.publishedMs,
    verdict,
  };
}

function listNotes(log: ReleaseLog): readonly NoteRecord[] {
  return log.state.history.map((item) => ({
    offset: item.offset,
    id: '',
    body: {
      type: 'release',
      text: item.note.text,
      publisher: item.publisher,
      publishedMs: item.publishedMs ?? 0,
    },
  }));
}

function listKeptNotes(
  state: releases.ReleaseState,
): readonly records.KeptNote[] {
  const kept: records.KeptNote[] = [];
  let characters = 0;
  for (const item of state.history.toReversed()) {
    if (item.verdict.verdict !== 'adopted') continue;
    characters += item.note.text.length;
    if (characters > SNAPSHOT_TEXT_CHARACTERS) break;
    const { offset, publisher, publishedMs = 0 } = item;
    kept.unshift({ offset, text: item.note.text, publisher, publishedMs });
  }
  return kept;
}

function loadSnapshot(
  log: ReleaseLog,
  snapshot: records.ReleaseSnapshotRecord,
  later: readonly NoteRecord[],
): ReleaseLog {
  const state: releases.ReleaseState = {
    current: snapshot.current,
    offset: snapshot.offset,
    ...check.buildEntries(snapshot.entries),
    history: mergeHistory(log.state.history, snapshot),
  };
  const isRead = log.reading.mode !== 'unread';
  let loaded: ReleaseLog = {
    state,
    next: Math.max(snapshot.upTo, log.next),
    known: snapshot.known,
    reading: isRead ? { mode: 'complete' } : log.reading,
  };
  for (const record of later)
    if (record.offset >= snapshot.upTo) loaded = foldNote(loaded, record);
  return loaded;
}

function mergeHistory(
  own: readonly releases.ReleaseHistoryItem[],
  snapshot: records.ReleaseSnapshotRecord,
): readonly releases.ReleaseHistoryItem[] {
  const items = new Map(
    own
      .filter((item) => item.offset < snapshot.upTo)
      .map((item) => [item.offset, item]),
  );
  for (const kept of snapshot.notes) {
    const parsed = parser.parseReleaseNote(kept.text, check.noteFile);
    if (!('note' in parsed)) continue;
    const { offset, publisher, publishedMs } = kept;
    const verdict = { verdict: 'adopted' } as const;
    const item = { offset, note: parsed.note, publisher, publishedMs, verdict };
    items.set(offset, item);
  }
  return [...items.values()].sort((a, b) => a.offset - b.offset);
}
