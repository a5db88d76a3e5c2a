/**
 * Folds stream `releases` into the release in force. The verdict on each note depends
 * only on the content of the log, not on time, on the process or on how records arrive,
 * so all processes agree without messages. Changing a check of notes changes verdicts;
 * it therefore needs a new `linkVersion`, so that old and new checks are never mixed.
 */
import * as crypto from 'node:crypto';
import type * as ids from '../types/ids.js';
import type * as records from '../types/records.js';
import type * as releases from '../types/release.js';
import * as check from './check.js';
import * as parser from './note.js';

/** Number of adopted releases that are kept to recognise repeats and to name the winner of a conflict. */
export const KNOWN_RELEASES = 256;

/** Number of records that are kept, with their verdicts, for the history. */
export const HISTORY_ITEMS = 500;

/** Most characters of note texts in one snapshot; large enough for the largest note. */
export const SNAPSHOT_TEXT_CHARACTERS = parser.MAX_NOTE_CHARACTERS;

/** A record of the `releases` stream. */
export type StreamRecord = records.LogRecord<records.ReleaseStreamRecord>;

type NoteRecord = records.LogRecord<records.ReleaseRecord>;

/** The `releases` stream as one process has read it. */
export interface ReleaseLog {
  readonly state: releases.ReleaseState;
  /** Records below this offset were applied, wait for a snapshot, or were dropped from the log unread. */
  readonly next: ids.Offset;
  /** Adopted releases, oldest first. */
  readonly known: readonly releases.KnownRelease[];
  readonly reading: ReadProgress;
}

/**
 * Whether all records were read. `gap`: the log dropped records before this process
 * read them. The state then stays as it is, and later notes wait until a snapshot
 * covers the missing records.
 */
export type ReadProgress =
  | { readonly mode: 'unread' }
  | { readonly mode: 'complete' }
  | {
      readonly mode: 'gap';
      /** Offset of the first record after the missing ones. */
      readonly from: ids.Offset;
      readonly waiting: readonly NoteRecord[];
    };

/** The state before any record was read. */
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

/** Applies the next record; records that were applied before are ignored. */
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
    return moveNext(
      applyOrDeferNote(begun, { ...record, body }),
      record.offset + 1,
    );
  // Written by a later version, or damaged: every process skips it.
  return moveNext(begun, record.offset + 1);
}

/** Marks that the log dropped all records below `from` before this process read them. */
export function markGap(log: ReleaseLog, from: ids.Offset): ReleaseLog {
  if (from <= log.next) return log;
  const waiting = log.reading.mode === 'gap' ? log.reading.waiting : [];
  return { ...log, reading: { mode: 'gap', from, waiting } };
}

/**
 * Loads a snapshot if it covers records that are missing here, and ignores it otherwise.
 * The state never goes back to an older release.
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
      // A later release than the one in force here proves that records were missed.
      return snapshot.offset > log.state.offset
        ? loadSnapshot(log, snapshot, listNotes(log))
        : log;
    case 'gap':
      // An older snapshot would leave the records between `upTo` and `from` missing.
      return snapshot.upTo >= log.reading.from
        ? loadSnapshot(log, snapshot, log.reading.waiting)
        : log;
  }
}

/** Builds a snapshot of the state; undefined while records are missing. */
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

/** Returns whether a record's body is a well-formed snapshot. */
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

// Only the first record shows a gap by its offset: it is the oldest that the log keeps.
// Later records may skip offsets, because the log doesn't deliver repeated record ids.
function beginReading(log: ReleaseLog, offset: ids.Offset): ReleaseLog {
  if (log.reading.mode !== 'unread') return log;
  if (offset > log.next) return markGap(log, offset);
  return { ...log, reading: { mode: 'complete' } };
}

function moveNext(log: ReleaseLog, next: ids.Offset): ReleaseLog {
  return next > log.next ? { ...log, next } : log;
}

function applyOrDeferNote(log: ReleaseLog, record: NoteRecord): ReleaseLog {
  if (log.reading.mode !== 'gap') return foldNote(log, record);
  const waiting = [...log.reading.waiting, record];
  return { ...log, reading: { ...log.reading, waiting } };
}

function foldNote(log: ReleaseLog, record: NoteRecord): ReleaseLog {
  const { state } = log;
  const parsed = parser.parseReleaseNote(record.body.text, check.noteFile);
  const note =
    'note' in parsed ? parsed.note : buildUnreadableNote(record.body.text);
  const verdict: releases.Verdict =
    'note' in parsed
      ? decideVerdict(log, parsed.note)
      : { verdict: 'invalid', faults: parsed.faults };
  const item = buildHistoryItem(record, note, verdict);
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
  const sameId = known.find((one) => one.id === note.id);
  if (sameId?.digest === computeDigest(note.text))
    return { verdict: 'repeat', of: sameId.offset };
  if (note.base !== state.current) return decideConflict(log, note);
  const faults = [...check.checkRelease(state, note)];
  if (sameId !== undefined)
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

// Finds the release that was adopted on `base`: each adopted release is the base of the
// next. Falls back to the release in force if it is no longer kept.
function findWinner(log: ReleaseLog, base: string): string {
  const index = log.known.findIndex((one) => one.id === base);
  const first = log.known[0];
  if (
    base === 'none' &&
    first !== undefined &&
    first.offset === findFirstOffset(log)
  )
    return first.id;
  return (
    (index < 0 ? undefined : log.known[index + 1]?.id) ?? log.state.current
  );
}

// Returns the offset of the very first release, while `known` still contains it.
function findFirstOffset(log: ReleaseLog): ids.Offset | undefined {
  return log.known.length < KNOWN_RELEASES ? log.known[0]?.offset : undefined;
}

function computeDigest(text: string): string {
  return crypto.createHash('sha256').update(text).digest('hex').slice(0, 32);
}

// Stands for a note that can't be parsed, so that the history lists it too.
function buildUnreadableNote(text: string): releases.ReleaseNote {
  return { id: '?', base: '?', title: '', changes: [], text };
}

function buildHistoryItem(
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
  laterNotes: readonly NoteRecord[],
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
  for (const record of laterNotes)
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
