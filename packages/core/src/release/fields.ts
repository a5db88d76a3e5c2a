/**
 * The keys that each kind of entry has in a release note: allowed values, defaults,
 * and the conversion between text values and entries.
 */
import type * as ids from '../types/ids.js';
import type * as releases from '../types/release.js';
import * as names from '../settings/names.js';

/** Text values by key, in the order in which they are printed. */
export type Fields = ReadonlyMap<string, string>;

/** The rule for one key. */
interface FieldRule {
  readonly key: string;
  /** Description of the allowed values, for messages. */
  readonly expected: string;
  /** Returns the value of a key that is left out; absent if the key is required. */
  readonly getDefault?: (given: Fields, name: string) => string;
  isValid(text: string): boolean;
}

/** All kinds of entries, in the order used in messages. */
export const entryKinds: readonly releases.EntryKind[] = [
  'service',
  'class',
  'team',
  'backend',
];

const defaultFloors: Readonly<Record<ids.Urgency, string>> = {
  urgent: '0.5',
  normal: '0.2',
  deferrable: '0.1',
};

function createRule(
  key: string,
  expected: string,
  isValid: (text: string) => boolean,
  getDefault?: FieldRule['getDefault'],
): FieldRule {
  return {
    key,
    expected,
    isValid,
    ...(getDefault && { getDefault }),
  };
}

function createWholeNumber(
  key: string,
  unit: string,
  least: number,
  most: number,
  getDefault?: FieldRule['getDefault'],
): FieldRule {
  const expected = `a whole number of ${unit} from ${least} to ${most}, without a unit`;
  const isValid = (text: string) =>
    /^[0-9]{1,15}$/.test(text) && isBetween(Number(text), least, most);
  return createRule(key, expected, isValid, getDefault);
}

function createDecimal(
  key: string,
  least: number,
  most: number,
  getDefault?: FieldRule['getDefault'],
): FieldRule {
  const expected = `a number from ${least} to ${most}, such as 0.5`;
  const isValid = (text: string) =>
    /^[0-9]{1,9}(\.[0-9]{1,6})?$/.test(text) &&
    isBetween(Number(text), least, most);
  return createRule(key, expected, isValid, getDefault);
}

function createFlag(
  key: string,
  getDefault?: FieldRule['getDefault'],
): FieldRule {
  return createRule(
    key,
    'yes or no',
    (text) => /^(yes|no)$/.test(text),
    getDefault,
  );
}

function isBetween(value: number, least: number, most: number): boolean {
  return value >= least && value <= most;
}

const urgency = createRule('urgency', 'urgent, normal or deferrable', (text) =>
  Object.hasOwn(defaultFloors, text),
);

const rules: Readonly<Record<releases.EntryKind, readonly FieldRule[]>> = {
  service: [
    urgency,
    createFlag('idempotent'),
    createWholeNumber('timeout_ms', 'ms', 1, 3_600_000),
    createWholeNumber('max_wait_ms', 'ms', 0, 3_600_000, () => '5000'),
    createWholeNumber(
      'max_response_bytes',
      'bytes',
      1,
      67_108_864,
      () => '1048576',
    ),
    createRule(
      'backend',
      names.plainNameText,
      names.isPlainName,
      (_, name) => name,
    ),
  ],
  class: [
    urgency,
    createDecimal('floor', 0, 1, (given) => getDefaultFloor(given)),
    createFlag('idempotent', () => 'yes'),
    createFlag('preemptible', (given) =>
      given.get('urgency') === 'deferrable' ? 'yes' : 'no',
    ),
    createWholeNumber('max_wait_ms', 'ms', 0, 604_800_000, () => '86400000'),
  ],
  team: [
    createDecimal('quota_cores', 0, 10_000_000),
    createWholeNumber('quota_memory_mb', 'MB', 0, 100_000_000_000),
    createWholeNumber('quota_gpus', 'GPUs', 0, 1_000_000, () => '0'),
    createDecimal('weight', 0.001, 1_000, () => '1'),
  ],
  backend: [
    createWholeNumber('slots', 'requests', 1, 100_000),
    createWholeNumber('connections', 'connections', 1, 100_000),
  ],
};

function getDefaultFloor(given: Fields): string {
  const name = given.get('urgency') ?? '';
  return Object.hasOwn(defaultFloors, name)
    ? defaultFloors[name as ids.Urgency]
    : '0';
}

/** Lists the keys of a kind, in the order in which they are printed. */
export function listKeys(kind: releases.EntryKind): readonly string[] {
  return rules[kind].map((rule) => rule.key);
}

/** Returns the fault of a key's value, or of an unknown key; undefined if the value is valid. */
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

/** Lists the required keys that are missing, with their allowed values. */
export function listMissing(
  kind: releases.EntryKind,
  given: Fields,
): readonly { readonly key: string; readonly expected: string }[] {
  return rules[kind].filter(
    (rule) => rule.getDefault === undefined && !given.has(rule.key),
  );
}

/** Returns the values of all keys of a kind, with defaults for those that are missing. */
export function addDefaults(
  kind: releases.EntryKind,
  name: string,
  given: Fields,
): Fields {
  const full = new Map<string, string>();
  for (const rule of rules[kind])
    full.set(
      rule.key,
      given.get(rule.key) ?? rule.getDefault?.(given, name) ?? '',
    );
  return full;
}

/** Builds an entry from the values of all its keys, which have been checked. */
export function buildEntry(
  kind: releases.EntryKind,
  name: string,
  fields: Fields,
): releases.Entry {
  const getText = (key: string) => fields.get(key) ?? '';
  const getNumber = (key: string) => Number(getText(key));
  switch (kind) {
    case 'service':
      return {
        kind,
        name,
        urgency: getText('urgency') as ids.Urgency,
        idempotent: getText('idempotent') === 'yes',
        timeoutMs: getNumber('timeout_ms'),
        maxWaitMs: getNumber('max_wait_ms'),
        maxResponseBytes: getNumber('max_response_bytes'),
        backend: getText('backend'),
      };
    case 'class':
      return {
        kind,
        name,
        urgency: getText('urgency') as ids.Urgency,
        floor: getNumber('floor'),
        idempotent: getText('idempotent') === 'yes',
        preemptible: getText('preemptible') === 'yes',
        maxWaitMs: getNumber('max_wait_ms'),
      };
    case 'team':
      return {
        kind,
        name,
        quota: {
          cores: getNumber('quota_cores'),
          memoryMb: getNumber('quota_memory_mb'),
          gpus: getNumber('quota_gpus'),
        },
        weight: getNumber('weight'),
      };
    case 'backend':
      return {
        kind,
        name,
        slots: getNumber('slots'),
        connections: getNumber('connections'),
      };
  }
}

/** Formats an entry as text values of its keys; the reverse of `buildEntry`. */
export function formatFields(entry: releases.Entry): Fields {
  const values: readonly (string | number | boolean)[] = listValues(entry);
  return new Map(
    listKeys(entry.kind).map((key, index) => [
      key,
      formatValue(values[index] ?? ''),
    ]),
  );
}

// The order must be that of the kind's keys in `rules`.
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
