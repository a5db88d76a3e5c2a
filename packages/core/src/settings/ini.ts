/**
 * Reads INI text line by line into sections. The ini library decodes the values;
 * it would merge repeated sections and keys without a word, so the lines are split
 * here and every repetition is a fault.
 */
import * as ini from 'ini';
import type * as releases from '../types/release.js';

/** One section with its keys in the order of the text. */
export interface IniSection {
  readonly name: string;
  readonly keys: ReadonlyMap<string, string>;
  /** Keys with a comment behind the value. */
  readonly commented: ReadonlySet<string>;
  /** Line of the section's heading, counted from 1. */
  readonly line: number;
}

/** All sections of a text and everything that is wrong with its form. */
export interface IniText {
  readonly sections: readonly IniSection[];
  readonly faults: readonly releases.NoteFault[];
}

interface OpenSection {
  readonly name: string;
  readonly keys: Map<string, string>;
  readonly commented: Set<string>;
  readonly line: number;
}

interface Reading {
  readonly file: string;
  readonly sections: Map<string, OpenSection>;
  readonly faults: releases.NoteFault[];
  current: OpenSection | undefined;
}

// These names reach into Object.prototype when they become keys of plain objects.
const reservedNames: ReadonlySet<string> = new Set([
  '__proto__',
  'constructor',
  'prototype',
]);

/** True for a name that must not become a key of an object. */
export function isReservedName(name: string): boolean {
  return reservedNames.has(name);
}

/** Reads INI text; `file` is named in the faults. */
export function parseIni(text: string, file: string): IniText {
  const reading: Reading = {
    file,
    sections: new Map(),
    faults: [],
    current: undefined,
  };
  const lines = text.replace(/^\uFEFF/, '').split(/\r\n|\r|\n/);
  for (const [index, line] of lines.entries())
    readLine(reading, line.trim(), index + 1);
  return { sections: [...reading.sections.values()], faults: reading.faults };
}

function readLine(reading: Reading, line: string, number: number): void {
  if (line === '' || line.startsWith(';') || line.startsWith('#')) return;
  if (line.startsWith('[')) {
    readHeading(reading, line, number);
    return;
  }
  readKey(reading, line, number);
}

function readHeading(reading: Reading, line: string, number: number): void {
  const match = /^\[([^\]]*)\]\s*(?:[;#].*)?$/.exec(line);
  const name = match?.[1]?.trim().replace(/\s+/g, ' ') ?? '';
  const earlier = reading.sections.get(name);
  // Keys below a heading that is refused still belong to something, so that
  // they are checked for their form.
  const section: OpenSection = {
    name,
    keys: new Map(),
    commented: new Set(),
    line: number,
  };
  reading.current = section;
  if (name === '')
    addFault(
      reading,
      line,
      '',
      `line ${number} isn't a section heading; expected [name]`,
    );
  else if (name.split(' ').some(isReservedName))
    addFault(reading, name, '', `line ${number}: this name is reserved`);
  else if (earlier !== undefined)
    addFault(
      reading,
      name,
      '',
      `the section is in lines ${earlier.line} and ${number}; expected once`,
    );
  else reading.sections.set(name, section);
}

function readKey(reading: Reading, line: string, number: number): void {
  const section = reading.current;
  const equals = line.indexOf('=');
  const key = (equals < 0 ? line : line.slice(0, equals)).trim();
  const refuse = (message: string) => {
    addFault(reading, section?.name ?? '', key, `line ${number}: ${message}`);
  };
  if (section === undefined)
    refuse('expected a [section] before the first key');
  else if (equals < 0) refuse('expected key = value');
  else if (!/^[\w.-]+$/.test(key))
    refuse('expected a key of letters, digits, "_", "-" and "."');
  else if (isReservedName(key)) refuse('this name is reserved');
  else if (section.keys.has(key))
    refuse('the key is in this section twice; expected once');
  else {
    const raw = line.slice(equals + 1).trim();
    if (isCutByComment(raw))
      refuse('a ";" or "#" inside the value would begin a comment; quote it');
    if (hasComment(raw)) section.commented.add(key);
    section.keys.set(key, decodeValue(raw));
  }
}

// Without this check a key such as `abc#def` would be cut to `abc` silently.
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
  // The library reads '5' in single quotes as a number.
  return typeof value === 'string' ? value : raw.slice(1, -1);
}

function addFault(
  reading: Reading,
  section: string,
  key: string,
  message: string,
): void {
  reading.faults.push({ file: reading.file, section, key, message });
}
