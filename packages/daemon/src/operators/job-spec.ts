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

/** Reads a job from a parsed JSON object. */
export function parseJobSpec(json: Fields): JobSpecResult {
  const faults = [
    ...checkUnknown('', json, known),
    ...checkTexts(json),
    ...checkNumbers(json),
    ...checkSize(json.size),
    ...checkWork(json.work),
  ];
  if (faults.length > 0) return { faults };
  return { spec: json as unknown as core.jobs.JobSpec };
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
    typeof value === 'string' && /^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/.test(value)
  );
}

function isWhole(value: unknown, least: number, most: number): boolean {
  return (
    Number.isSafeInteger(value) &&
    (value as number) >= least &&
    (value as number) <= most
  );
}

function checkTexts(json: Fields): readonly string[] {
  const faults: string[] = [];
  if (!kinds.includes(String(json.kind)))
    faults.push(`kind: expected one of ${kinds.join(', ')}`);
  for (const key of ['name', 'team', 'jobClass'])
    if (!isName(json[key]))
      faults.push(
        `${key}: expected a name of at most 63 letters, digits, "-", "_" and "."`,
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
  if (!isWhole(json.declaredMs, 0, 31_536_000_000))
    faults.push(
      'declaredMs: expected the run time of a task as a whole number of ms; 0 for services',
    );
  if (json.maxRacks !== undefined && !isWhole(json.maxRacks, 1, 100_000))
    faults.push('maxRacks: expected a whole number from 1, or leave it out');
  return faults;
}

function checkSize(size: unknown): readonly string[] {
  const expected = 'size: expected {cores, memoryMb, gpus}';
  if (typeof size !== 'object' || size === null) return [expected];
  const { cores, memoryMb, gpus } = size as Fields;
  const faults = [
    ...checkUnknown('size.', size as Fields, ['cores', 'memoryMb', 'gpus']),
  ];
  if (typeof cores !== 'number' || !(cores >= 0 && cores <= 1e6))
    faults.push('size.cores: expected a number from 0');
  if (!isWhole(memoryMb, 0, 1e12))
    faults.push('size.memoryMb: expected a whole number of MB from 0');
  if (!isWhole(gpus, 0, 1e6))
    faults.push('size.gpus: expected a whole number from 0');
  if (faults.length === 0 && cores === 0 && memoryMb === 0 && gpus === 0)
    faults.push('size: expected a need of at least one resource');
  return faults;
}

function checkWork(work: unknown): readonly string[] {
  const expected =
    'work: expected an object of texts and numbers; the worker reads it';
  if (typeof work !== 'object' || work === null || Array.isArray(work))
    return [expected];
  return Object.values(work).every(
    (value) => typeof value === 'string' || typeof value === 'number',
  )
    ? []
    : [expected];
}
