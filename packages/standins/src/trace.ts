/** Recorded traces: what callers did, one JSON line for each event. docs/traces.md describes the lines. */
import * as fs from 'node:fs';
import * as zod from 'zod';

const ms = zod.number().nonnegative();

const headLine = zod.strictObject({
  type: zod.literal('trace'),
  version: zod.literal(1),
  customer: zod.string(),
  seed: zod.number().int(),
  durationMs: ms,
});

const requestLine = zod.strictObject({
  type: zod.literal('request'),
  atMs: ms,
  id: zod.string(),
  /** What the report groups by. */
  label: zod.string(),
  service: zod.string(),
  method: zod.enum(['GET', 'POST']),
  path: zod.string(),
  /** Present for requests that must run at most once. */
  key: zod.string().optional(),
  workMs: ms,
  responseBytes: ms,
});

const resources = zod.strictObject({
  cores: zod.number().nonnegative(),
  memoryMb: zod.number().nonnegative(),
  gpus: zod.number().int().nonnegative(),
});

const jobLine = zod.strictObject({
  type: zod.literal('job'),
  atMs: ms,
  id: zod.string(),
  label: zod.string(),
  spec: zod.strictObject({
    kind: zod.enum(['batch', 'gang', 'service']),
    name: zod.string(),
    team: zod.string(),
    jobClass: zod.string(),
    count: zod.number().int().positive(),
    size: resources,
    declaredMs: ms,
    region: zod.string().optional(),
    availabilityZone: zod.string().optional(),
    maxRacks: zod.number().int().positive().optional(),
    work: zod.record(zod.string(), zod.union([zod.string(), zod.number()])),
  }),
});

const cancelLine = zod.strictObject({
  type: zod.literal('cancel'),
  atMs: ms,
  /** Id of the job's line. */
  job: zod.string(),
});

const eventLine = zod.discriminatedUnion('type', [
  requestLine,
  jobLine,
  cancelLine,
]);

/** First line of a trace. */
export type TraceHead = zod.infer<typeof headLine>;
/** A request of a caller. */
export type RequestLine = zod.infer<typeof requestLine>;
/** A job of a caller. */
export type JobLine = zod.infer<typeof jobLine>;
/** A cancellation of a job. */
export type CancelLine = zod.infer<typeof cancelLine>;
/** Any line after the first. */
export type EventLine = zod.infer<typeof eventLine>;

/** A whole trace; the events are in order of time. */
export interface Trace {
  readonly head: TraceHead;
  readonly events: readonly EventLine[];
}

/** Reads and checks a trace; throws an error that names file and line. */
export function loadTrace(file: string): Trace {
  return parseTrace(fs.readFileSync(file, 'utf8'), file);
}

/** Parses a trace; `file` is for error messages. */
export function parseTrace(text: string, file: string): Trace {
  const [first = '', ...rest] = text.trimEnd().split('\n');
  const head = parseLine(headLine, first, file, 1);
  const events = rest.map((line, at) =>
    parseLine(eventLine, line, file, at + 2),
  );
  return { head, events };
}

/** Writes a trace in the format that `parseTrace` reads. */
export function formatTrace(trace: Trace): string {
  const lines = [trace.head, ...trace.events].map((line) =>
    JSON.stringify(line),
  );
  return `${lines.join('\n')}\n`;
}

function parseLine<Line>(
  schema: zod.ZodType<Line>,
  text: string,
  file: string,
  number: number,
): Line {
  const parsed = schema.safeParse(JSON.parse(text));
  if (parsed.success) return parsed.data;
  throw new Error(`${file}:${number}: ${zod.prettifyError(parsed.error)}`);
}
