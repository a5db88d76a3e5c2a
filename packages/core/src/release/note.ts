/**
 * Parses the text of a release note and lists all faults that can be found without the
 * release that the note is based on. `check.ts` finds the others.
 */
import type * as releases from '../types/release.js';
import * as ini from '../settings/ini.js';
import * as names from '../settings/names.js';
import * as fields from './fields.js';

/** Largest text of a release note, in characters. */
export const MAX_NOTE_CHARACTERS = 65_536;

/** Longest title of a note or reason of a withdrawal, in characters. */
const MAX_LINE_CHARACTERS = 200;

/**
 * Ids that no release may have: `none` is the base of the first release, and `current`
 * stands for the release in force on the command line.
 */
const reservedIds: readonly string[] = ['none', 'current'];

/** The parsed note, or all its faults. */
export type NoteResult =
  | { readonly note: releases.ReleaseNote }
  | { readonly faults: readonly releases.ConfigFault[] };

/** Adds a fault to the list of the note's faults. */
type ReportFault = (section: string, key: string, message: string) => void;

/** Parses a release note; `file` is the file name in its faults. */
export function parseReleaseNote(text: string, file: string): NoteResult {
  if (text.length > MAX_NOTE_CHARACTERS) {
    const message = `the note has ${text.length} characters; expected at most ${MAX_NOTE_CHARACTERS}`;
    return { faults: [{ file, section: '', key: '', message }] };
  }
  const parsedText = ini.parseIni(text, file);
  const faults = [...parsedText.faults];
  const reportFault: ReportFault = (section, key, message) => {
    faults.push({ file, section, key, message });
  };
  const header = readHeader(parsedText.sections, reportFault);
  const changes = readChanges(parsedText.sections, reportFault);
  if (faults.length > 0) return { faults };
  return { note: { ...header, changes, text } };
}

function readHeader(
  sections: readonly ini.IniSection[],
  reportFault: ReportFault,
): { id: string; base: string; title: string } {
  const section = sections.find((one) => one.name === 'release');
  const keys: ReadonlyMap<string, string> = section?.keys ?? new Map();
  const getValue = (key: string) => keys.get(key) ?? '';
  const [id, base, title] = [
    getValue('id'),
    getValue('base'),
    getValue('title'),
  ];
  for (const key of keys.keys())
    if (!['id', 'base', 'title'].includes(key))
      reportFault('release', key, 'unknown key; expected id, base, title');
  if (!names.isPlainName(id) || reservedIds.includes(id))
    reportFault(
      'release',
      'id',
      `expected ${names.plainNameText}, but not ${reservedIds.join(' or ')}`,
    );
  if (!names.isPlainName(base))
    reportFault(
      'release',
      'base',
      'expected the id of the release in force, or none for the first release',
    );
  else if (base === id)
    reportFault('release', 'base', 'expected the id of an earlier release');
  checkLine(section, 'release', 'title', 'what the release does', reportFault);
  return { id, base, title };
}

function checkLine(
  section: ini.IniSection | undefined,
  name: string,
  key: string,
  purpose: string,
  reportFault: ReportFault,
): void {
  if (!isLine(section?.keys.get(key) ?? ''))
    reportFault(
      name,
      key,
      `expected one line of at most ${MAX_LINE_CHARACTERS} characters that says ${purpose}`,
    );
  // Otherwise a title such as "Fix #3" would be cut to "Fix" without a message.
  if (section?.commented.has(key) === true)
    reportFault(name, key, 'a ";" or "#" begins a comment; quote the text');
}

// Line breaks, other control characters and marks that change the direction of text
// would garble the lines of logs and of the history.
function isLine(text: string): boolean {
  return (
    text !== '' &&
    text.length <= MAX_LINE_CHARACTERS &&
    !/[\p{Cc}\p{Cs}\p{Zl}\p{Zp}\u202a-\u202e\u2066-\u2069]/u.test(text)
  );
}

function readChanges(
  sections: readonly ini.IniSection[],
  reportFault: ReportFault,
): readonly releases.ReleaseChange[] {
  const changes: releases.ReleaseChange[] = [];
  const sectionOfEntry = new Map<string, string>();
  for (const section of sections) {
    if (section.name === 'release') continue;
    const heading = decodeHeading(section.name);
    if (heading === undefined) {
      reportFault(section.name, '', headingText);
      continue;
    }
    const subject = `${heading.kind} ${heading.name}`;
    const earlier = sectionOfEntry.get(subject);
    if (earlier !== undefined)
      reportFault(
        section.name,
        '',
        `${subject} is also in [${earlier}]; expected once`,
      );
    sectionOfEntry.set(subject, section.name);
    const change = readChange(heading, section, reportFault);
    if (change !== undefined) changes.push(change);
  }
  if (sectionOfEntry.size === 0)
    reportFault(
      '',
      '',
      'expected at least one added, changed or withdrawn section',
    );
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
  reportFault: ReportFault,
): releases.ReleaseChange | undefined {
  switch (heading.action) {
    case 'added':
      return readAdded(heading, section, reportFault);
    case 'changed':
      return readChanged(heading, section, reportFault);
    case 'withdrawn':
      return readWithdrawn(heading, section, reportFault);
  }
}

function readAdded(
  heading: Heading,
  section: ini.IniSection,
  reportFault: ReportFault,
): releases.ReleaseChange | undefined {
  const { kind, name } = heading;
  let isComplete = checkValues(kind, section, reportFault);
  for (const missing of fields.listMissing(kind, section.keys)) {
    reportFault(
      section.name,
      missing.key,
      `the key is missing; expected ${missing.expected}`,
    );
    isComplete = false;
  }
  if (!isComplete) return undefined;
  const full = fields.addDefaults(kind, name, section.keys);
  // Defaults need no check: each is valid, since `backend` defaults to the entry's name.
  return { action: 'added', entry: fields.buildEntry(kind, name, full) };
}

function readChanged(
  heading: Heading,
  section: ini.IniSection,
  reportFault: ReportFault,
): releases.ReleaseChange | undefined {
  const { kind, name } = heading;
  if (section.keys.size === 0)
    reportFault(
      section.name,
      '',
      `expected at least one of ${fields.listKeys(kind).join(', ')}`,
    );
  if (!checkValues(kind, section, reportFault)) return undefined;
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
  reportFault: ReportFault,
): releases.ReleaseChange {
  const reason = section.keys.get('reason') ?? '';
  const purpose = 'why, and what to use instead';
  checkLine(section, section.name, 'reason', purpose, reportFault);
  for (const key of section.keys.keys())
    if (key !== 'reason')
      reportFault(section.name, key, 'unknown key; expected reason');
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
  reportFault: ReportFault,
): boolean {
  let isValid = true;
  for (const [key, text] of section.keys) {
    const fault = fields.checkField(kind, key, text);
    if (fault === undefined) continue;
    reportFault(section.name, key, fault);
    isValid = false;
  }
  return isValid;
}
