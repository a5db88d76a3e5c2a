/**
 * The keys of a release note's sections: what each may hold, and how entries are
 * read from keys and written as keys.
 */
import type * as ids from '../types/ids.js';
import type * as releases from '../types/release.js';
import * as names from '../settings/names.js';

/** Text values of an entry's keys, in the order in which they are printed. */
export type Fields = ReadonlyMap<string, string>;

interface FieldRule {
  readonly key: string;
  readonly expected: string;
  /** Value of a key that is left out; absent when the key is required. */
  readonly preset?: (given: Fields, name: string) => string;
  isValid(text: string): boolean;
}

/** All kinds of entries. */
export const entryKinds: readonly releases.EntryKind[] = [
  'service',
  'class',
  'team',
  'backend',
];

const floors: Readonly<Record<ids.Urgency, string>> = {
  urgent: '0.5',
  normal: '0.2',
  deferrable: '0.1',
};

function createRule(
  key: string,
  expected: string,
  isValid: (text: string) => boolean,
  preset?: FieldRule['preset'],
): FieldRule {
  return { key, expected, isValid, ...(preset && { preset }) };
}

function createWhole(
  key: string,
  unit: string,
  least: number,
  most: number,
  preset?: FieldRule['preset'],
): FieldRule {
  const expected = `a whole number of ${unit} from ${least} to ${most}, without a unit`;
  const isValid = (text: string) =>
    /^[0-9]{1,15}$/.test(text) && isBetween(Number(text), least, most);
  return createRule(key, expected, isValid, preset);
}

function createDecimal(
  key: string,
  least: number,
  most: number,
  preset?: FieldRule['preset'],
): FieldRule {
  const expected = `a number from ${least} to ${most}, such as 0.5`;
  const isValid = (text: string) =>
    /^[0-9]{1,9}(\.[0-9]{1,6})?$/.test(text) &&
    isBetween(Number(text), least, most);
  return createRule(key, expected, isValid, preset);
}

function createFlag(key: string, preset?: FieldRule['preset']): FieldRule {
  return createRule(
    key,
    'yes or no',
    (text) => /^(yes|no)$/.test(text),
    preset,
  );
}

function isBetween(value: number, least: number, most: number): boolean {
  return value >= least && value <= most;
}

const urgency = createRule('urgency', 'urgent, normal or deferrable', (text) =>
  Object.hasOwn(floors, text),
);

const rules: Readonly<Record<releases.EntryKind, readonly FieldRule[]>> = {
  service: [
    urgency,
    createFlag('idempotent'),
    createWhole('timeout_ms', 'ms', 1, 3_600_000),
    createWhole('max_wait_ms', 'ms', 0, 3_600_000, () => '5000'),
    createWhole('max_response_bytes', 'bytes', 1, 67_108_864, () => '1048576'),
    createRule(
      'backend',
      names.plainNameText,
      names.isPlainName,
      (_, name) => name,
    ),
  ],
  class: [
    urgency,
    createDecimal('floor', 0, 1, (given) => readFloor(given)),
    createFlag('idempotent', () => 'yes'),
    createFlag('preemptible', (given) =>
      given.get('urgency') === 'deferrable' ? 'yes' : 'no',
    ),
    createWhole('max_wait_ms', 'ms', 0, 604_800_000, () => '86400000'),
  ],
  team: [
    createDecimal('quota_cores', 0, 10_000_000),
    createWhole('quota_memory_mb', 'MB', 0, 100_000_000_000),
    createWhole('quota_gpus', 'GPUs', 0, 1_000_000, () => '0'),
    createDecimal('weight', 0.001, 1_000, () => '1'),
  ],
  backend: [
    createWhole('slots', 'requests', 1, 100_000),
    createWhole('connections', 'connections', 1, 100_000),
  ],
};

function readFloor(given: Fields): string {
  const name = given.get('urgency') ?? '';
  return Object.hasOwn(floors, name) ? floors[name as ids.Urgency] : '0';
}

/** Lists the keys of a kind. */
export function listKeys(kind: releases.EntryKind): readonly string[] {
  return rules[kind].map((rule) => rule.key);
}

/** What a key expects when its value is wrong; undefined when it is right. Only for known keys. */
export function checkField(
  kind: releases.EntryKind,
  key: string,
  text: string,
): string | undefined {
  const rule = rules[kind].find((one) => one.key === key);
  if (rule === undefined)
    return `unknown key; expected one of ${listKeys(kind).join(', ')}`;
  return rule.isValid(text) ? undefined : `expected ${rule.expected}`;
}

/** Lists required keys that aren't given, with what each expects. */
export function listMissing(
  kind: releases.EntryKind,
  given: Fields,
): readonly { readonly key: string; readonly expected: string }[] {
  return rules[kind].filter(
    (rule) => rule.preset === undefined && !given.has(rule.key),
  );
}

/** Adds the defaults of keys that aren't given. */
export function addPresets(
  kind: releases.EntryKind,
  name: string,
  given: Fields,
): Fields {
  const full = new Map<string, string>();
  for (const rule of rules[kind])
    full.set(rule.key, given.get(rule.key) ?? rule.preset?.(given, name) ?? '');
  return full;
}

/** Builds an entry from checked values of all its keys. */
export function buildEntry(
  kind: releases.EntryKind,
  name: string,
  fields: Fields,
): releases.Entry {
  const read = (key: string) => fields.get(key) ?? '';
  const count = (key: string) => Number(read(key));
  switch (kind) {
    case 'service':
      return {
        kind,
        name,
        urgency: read('urgency') as ids.Urgency,
        idempotent: read('idempotent') === 'yes',
        timeoutMs: count('timeout_ms'),
        maxWaitMs: count('max_wait_ms'),
        maxResponseBytes: count('max_response_bytes'),
        backend: read('backend'),
      };
    case 'class':
      return {
        kind,
        name,
        urgency: read('urgency') as ids.Urgency,
        floor: count('floor'),
        idempotent: read('idempotent') === 'yes',
        preemptible: read('preemptible') === 'yes',
        maxWaitMs: count('max_wait_ms'),
      };
    case 'team':
      return {
        kind,
        name,
        quota: {
          cores: count('quota_cores'),
          memoryMb: count('quota_memory_mb'),
          gpus: count('quota_gpus'),
        },
        weight: count('weight'),
      };
    case 'backend':
      return {
        kind,
        name,
        slots: count('slots'),
        connections: count('connections'),
      };
  }
}

/** Writes an entry as the values of its keys; the reverse of `buildEntry`. */
export function formatFields(entry: releases.Entry): Fields {
  const values: readonly (string | number | boolean)[] = listValues(entry);
  return new Map(
    listKeys(entry.kind).map((key, index) => [
      key,
      formatValue(values[index] ?? ''),
    ]),
  );
}

// In the order of `rules`.
function listValues(
  entry: releases.Entry,
): readonly (string | number | boolean)[] {
  switch (entry.kind) {
    case 'service':
      return [
        entry.urgency,
        entry.idempotent,
        entry.timeoutMs,
        entry.maxWaitMs,
        entry.maxResponseBytes,
        entry.backend,
      ];
    case 'class':
      return [
        entry.urgency,
        entry.floor,
        entry.idempotent,
        entry.preemptible,
        entry.maxWaitMs,
      ];
    case 'team':
      return [
        entry.quota.cores,
        entry.quota.memoryMb,
        entry.quota.gpus,
        entry.weight,
      ];
    case 'backend':
      return [entry.slots, entry.connections];
  }
}

function formatValue(value: string | number | boolean): string {
  if (typeof value === 'boolean') return value ? 'yes' : 'no';
  return String(value);
}
