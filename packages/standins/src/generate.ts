/** Generates the example traces: the same customer, seed and duration give the same trace. */
import * as uniform from 'pure-rand/distribution/uniformInt';
import * as generators from 'pure-rand/generator/xoroshiro128plus';
import type * as traces from './trace.js';

/** Customers of the examples. */
export type Customer = 'sayeban' | 'nilewave';

/** Arrival rate and constructor of one kind of event. */
interface EventPlan {
  /** Mean arrival rate. */
  readonly perSecond: number;
  readonly create: (
    random: RandomInteger,
    atMs: number,
    serial: number,
  ) => Event;
}

type Event = traces.RequestLine | traces.JobLine;

/** Returns a uniformly distributed integer from `from` to `to`, both included. */
type RandomInteger = (from: number, to: number) => number;

/** Generates the trace of a customer. */
export function generateTrace(
  customer: Customer,
  seed: number,
  durationMs: number,
): traces.Trace {
  const generator = generators.xoroshiro128plus(seed);
  const random: RandomInteger = (from, to) =>
    uniform.uniformInt(generator, from, to);
  const plans = customer === 'sayeban' ? sayebanPlans : nilewavePlans;
  const events: traces.EventLine[] = plans.flatMap((plan) =>
    generateEvents(plan, random, durationMs),
  );
  events.push(...listServiceJobEvents(customer, durationMs));
  events.sort((a, b) => a.atMs - b.atMs);
  return {
    head: { type: 'trace', version: 1, customer, seed, durationMs },
    events,
  };
}

/** Interarrival times are uniform from 0 to twice the mean, so that some arrivals come in small bursts. */
function generateEvents(
  plan: EventPlan,
  random: RandomInteger,
  durationMs: number,
): Event[] {
  const events: Event[] = [];
  const gapMs = 1_000 / plan.perSecond;
  let atMs = random(0, Math.round(2 * gapMs));
  while (atMs < durationMs) {
    events.push(plan.create(random, atMs, events.length + 1));
    atMs += random(0, Math.round(2 * gapMs));
  }
  return events;
}

/** A service job that runs for nearly the whole trace, and its cancellation. */
function listServiceJobEvents(
  customer: Customer,
  durationMs: number,
): traces.EventLine[] {
  const isSayeban = customer === 'sayeban';
  const id = `${customer}-standing-1`;
  return [
    {
      type: 'job',
      atMs: 100,
      id,
      label: 'standing',
      spec: {
        kind: 'service',
        name: isSayeban ? 'customer-portal' : 'catalogue-index',
        team: isSayeban ? 'roof' : 'catalogue',
        jobClass: isSayeban ? 'portal' : 'catalogue',
        count: 4,
        size: { cores: 2, memoryMb: 2_048, gpus: 0 },
        declaredMs: 0,
        work: {},
      },
    },
    { type: 'cancel', atMs: durationMs - 500, job: id },
  ];
}

const sayebanPlans: readonly EventPlan[] = [
  {
    perSecond: 100,
    create: (random, atMs, serial) =>
      createIdempotentRequest('quote', 'fitting-desk', 'quotes', atMs, serial, {
        workMs: random(10, 90),
        responseBytes: random(200, 4_000),
      }),
  },
  {
    perSecond: 8,
    create: (random, atMs, serial) =>
      createKeyedRequest('order', 'fitting-desk', 'orders', atMs, serial, {
        workMs: random(30, 150),
        responseBytes: random(100, 500),
      }),
  },
  {
    perSecond: 10,
    create: (random, atMs, serial) =>
      createIdempotentRequest(
        'preview',
        'design-studio',
        'previews',
        atMs,
        serial,
        {
          workMs: random(100, 500),
          responseBytes: random(2_000, 40_000),
        },
      ),
  },
  {
    perSecond: 3,
    create: (random, atMs, serial) =>
      createJob('cutting-list', atMs, serial, {
        ...createBatch(random, 'cutting', 'workshop', [1, 4]),
        size: { cores: random(1, 4), memoryMb: 1_024 * random(1, 4), gpus: 0 },
        ...createDurations(random, 300, 1_500),
      }),
  },
  {
    perSecond: 3,
    create: (random, atMs, serial) =>
      createJob('render', atMs, serial, {
        ...createBatch(random, 'render', 'studio', [2, 10]),
        size: { cores: random(2, 8), memoryMb: 1_024 * random(2, 12), gpus: 0 },
        ...createDurations(random, 1_000, 5_000),
      }),
  },
  {
    perSecond: 0.4,
    create: (random, atMs, serial) =>
      createJob('wind-load', atMs, serial, {
        ...createGang(random, 'render', 'studio', [2, 4]),
        size: { cores: 16, memoryMb: 32_768, gpus: 4 },
        ...createDurations(random, 1_500, 4_000),
      }),
  },
];

const nilewavePlans: readonly EventPlan[] = [
  {
    perSecond: 40,
    create: (random, atMs, serial) =>
      createIdempotentRequest('title-check', 'ingest', 'titles', atMs, serial, {
        workMs: random(10, 120),
        responseBytes: random(200, 6_000),
      }),
  },
  {
    perSecond: 4,
    create: (random, atMs, serial) =>
      createKeyedRequest(
        'paid-transcode',
        'ingest',
        'transcodes',
        atMs,
        serial,
        {
          workMs: random(50, 300),
          responseBytes: random(100, 500),
        },
      ),
  },
  {
    perSecond: 8,
    create: (random, atMs, serial) =>
      createIdempotentRequest(
        'subtitle',
        'enhance',
        'subtitles',
        atMs,
        serial,
        {
          workMs: random(100, 600),
          responseBytes: random(1_000, 20_000),
        },
      ),
  },
  {
    perSecond: 4,
    create: (random, atMs, serial) =>
      createJob('ingest-check', atMs, serial, {
        ...createBatch(random, 'ingest-check', 'ingest', [1, 3]),
        size: { cores: random(1, 2), memoryMb: 1_024 * random(1, 4), gpus: 0 },
        ...createDurations(random, 200, 1_000),
      }),
  },
  {
    perSecond: 3,
    create: (random, atMs, serial) =>
      createJob('transcode', atMs, serial, {
        ...createBatch(random, 'transcode', 'ingest', [1, 6]),
        size: {
          cores: random(4, 12),
          memoryMb: 1_024 * random(4, 32),
          gpus: 0,
        },
        ...createDurations(random, 1_000, 4_000),
      }),
  },
  {
    perSecond: 0.7,
    create: (random, atMs, serial) =>
      createJob('enhance', atMs, serial, {
        ...createGang(random, 'enhance', 'enhancement', [2, 5]),
        size: { cores: 8, memoryMb: 32_768, gpus: random(1, 4) },
        ...createDurations(random, 1_500, 4_000),
      }),
  },
];

/** A request that may be repeated; the backend server takes its service time and response size from the query. */
function createIdempotentRequest(
  label: string,
  service: string,
  path: string,
  atMs: number,
  serial: number,
  work: { readonly workMs: number; readonly responseBytes: number },
): traces.RequestLine {
  const id = `${label}-${serial}`;
  return {
    type: 'request',
    atMs,
    id,
    label,
    service,
    method: 'GET',
    path: `/${path}/${serial}`,
    ...work,
  };
}

/** A request with an idempotency key, which must run at most once. */
function createKeyedRequest(
  ...request: Parameters<typeof createIdempotentRequest>
): traces.RequestLine {
  const line = createIdempotentRequest(...request);
  return { ...line, method: 'POST', path: `/${request[2]}`, key: line.id };
}

type Spec = traces.JobLine['spec'];

function createJob(
  label: string,
  atMs: number,
  serial: number,
  spec: Omit<Spec, 'name'>,
): traces.JobLine {
  const id = `${label}-${serial}`;
  return { type: 'job', atMs, id, label, spec: { ...spec, name: id } };
}

function createBatch(
  random: RandomInteger,
  jobClass: string,
  team: string,
  [from, to]: readonly [number, number],
): Pick<Spec, 'kind' | 'jobClass' | 'team' | 'count'> {
  return { kind: 'batch', jobClass, team, count: random(from, to) };
}

function createGang(
  ...batch: Parameters<typeof createBatch>
): Pick<Spec, 'kind' | 'jobClass' | 'team' | 'count'> {
  return { ...createBatch(...batch), kind: 'gang' };
}

/** The declared run time is 0.33 to 3 times the actual one. */
function createDurations(
  random: RandomInteger,
  fromMs: number,
  toMs: number,
): Pick<Spec, 'declaredMs' | 'work'> {
  const actualMs = random(fromMs, toMs);
  const declaredMs = Math.round((actualMs * random(33, 300)) / 100);
  return { declaredMs, work: { actualMs } };
}
