/** Reads the text of a release note and finds all faults that need no base to see. */
import type * as releases from '../types/release.js';
import * as ini from '../settings/ini.js';
import * as names from '../settings/names.js';
import * as fields from './fields.js';

/** Largest text of a release note, in characters. */
export const MAX_NOTE_CHARACTERS = 65_536;

const maxLineCharacters = 200;

/** The base of the first release, and the command's word for the release in force. */
const reservedIds: readonly string[] = ['none', 'current'];

/** Result of reading a note. */
export type NoteResult =
  | { readonly note: releases.ReleaseNote }
  | { readonly faults: readonly releases.NoteFault[] };

type Refuse = (section: string, key: string, message: string) => void;

/** Reads a release note; `file` is named in the faults. */
export function parseReleaseNote(text: string, file: string): NoteResult {
  if (text.length > MAX_NOTE_CHARACTERS) {
    const message = `the note has ${text.length} characters; expected at most ${MAX_NOTE_CHARACTERS}`;
    return { faults: [{ file, section: '', key: '', message }] };
  }
  const read = ini.parseIni(text, file);
  const faults = [...read.faults];
  const refuse: Refuse = (section, key, message) => {
    faults.push({ file, section, key, message });
  };
  const header = readHeader(read.sections, refuse);
  const changes = readChanges(read.sections, refuse);
  if (faults.length > 0) return { faults };
  return { note: { ...header, changes, text } };
}

function readHeader(
  sections: readonly ini.IniSection[],
  refuse: Refuse,
): { id: string; base: string; title: string } {
  const section = sections.find((one) => one.name === 'release');
  const keys: ReadonlyMap<string, string> = section?.keys ?? new Map();
  const read = (key: string) => keys.get(key) ?? '';
  const [id, base, title] = [read('id'), read('base'), read('title')];
  for (const key of keys.keys())
    if (!['id', 'base', 'title'].includes(key))
      refuse('release', key, 'unknown key; expected id, base, title');
  if (!names.isPlainName(id) || reservedIds.includes(id))
    refuse(
      'release',
      'id',
      `expected ${names.plainNameText}, but not ${reservedIds.join(' or ')}`,
    );
  if (!names.isPlainName(base))
    refuse(
      'release',
      'base',
      'expected the id of the release in force, or none for the first release',
    );
  else if (base === id)
    refuse('release', 'base', 'expected the id of an earlier release');
  checkLine(section, 'release', 'title', 'what the release does', refuse);
  return { id, base, title };
}

function checkLine(
  section: ini.IniSection | undefined,
  name: string,
  key: string,
  purpose: string,
  refuse: Refuse,
): void {
  if (!isLine(section?.keys.get(key) ?? ''))
    refuse(
      name,
      key,
      `expected one line of at most ${maxLineCharacters} characters that says ${purpose}`,
    );
  // The rest of a title such as "Fix #3" would be lost without a word.
  if (section?.commented.has(key) === true)
    refuse(name, key, 'a ";" or "#" begins a comment; quote the text');
}

// Control characters and marks that change the direction of text would break the
// lines of logs and of the history.
function isLine(text: string): boolean {
  return (
    text !== '' &&
    text.length <= maxLineCharacters &&
    !/[\p{Cc}\p{Cs}\p{Zl}\p{Zp}\u202a-\u202e\u2066-\u2069]/u.test(text)
  );
}

function readChanges(
  sections: readonly ini.IniSection[],
  refuse: Refuse,
): readonly releases.ReleaseChange[] {
  const changes: releases.ReleaseChange[] = [];
  const named = new Map<string, string>();
  for (const section of sections) {
    if (section.name === 'release') continue;
    const heading = decodeHeading(section.name);
    if (heading === undefined) {
      refuse(section.name, '', headingText);
      continue;
    }
    const subject = `${heading.kind} ${heading.name}`;
    const earlier = named.get(subject);
    if (earlier !== undefined)
      refuse(
        section.name,
        '',
        `${subject} is also in [${earlier}]; expected once`,
      );
    named.set(subject, section.name);
    const change = readChange(heading, section, refuse);
    if (change !== undefined) changes.push(change);
  }
  if (named.size === 0)
    refuse('', '', 'expected at least one added, changed or withdrawn section');
  return changes;
}

const headingText = `expected [added|changed|withdrawn ${fields.entryKinds.join('|')} NAME], where NAME is ${names.plainNameText}`;

interface Heading {
  readonly action: releases.ReleaseChange['action'];
  readonly kind: releases.EntryKind;
  readonly name: string;
}

function decodeHeading(text: string): Heading | undefined {
  const [action = '', kind = '', name = '', ...rest] = text.split(' ');
  if (action !== 'added' && action !== 'changed' && action !== 'withdrawn')
    return undefined;
  const known = fields.entryKinds.find((one) => one === kind);
  if (known === undefined || !names.isPlainName(name) || rest.length > 0)
    return undefined;
  return { action, kind: known, name };
}

function readChange(
  heading: Heading,
  section: ini.IniSection,
  refuse: Refuse,
): releases.ReleaseChange | undefined {
  switch (heading.action) {
    case 'added':
      return readAdded(heading, section, refuse);
    case 'changed':
      return readChanged(heading, section, refuse);
    case 'withdrawn':
      return readWithdrawn(heading, section, refuse);
  }
}

function readAdded(
  heading: Heading,
  section: ini.IniSection,
  refuse: Refuse,
): releases.ReleaseChange | undefined {
  const { kind, name } = heading;
  let isComplete = checkValues(kind, section, refuse);
  for (const missing of fields.listMissing(kind, section.keys)) {
    refuse(
      section.name,
      missing.key,
      `the key is missing; expected ${missing.expected}`,
    );
    isComplete = false;
  }
  if (!isComplete) return undefined;
  const full = fields.addPresets(kind, name, section.keys);
  // The default of `backend` is the name, so `full` is valid whenever the keys are.
  return { action: 'added', entry: fields.buildEntry(kind, name, full) };
}

function readChanged(
  heading: Heading,
  section: ini.IniSection,
  refuse: Refuse,
): releases.ReleaseChange | undefined {
  const { kind, name } = heading;
  if (section.keys.size === 0)
    refuse(
      section.name,
      '',
      `expected at least one of ${fields.listKeys(kind).join(', ')}`,
    );
  if (!checkValues(kind, section, refuse)) return undefined;
  return {
    action: 'changed',
    entryKind: kind,
    name,
    fields: Object.fromEntries(section.keys),
  };
}

function readWithdrawn(
  heading: Heading,
  section: ini.IniSection,
  refuse: Refuse,
): releases.ReleaseChange {
  const reason = section.keys.get('reason') ?? '';
  const purpose = 'why, and what to use instead';
  checkLine(section, section.name, 'reason', purpose, refuse);
  for (const key of section.keys.keys())
    if (key !== 'reason')
      refuse(section.name, key, 'unknown key; expected reason');
  return {
    action: 'withdrawn',
    entryKind: heading.kind,
    name: heading.name,
    reason,
  };
}

function checkValues(
  kind: releases.EntryKind,
  section: ini.IniSection,
  refuse: Refuse,
): boolean {
  let isValid = true;
  for (const [key, text] of section.keys) {
    const fault = fields.checkField(kind, key, text);
    if (fault === undefined) continue;
    refuse(section.name, key, fault);
    isValid = false;
  }
  return isValid;
}
