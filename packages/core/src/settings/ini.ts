/**
 * Parses INI text into sections and reports every fault of form with its line. Lines
 * are split here, because the ini library would silently merge repeated sections and
 * keys; the library only decodes the values.
 */
import * as ini from 'ini';
import type * as releases from '../types/release.js';

/** One section, with its keys in the order of the text. */
export interface IniSection {
  readonly name: string;
  readonly keys: ReadonlyMap<string, string>;
  /** Keys whose value is followed by a comment on the same line. */
  readonly commented: ReadonlySet<string>;
  /** Line of the section's heading, counted from 1. */
  readonly line: number;
}

/** The sections of a text and all faults of its form. */
export interface IniText {
  readonly sections: readonly IniSection[];
  readonly faults: readonly releases.ConfigFault[];
}

interface OpenSection {
  readonly name: string;
  readonly keys: Map<string, string>;
  readonly commented: Set<string>;
  readonly line: number;
}

interface ParserState {
  readonly file: string;
  readonly sections: Map<string, OpenSection>;
  readonly faults: releases.ConfigFault[];
  current: OpenSection | undefined;
}

// As keys of plain objects these names would read or change Object.prototype.
const reservedNames: ReadonlySet<string> = new Set([
  '__proto__',
  'constructor',
  'prototype',
]);

/** Returns whether a name must not be used as a key of a plain object. */
export function isReservedName(name: string): boolean {
  return reservedNames.has(name);
}

/** Parses INI text; `file` is the file name in its faults. */
export function parseIni(text: string, file: string): IniText {
  const state: ParserState = {
    file,
    sections: new Map(),
    faults: [],
    current: undefined,
  };
  const lines = text.replace(/^\uFEFF/, '').split(/\r\n|\r|\n/);
  for (const [index, line] of lines.entries())
    readLine(state, line.trim(), index + 1);
  return { sections: [...state.sections.values()], faults: state.faults };
}

function readLine(state: ParserState, line: string, number: number): void {
  if (line === '' || line.startsWith(';') || line.startsWith('#')) return;
  if (line.startsWith('[')) {
    readHeading(state, line, number);
    return;
  }
  readKey(state, line, number);
}

function readHeading(state: ParserState, line: string, number: number): void {
  const match = /^\[([^\]]*)\]\s*(?:[;#].*)?$/.exec(line);
  const name = match?.[1]?.trim().replace(/\s+/g, ' ') ?? '';
  const earlier = state.sections.get(name);
  // A faulty heading also opens a section, so that the keys below it are checked for
  // their form; that section is dropped.
  const section: OpenSection = {
    name,
    keys: new Map(),
    commented: new Set(),
    line: number,
  };
  state.current = section;
  if (name === '')
    addFault(
      state,
      line,
      '',
      `line ${number} isn't a section heading; expected [name]`,
    );
  else if (name.split(' ').some(isReservedName))
    addFault(state, name, '', `line ${number}: this name is reserved`);
  else if (earlier !== undefined)
    addFault(
      state,
      name,
      '',
      `the section is in lines ${earlier.line} and ${number}; expected once`,
    );
  else state.sections.set(name, section);
}

function readKey(state: ParserState, line: string, number: number): void {
  const section = state.current;
  const equals = line.indexOf('=');
  const key = (equals < 0 ? line : line.slice(0, equals)).trim();
  const reportFault = (message: string) => {
    addFault(state, section?.name ?? '', key, `line ${number}: ${message}`);
  };
  if (section === undefined)
    reportFault('expected a [section] before the first key');
  else if (equals < 0) reportFault('expected key = value');
  else if (!/^[\w.-]+$/.test(key))
    reportFault('expected a key of letters, digits, "_", "-" and "."');
  else if (isReservedName(key)) reportFault('this name is reserved');
  else if (section.keys.has(key))
    reportFault('the key is in this section twice; expected once');
  else {
    const raw = line.slice(equals + 1).trim();
    if (isCutByComment(raw))
      reportFault(
        'a ";" or "#" inside the value would begin a comment; quote it',
      );
    if (hasComment(raw)) section.commented.add(key);
    section.keys.set(key, decodeValue(raw));
  }
}

// Without this check a value such as `abc#def` would silently be cut to `abc`.
function isCutByComment(raw: string): boolean {
  return (
    !/^["']/.test(raw) && /[^\s\\;#][;#]/.test(raw.replace(/\s[;#].*$/, ''))
  );
}

function hasComment(raw: string): boolean {
  return !/^["']/.test(raw) && /(^|\s)[;#]/.test(raw);
}

function decodeValue(raw: string): string {
  const value: unknown = ini.unsafe(raw);
  // The library decodes '5' in single quotes as a number; the text is kept instead.
  return typeof value === 'string' ? value : raw.slice(1, -1);
}

function addFault(
  state: ParserState,
  section: string,
  key: string,
  message: string,
): void {
  state.faults.push({ file: state.file, section, key, message });
}
