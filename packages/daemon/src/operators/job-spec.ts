/** Reads the JSON of a job, and lists everything that is wrong with it. */
import type * as core from '@flamingoward/core';

/** Result of reading a job. */
export type JobSpecResult =
  { readonly spec: core.jobs.JobSpec } | { readonly faults: readonly string[] };

/** Most tasks of one job. */
export const MAX_TASKS = 100_000;

type Fields = Readonly<Record<string, unknown>>;

const known = [
  'kind',
  'name',
  'team',
  'jobClass',
  'count',
  'size',
  'declaredMs',
  'region',
  'availabilityZone',
  'maxRacks',
  'work',
];

const kinds: readonly string[] = ['batch', 'gang', 'service'];

const maxNameCharacters = 200;

/** Reads a job from a parsed JSON object; what is accepted is the same as at the callers' address. */
export function parseJobSpec(json: Fields): JobSpecResult {
  const full: Fields = {
    team: 'default',
    declaredMs: 0,
    work: {},
    ...json,
    size: addSize(json.size),
  };
  const faults = [
    ...checkUnknown('', full, known),
    ...checkTexts(full),
    ...checkNumbers(full),
    ...checkSize(full.size),
    ...checkWork(full.work),
  ];
  if (faults.length > 0) return { faults };
  return { spec: full as unknown as core.jobs.JobSpec };
}

function isObject(value: unknown): value is Fields {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function addSize(size: unknown): unknown {
  return isObject(size) ? { gpus: 0, ...size } : size;
}

function checkUnknown(
  prefix: string,
  json: Fields,
  keys: readonly string[],
): readonly string[] {
  return Object.keys(json)
    .filter((key) => !keys.includes(key))
    .map(
      (key) => `${prefix}${key}: unknown; expected one of ${keys.join(', ')}`,
    );
}

function isName(value: unknown): boolean {
  return (
    typeof value === 'string' &&
    value !== '' &&
    value.length <= maxNameCharacters
  );
}

function isWhole(value: unknown, least: number, most: number): boolean {
  return Number.isSafeInteger(value) && isBetween(value, least, most);
}

function isBetween(value: unknown, least: number, most: number): boolean {
  return typeof value === 'number' && value >= least && value <= most;
}

function checkTexts(json: Fields): readonly string[] {
  const faults: string[] = [];
  if (!kinds.includes(String(json.kind)))
    faults.push(`kind: expected one of ${kinds.join(', ')}`);
  for (const key of ['name', 'team', 'jobClass'])
    if (!isName(json[key]))
      faults.push(
        `${key}: expected a text of 1 to ${maxNameCharacters} characters`,
      );
  for (const key of ['region', 'availabilityZone'])
    if (json[key] !== undefined && !isName(json[key]))
      faults.push(`${key}: expected a name, or leave it out`);
  return faults;
}

function checkNumbers(json: Fields): readonly string[] {
  const faults: string[] = [];
  if (!isWhole(json.count, 1, MAX_TASKS))
    faults.push(`count: expected a whole number from 1 to ${MAX_TASKS}`);
  const leastMs = json.kind === 'service' ? 0 : Number.MIN_VALUE;
  if (!isBetween(json.declaredMs, leastMs, Number.MAX_VALUE))
    faults.push(
      'declaredMs: expected the run time of a task in ms; only services may leave it out',
    );
  if (json.maxRacks === undefined) return faults;
  if (json.kind !== 'gang') faults.push('maxRacks: only gangs may have it');
  else if (!isWhole(json.maxRacks, 1, Number.MAX_SAFE_INTEGER))
    faults.push('maxRacks: expected a whole number from 1, or leave it out');
  return faults;
}

function checkSize(size: unknown): readonly string[] {
  if (!isObject(size)) return ['size: expected {cores, memoryMb, gpus}'];
  const faults = [
    ...checkUnknown('size.', size, ['cores', 'memoryMb', 'gpus']),
  ];
  for (const key of ['cores', 'memoryMb'])
    if (!isBetween(size[key], Number.MIN_VALUE, Number.MAX_VALUE))
      faults.push(`size.${key}: expected a number above 0`);
  if (!isWhole(size.gpus, 0, Number.MAX_SAFE_INTEGER))
    faults.push('size.gpus: expected a whole number from 0');
  return faults;
}

function checkWork(work: unknown): readonly string[] {
  const isRight =
    isObject(work) &&
    Object.values(work).every((value) =>
      ['string', 'number'].includes(typeof value),
    );
  return isRight
    ? []
    : ['work: expected an object of texts and numbers; the worker reads it'];
}
