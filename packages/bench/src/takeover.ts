/**
 * Cost of a workers shard by the number of workers: the take-over, and the sync loop
 * at rest. Workers, log and time are fakes in this process, so the figures hold the
 * owner's own work and the bodies of the calls, without HTTP and TCP.
 */
import * as core from '@flamingoward/core';
import * as daemon from '@flamingoward/daemon';

/** What to measure. */
export interface TakeoverOptions {
  /** Numbers of workers, one row each. */
  readonly workers: readonly number[];
  readonly tasksPerWorker: number;
  /** Virtual time at rest in each row. */
  readonly restMs: number;
}

/** Measurements at one number of workers. */
export interface TakeoverRow {
  readonly workers: number;
  /** Virtual time from the gain of ownership until no task is held, in ms. */
  readonly settledMs: number;
  /** Processor time of the take-over, in ms. */
  readonly takeoverCpuMs: number;
  /** Short calls that were open at a time. */
  readonly openCalls: number;
  /** At rest, per worker and second of virtual time. */
  readonly callsPerSecond: number;
  readonly bytesPerSecond: number;
  /** Processor time at rest, per worker and second of virtual time, in microseconds. */
  readonly cpuMicros: number;
  /** Heap at rest beyond the heap before, per worker, in bytes; exact only with --expose-gc. */
  readonly heapBytes: number;
}

/** Measurements of all rows and their slopes per worker, by least squares. */
export interface TakeoverResult {
  readonly rows: readonly TakeoverRow[];
  /** Bytes per second that each further worker adds. */
  readonly bytesSlope: number;
  /** Processor time per second that each further worker adds, in microseconds. */
  readonly cpuSlopeMicros: number;
  /** Heap that each further worker adds, in bytes. */
  readonly heapSlope: number;
}

const defaults: TakeoverOptions = {
  workers: [34, 340, 2_800],
  tasksPerWorker: 4,
  restMs: 30_000,
};

const STEP_MS = 10;

/** Virtual time after which a take-over that hasn't ended is an error. */
const SETTLE_LIMIT_MS = 60_000;

const region = 'muscat';
const shard = `workers/${region}`;
const size: core.resources.Resources = { cores: 1, memoryMb: 512, gpus: 0 };

/** Runs the measurement; nothing else should run in the process meanwhile. */
export async function runTakeover(
  options: TakeoverOptions = defaults,
): Promise<TakeoverResult> {
  // The first run compiles the code; its figures are dropped.
  await measureRow(options.workers[0] ?? 1, options);
  const rows: TakeoverRow[] = [];
  for (const workers of options.workers)
    rows.push(await measureRow(workers, options));
  const estimate = (read: (row: TakeoverRow) => number): number =>
    estimateSlope(rows.map((row) => [row.workers, read(row) * row.workers]));
  return {
    rows,
    bytesSlope: estimate((row) => row.bytesPerSecond),
    cpuSlopeMicros: estimate((row) => row.cpuMicros),
    heapSlope: estimate((row) => row.heapBytes),
  };
}

/** Formats the result as lines of key=value pairs. */
export function describeTakeover(result: TakeoverResult): readonly string[] {
  const lines = result.rows.map(
    (row) =>
      `workers=${row.workers} settled_ms=${row.settledMs} takeover_cpu_ms=${row.takeoverCpuMs.toFixed(1)} open_calls=${row.openCalls}` +
      ` calls_per_worker_s=${row.callsPerSecond.toFixed(3)} bytes_per_worker_s=${row.bytesPerSecond.toFixed(0)}` +
      ` cpu_us_per_worker_s=${row.cpuMicros.toFixed(1)} heap_bytes_per_worker=${row.heapBytes.toFixed(0)}`,
  );
  return [
    ...lines,
    `slope bytes_per_worker_s=${result.bytesSlope.toFixed(0)} cpu_us_per_worker_s=${result.cpuSlopeMicros.toFixed(1)} heap_bytes_per_worker=${result.heapSlope.toFixed(0)}`,
  ];
}

function estimateSlope(points: readonly (readonly [number, number])[]): number {
  const meanX = points.reduce((sum, [x]) => sum + x, 0) / points.length;
  const meanY = points.reduce((sum, [, y]) => sum + y, 0) / points.length;
  let over = 0;
  let under = 0;
  for (const [x, y] of points) {
    over += (x - meanX) * (y - meanY);
    under += (x - meanX) ** 2;
  }
  return under === 0 ? 0 : over / under;
}

async function measureRow(
  count: number,
  options: TakeoverOptions,
): Promise<TakeoverRow> {
  const timers = core.createVirtualTimers();
  const heapBefore = readHeap();
  const fleet = createFleet(timers, count, options.tasksPerWorker);
  const workers = createPart(timers, fleet, count * options.tasksPerWorker);
  const cpuBefore = process.cpuUsage();
  while (workers.readShard(shard)?.isSettled() !== true) {
    if (timers.readNow() > SETTLE_LIMIT_MS)
      throw core.createFault(
        'timeout',
        { step: 'bench.takeover', peer: shard },
        String(SETTLE_LIMIT_MS),
      );
    await advanceBy(timers, STEP_MS);
  }
  const takeoverCpuMs = process.cpuUsage(cpuBefore).user / 1_000;
  const settledMs = timers.readNow();
  // The first long polls end at different times.
  await advanceBy(timers, 10_000);
  fleet.calls = 0;
  fleet.bytes = 0;
  const cpuRest = process.cpuUsage();
  await advanceBy(timers, options.restMs);
  const cpuMicros = process.cpuUsage(cpuRest).user;
  const { calls, bytes } = fleet;
  const heapBytes = (readHeap() - heapBefore) / count;
  workers.close();
  const perWorker = count * (options.restMs / 1_000);
  return {
    workers: count,
    settledMs,
    takeoverCpuMs,
    openCalls: fleet.mostOpen,
    callsPerSecond: calls / perWorker,
    bytesPerSecond: bytes / perWorker,
    cpuMicros: cpuMicros / perWorker,
    heapBytes,
  };
}

function readHeap(): number {
  globalThis.gc?.();
  return process.memoryUsage().heapUsed;
}

async function advanceBy(
  timers: core.VirtualTimers,
  byMs: number,
): Promise<void> {
  for (let passed = 0; passed < byMs; passed += STEP_MS) {
    timers.advance(STEP_MS);
    await new Promise((resolve) => setImmediate(resolve));
  }
}

/** Workers that run their tasks for ever, and the traffic with them. */
interface Fleet {
  readonly vms: readonly core.workers.VmRecord[];
  readonly client: daemon.WorkerClient;
  calls: number;
  bytes: number;
  mostOpen: number;
}

function createFleet(
  timers: core.VirtualTimers,
  count: number,
  tasksPerWorker: number,
): Fleet {
  const tasksOf = new Map<core.ids.Address, core.workers.AttemptReport[]>();
  const vms = Array.from({ length: count }, (_, n): core.workers.VmRecord => {
    const address = `10.0.${n >> 8}.${n & 255}:7000`;
    tasksOf.set(
      address,
      Array.from({ length: tasksPerWorker }, (__, t) =>
        createTask(n * tasksPerWorker + t),
      ),
    );
    return {
      id: `worker-${n}`,
      role: 'worker',
      address,
      availabilityZone: 'muscat-a',
      region,
      rack: `rack-${Math.floor(n / 5)}`,
      state: 'live',
      size: { cores: 16, memoryMb: 32_768, gpus: 0 },
    };
  });
  let open = 0;
  const unused = () => Promise.reject(new Error('not used'));
  const fleet: Fleet = {
    vms,
    calls: 0,
    bytes: 0,
    mostOpen: 0,
    client: {
      async sync(address, request) {
        const short = request.waitMs === 0 ? 1 : 0;
        fleet.calls += 1;
        open += short;
        fleet.mostOpen = Math.max(fleet.mostOpen, open);
        await core.waitFor(timers, 'bench.sync', Math.max(1, request.waitMs));
        open -= short;
        const report: core.workers.SyncReport = {
          boot: address,
          clockMs: timers.readNow(),
          version: 1,
          sessions: [{ ...request.session, lastSeenMs: timers.readNow() }],
          tasks: tasksOf.get(address) ?? [],
        };
        const sent = JSON.stringify(request);
        const answered = JSON.stringify(report);
        fleet.bytes += sent.length + answered.length;
        return JSON.parse(answered) as core.workers.SyncReport;
      },
      start: unused,
      stop: unused,
      checkpoint: unused,
      throttle: unused,
    },
  };
  return fleet;
}

function createTask(index: number): core.workers.AttemptReport {
  return {
    attemptId: `j-0123456789abcdef01234567.${index}.1`,
    jobId: 'j-0123456789abcdef01234567',
    index,
    state: 'running',
    size,
    used: size,
    leaseUntilMs: 15_000,
    startedMs: 0,
  };
}

function createPart(
  timers: core.VirtualTimers,
  fleet: Fleet,
  tasks: number,
): daemon.Workers {
  const epoch: core.ids.Epoch = { offset: 1, provisional: 0 };
  const ownership = core.createSubject<daemon.parts.OwnershipChange>();
  const context = createContext(timers);
  const streams = createStreams(tasks);
  const jobs = daemon.createJobStore(context, streams);
  const workers = daemon.createWorkers({
    context,
    streams,
    jobs,
    client: fleet.client,
    createScheduler,
    membership: {
      readVms: () => fleet.vms,
      readPeers: () => [],
      listCandidates: () => [],
      changes: core.createSubject<'vms' | 'peers'>().stream,
    },
    ownership: {
      readOwner: () => undefined,
      readEpoch: () => epoch,
      noteHigherEpoch: () => undefined,
      changes: ownership.stream,
      releaseAll: () => Promise.resolve(),
    },
    releases: createReleases(),
    options: {
      workerKind: 'plain',
      retentionMs: 86_400_000,
      maxStartsPerTick: 100,
      random: createRandom(),
    },
  });
  ownership.push({ change: 'gained', shard, epoch });
  return workers;
}

function createRandom(): () => number {
  let seed = 1;
  return () => {
    seed = (seed * 48_271) % 2_147_483_647;
    return seed / 2_147_483_647;
  };
}

function createContext(timers: core.TimerService): daemon.parts.PartContext {
  return {
    identity: {
      name: 'muscat-a-1',
      instance: 'i-0123456789',
      region,
      availabilityZone: 'muscat-a',
      linksAddress: '10.0.0.1:7000',
    },
    timers,
    log: { write: () => undefined },
    metrics: {
      count: () => undefined,
      record: () => undefined,
      set: () => undefined,
      render: () => '',
    },
  };
}

/** A log that holds one accepted job of `tasks` tasks. */
function createStreams(tasks: number): daemon.parts.Streams {
  const accepted: core.records.JobRecord = {
    type: 'accepted',
    job: 'j-0123456789abcdef01234567',
    spec: {
      kind: 'batch',
      name: 'render',
      team: 'roof',
      jobClass: 'plain',
      count: tasks,
      size,
      declaredMs: 60_000,
      work: {},
    },
    urgency: 'normal',
    shard,
    release: 'r1',
    acceptedMs: 0,
  };
  const bodies = new Map<string, unknown[]>([['jobs', [accepted]]]);
  function openStream<Body>(stream: string): daemon.parts.StreamReader<Body> {
    const known = bodies.get(stream) ?? [];
    bodies.set(stream, known);
    const subject = core.createSubject<core.records.LogRecord<Body>>();
    let next = 0;
    return {
      records: subject.stream,
      readNext: () => next,
      readHeadMs: () => 0,
      waitFor: () => Promise.resolve(),
      waitForHead: () => {
        while (next < known.length) {
          const offset = next;
          next += 1;
          const body = known[offset] as Body;
          subject.push({ offset, id: String(offset), body });
        }
        return Promise.resolve();
      },
    };
  }
  return {
    append: (stream, body) => {
      const known = bodies.get(stream) ?? [];
      bodies.set(stream, known);
      const offset = known.push(body) - 1;
      return Promise.resolve({ outcome: 'appended', offset });
    },
    open: openStream,
    readAwaySince: () => undefined,
    close: () => Promise.resolve(),
  };
}

function createReleases(): daemon.parts.Releases {
  const state: core.releases.ReleaseState = {
    current: 'r1',
    offset: 0,
    services: new Map(),
    classes: new Map(),
    teams: new Map(),
    backends: new Map(),
    history: [],
  };
  return {
    readState: () => state,
    publish: () => Promise.reject(new Error('not used')),
    readAcceptance: () => ({
      accepted: true,
      inForce: [],
      waitingFor: [],
      without: [],
    }),
    isReady: () => true,
    changes: core.createSubject<core.releases.ReleaseHistoryItem>().stream,
  };
}

/** A scheduler that decides nothing: its cost is measured elsewhere. */
function createScheduler(): core.scheduling.Scheduler {
  return {
    apply: () => undefined,
    tick: () => [],
    check: () => ({ admitted: true, expectedWaitMs: 0 }),
    readTasks: () => undefined,
    explain: () => [],
    readTeamUse: () => new Map(),
    dump: () => undefined,
  };
}
