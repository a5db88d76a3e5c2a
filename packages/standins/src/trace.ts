/** Recorded traces of what callers did: one JSON line per event. docs/traces.md describes the format. */
import * as fs from 'node:fs';
import * as zod from 'zod';

const nonnegative = zod.number().nonnegative();

const headLine = zod.strictObject({
  type: zod.literal('trace'),
  version: zod.literal(1),
  customer: zod.string(),
  seed: zod.number().int(),
  durationMs: nonnegative,
});

const requestLine = zod.strictObject({
  type: zod.literal('request'),
  atMs: nonnegative,
  id: zod.string(),
  /** Group in the report. */
  label: zod.string(),
  service: zod.string(),
  method: zod.enum(['GET', 'POST']),
  path: zod.string(),
  /** Idempotency key; present for requests that must run at most once. */
  key: zod.string().optional(),
  workMs: nonnegative,
  responseBytes: nonnegative,
});

const resources = zod.strictObject({
  cores: zod.number().nonnegative(),
  memoryMb: zod.number().nonnegative(),
  gpus: zod.number().int().nonnegative(),
});

const jobLine = zod.strictObject({
  type: zod.literal('job'),
  atMs: nonnegative,
  id: zod.string(),
  label: zod.string(),
  spec: zod.strictObject({
    kind: zod.enum(['batch', 'gang', 'service']),
    name: zod.string(),
    team: zod.string(),
    jobClass: zod.string(),
    count: zod.number().int().positive(),
    size: resources,
    declaredMs: nonnegative,
    region: zod.string().optional(),
    availabilityZone: zod.string().optional(),
    maxRacks: zod.number().int().positive().optional(),
    work: zod.record(zod.string(), zod.union([zod.string(), zod.number()])),
  }),
});

const cancelLine = zod.strictObject({
  type: zod.literal('cancel'),
  atMs: nonnegative,
  /** Id of the job line to cancel. */
  job: zod.string(),
});

const eventLine = zod.discriminatedUnion('type', [
  requestLine,
  jobLine,
  cancelLine,
]);

/** First line of a trace. */
export type TraceHead = zod.infer<typeof headLine>;
/** A request to a service. */
export type RequestLine = zod.infer<typeof requestLine>;
/** A submitted job. */
export type JobLine = zod.infer<typeof jobLine>;
/** A cancellation of a submitted job. */
export type CancelLine = zod.infer<typeof cancelLine>;
/** Any line after the first. */
export type EventLine = zod.infer<typeof eventLine>;

/** A complete trace; the events are sorted by time. */
export interface Trace {
  readonly head: TraceHead;
  readonly events: readonly EventLine[];
}

/** Reads and validates a trace; throws an error that names the file and the line. */
export function loadTrace(file: string): Trace {
  return parseTrace(fs.readFileSync(file, 'utf8'), file);
}

/** Parses a trace; `file` is the name in error messages. */
export function parseTrace(text: string, file: string): Trace {
  const [first = '', ...rest] = text.trimEnd().split('\n');
  const head = parseLine(headLine, first, file, 1);
  const events = rest.map((line, at) =>
    parseLine(eventLine, line, file, at + 2),
  );
  return { head, events };
}

/** Formats a trace as text that `parseTrace` accepts. */
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
