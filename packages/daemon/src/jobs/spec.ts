/** Parses and validates the JSON description of a job that callers and operators submit. */
import * as zod from 'zod';
import type * as core from '@flamingoward/core';

const DEFAULT_TEAM = 'default';
const MAX_TASKS = 100_000;

const name = zod.string().min(1).max(200);

const schema = zod.strictObject({
  kind: zod.enum(['batch', 'gang', 'service']),
  name,
  team: name.optional(),
  jobClass: name,
  count: zod.int().min(1).max(MAX_TASKS),
  size: zod.strictObject({
    cores: zod.number().positive(),
    memoryMb: zod.number().positive(),
    gpus: zod.int().min(0).default(0),
  }),
  declaredMs: zod.number().min(0).default(0),
  region: name.optional(),
  availabilityZone: name.optional(),
  maxRacks: zod.int().min(1).optional(),
  work: zod
    .record(zod.string(), zod.union([zod.string(), zod.number()]))
    .default({}),
});

/** Result of parsing a request body. */
export type ParsedJob =
  | { readonly parsed: true; readonly spec: core.jobs.JobSpec }
  | { readonly parsed: false; readonly faults: readonly string[] };

/** Parses a body. On failure all faults are listed, each with the path of its field. */
export function parseJobSpec(
  body: Uint8Array,
  team: core.ids.TeamName | undefined,
): ParsedJob {
  const json = parseJson(body);
  if ('fault' in json) return { parsed: false, faults: [json.fault] };
  const result = schema.safeParse(json.value);
  const faults = [
    ...listSchemaFaults(result.error),
    ...listFieldConflicts(json.value),
  ];
  return result.success && faults.length === 0
    ? { parsed: true, spec: createSpec(result.data, team) }
    : { parsed: false, faults };
}

function listSchemaFaults(error: zod.ZodError | undefined): readonly string[] {
  return (error?.issues ?? []).map(
    ({ path, message }) =>
      `${path.length === 0 ? 'body' : path.join('.')}: ${message}`,
  );
}

function parseJson(
  body: Uint8Array,
): { readonly value: unknown } | { readonly fault: string } {
  try {
    const text = new TextDecoder('utf-8', { fatal: true }).decode(body);
    return { value: JSON.parse(text) as unknown };
  } catch (error) {
    const cause = error instanceof Error ? error.message : String(error);
    return { fault: `body: not valid JSON in UTF-8: ${cause}` };
  }
}

function createSpec(
  data: zod.infer<typeof schema>,
  team: core.ids.TeamName | undefined,
): core.jobs.JobSpec {
  const { region, availabilityZone, maxRacks } = data;
  return {
    kind: data.kind,
    name: data.name,
    team: data.team ?? team ?? DEFAULT_TEAM,
    jobClass: data.jobClass,
    count: data.count,
    size: data.size,
    declaredMs: data.declaredMs,
    work: data.work,
    ...(region === undefined ? {} : { region }),
    ...(availabilityZone === undefined ? {} : { availabilityZone }),
    ...(maxRacks === undefined ? {} : { maxRacks }),
  };
}

/**
 * Lists missing or disallowed combinations of fields. Works on the raw JSON, so that they
 * are reported together with the schema's faults.
 */
function listFieldConflicts(json: unknown): readonly string[] {
  if (typeof json !== 'object' || json === null) return [];
  const { kind, declaredMs, maxRacks } = json as Partial<core.jobs.JobSpec>;
  const faults: string[] = [];
  const isWithoutDuration = declaredMs === undefined || declaredMs === 0;
  if (kind !== 'service' && isWithoutDuration)
    faults.push('declaredMs: required for batch and gang jobs, in ms');
  if (kind !== 'gang' && maxRacks !== undefined)
    faults.push('maxRacks: only gang jobs may have it');
  return faults;
}
