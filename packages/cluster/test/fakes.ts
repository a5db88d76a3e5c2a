/** Fakes of a node's ports: a log store in memory, and stubs that a test replaces. */
import * as core from '@flamingoward/core';
import type * as claims from '../src/claims.js';
import type * as contexts from '../src/context.js';
import type * as owners from '../src/owner.js';
import type * as ports from '../src/ports.js';

/** A keyed stream in memory; reads wait for records as those of the store do. */
export interface FakeStream extends ports.StreamSource {
  readonly records: ports.KeyedRecord[];
  add(key: string, value: string | undefined): number;
  /** Reads that begin while this is set time out. */
  unresponsive: boolean;
  /** Reason with which reads and appends fail; undefined when they succeed. */
  failure: string | undefined;
}

/** Creates a stream. */
export function createFakeStream(timers: core.TimerService): FakeStream {
  const records: ports.KeyedRecord[] = [];
  let waitingReaders: (() => void)[] = [];

  const stream: FakeStream = {
    records,
    unresponsive: false,
    failure: undefined,
    add(key, value) {
      records.push({ offset: records.length, key, value });
      const readers = waitingReaders;
      waitingReaders = [];
      for (const wake of readers) wake();
      return records.length - 1;
    },
    async read(from, { waitMs, timeoutMs }) {
      if (stream.unresponsive) {
        await core.waitFor(timers, 'fake.no-answer', waitMs + timeoutMs);
        return { outcome: 'failed', why: 'no answer' };
      }
      if (stream.failure !== undefined)
        return { outcome: 'failed', why: stream.failure };
      if (from >= records.length && waitMs > 0)
        await Promise.race([
          core.waitFor(timers, 'fake.read', waitMs),
          new Promise<void>((resolve) => waitingReaders.push(resolve)),
        ]);
      const found = records.slice(from);
      return {
        outcome: 'records',
        records: found,
        next: from + found.length,
        end: records.length,
      };
    },
    readNewest() {
      if (stream.failure !== undefined)
        return Promise.resolve({ outcome: 'failed', why: stream.failure });
      const newest = new Map<string, ports.KeyedRecord>();
      for (const record of records) newest.set(record.key, record);
      return Promise.resolve({
        outcome: 'newest',
        records: [...newest.values()].filter(
          ({ value }) => value !== undefined,
        ),
        next: records.length,
      });
    },
  };
  return stream;
}

/** A log store in memory that checks conditions and epochs of writers. */
export interface FakeStore extends ports.LogStore {
  readonly streams: Readonly<Record<ports.StreamName, FakeStream>>;
  /** Called before each append; a result that it returns replaces that of the append. */
  intercept:
    | ((
        stream: ports.StreamName,
        records: readonly ports.NewRecord[],
      ) => Promise<ports.AppendResult> | undefined)
    | undefined;
}

/** Creates a store. */
export function createFakeStore(timers: core.TimerService): FakeStore {
  const streams = {
    claims: createFakeStream(timers),
    jobs: createFakeStream(timers),
    progress: createFakeStream(timers),
  };
  const epochs = new Map<string, number>();

  const store: FakeStore = {
    streams,
    intercept: undefined,
    async append(name, records, options) {
      const interceptedResult = store.intercept?.(name, records);
      if (interceptedResult !== undefined) return interceptedResult;
      const stream = streams[name];
      if (stream.failure !== undefined)
        return { outcome: 'refused', why: stream.failure };
      await core.waitFor(timers, 'fake.append', 2);
      const end = stream.records.length;
      if (options.expectedEnd !== undefined && options.expectedEnd !== end)
        return { outcome: 'conflict', end };
      const epoch = options.writer?.epoch;
      if (epoch !== undefined) {
        if (epoch < (epochs.get(name) ?? 0)) return { outcome: 'fenced' };
        epochs.set(name, epoch);
      }
      for (const { key, value } of records) stream.add(key, value);
      return { outcome: 'appended', offset: end, end: stream.records.length };
    },
    openStream: (name) => streams[name],
  };
  return store;
}

/** A logged line. */
export interface LoggedLine {
  readonly event: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

/** A node's context with fakes as ports. */
export interface FakeContext extends contexts.NodeContext {
  readonly lines: LoggedLine[];
  readonly fakeTimers: core.VirtualTimers;
  readonly store: FakeStore;
  readonly configuration: FakeStream;
}

/** Creates a context; nodes of one cluster share timers and store. */
export function createFakeContext(
  shared: {
    readonly timers?: core.VirtualTimers;
    readonly store?: FakeStore;
  } = {},
  name = 'node-1',
): FakeContext {
  const fakeTimers = shared.timers ?? core.createVirtualTimers(10_000);
  const store = shared.store ?? createFakeStore(fakeTimers);
  const configuration = createFakeStream(fakeTimers);
  const lines: LoggedLine[] = [];
  const unused = () => {
    throw new Error('not used by this test');
  };
  return {
    lines,
    fakeTimers,
    store,
    configuration,
    timers: fakeTimers,
    instance: `instance-of-${name}`,
    getRandom: () => 0.5,
    log: {
      write: (_, event, fields) => {
        lines.push({ event, fields });
      },
    },
    metrics: {
      count: () => undefined,
      record: () => undefined,
      set: () => undefined,
      render: () => '',
    },
    settings: {
      name,
      region: 'region',
      availabilityZone: 'zone',
      logLevel: 'debug',
      listen: {
        callers: '127.0.0.1:1',
        readiness: '127.0.0.1:2',
        links: `${name}:3`,
        metrics: '127.0.0.1:4',
      },
      logStoreAddress: '127.0.0.1:5',
      maxAppendBytes: 1_048_576,
      maxRecordBytes: 262_144,
      adviceAddress: '',
      cores: 1,
      runTimes: 'declared',
      memoryMb: 250,
      maxDescriptors: 4_096,
      leaseMs: 6_000,
      runStopMs: 900,
      stopMs: 6_000,
    },
    ports: {
      store,
      configuration: {
        ...configuration,
        read: (from, options) => configuration.read(from, options),
        readNewest: (timeoutMs) => configuration.readNewest(timeoutMs),
        decode: ({ value }) =>
          value === undefined
            ? undefined
            : {
                readable: true,
                value: JSON.parse(value) as ports.Configuration,
              },
      },
      vms: {
        ...createFakeStream(fakeTimers),
        decode: () => ({
          readable: false,
          reason: 'fields',
          why: 'not used',
        }),
      },
      vmCalls: {
        hold: unused,
        start: unused,
        stop: unused,
        pace: unused,
        drop: unused,
      },
      advice: { ask: unused },
      decodeSubmission: () => ({ readable: false, why: 'not used' }),
      createServer: unused,
    },
  };
}

/** Creates what a new owner at 10 s knows of a previous one that granted leases of 6 s until `lastOrderMs`. */
export function createPreviousOwner(
  given: Partial<claims.PreviousOwner>,
  lastOrderMs: number,
): claims.PreviousOwner {
  return {
    unrecorded: false,
    inactive: true,
    owners: [
      {
        node: 'node-0',
        instance: 'node-0-1',
        leaseMs: 6_000,
        lastOrderMs,
        claimEndMs: Infinity,
      },
    ],
    silentVms: new Map(),
    lastEnds: new Map(),
    ...given,
  };
}

/** Policy of a queue whose work needs no advice. */
export const queuePolicy: core.workloads.QueuePolicy = {
  name: 'queue',
  pool: 'pool',
  priority: 0,
  attempts: 1,
  stretch: 1,
  slackMs: 0,
  advice: undefined,
};

/** Advances the timers in small steps and lets promises settle after each. */
export async function advance(
  timers: core.VirtualTimers,
  byMs: number,
): Promise<void> {
  const STEP_MS = 10;
  for (let passed = 0; passed < byMs; passed += STEP_MS) {
    timers.advance(STEP_MS);
    for (let turn = 0; turn < 20; turn += 1) await Promise.resolve();
  }
}

/** Builds the entry of a sound VM with the address `<id>:1`. */
export function buildVmEntry(
  id: core.ids.VmId,
  given: Partial<core.workloads.VmEntry> = {},
): core.workloads.VmEntry {
  return {
    id,
    address: `${id}:1`,
    incarnation: 1,
    pool: 'pool',
    availabilityZone: 'zone',
    rack: undefined,
    labels: [],
    capacity: { cores: 4, memoryMb: 4_000, gpus: 0 },
    draining: false,
    ...given,
  };
}

/** Dependencies of an owner whose claim is always confirmed, without advice and queues. */
export const ownerDependencies = {
  storeLostMs: -Infinity,
  unconfirmedLimitMs: 10_000,
  adviceRouter: {
    ask: () => Promise.resolve(undefined),
    listHelpers: () => [],
  },
  getPolicies: () => ({ version: 1, policies: new Map() }),
  getConfirmedAge: () => 0,
  getLongestConfirmedAge: () => 0,
  onAppendFailed: () => undefined,
  onFenced: () => undefined,
  onFailed: () => undefined,
} satisfies Partial<owners.OwnerOptions>;
