/**
 * Measures the cost of owning a workers shard by the number of workers: the take-over,
 * and the idle sync loop afterwards. Workers, log and clock are simulated in this
 * process, so the figures cover the owner's own work and the bodies of the calls, but
 * not HTTP and TCP.
 */
import * as core from '@flamingoward/core';
import * as daemon from '@flamingoward/daemon';

/** Options of the measurement. */
export interface TakeoverOptions {
  /** Numbers of workers, one row each. */
  readonly workers: readonly number[];
  readonly tasksPerWorker: number;
  /** Virtual time in ms for which each row is measured idle, after the take-over. */
  readonly restMs: number;
}

/** Measurements with one number of workers. */
export interface TakeoverRow {
  readonly workers: number;
  /** Virtual time in ms from gaining ownership until every task is accounted for. */
  readonly settledMs: number;
  /** User processor time of the take-over, in ms. */
  readonly takeoverCpuMs: number;
  /** Maximum number of concurrent sync calls without a long poll. */
  readonly openCalls: number;
  /** Sync calls while idle, per worker and second of virtual time. */
  readonly callsPerSecond: number;
  /** Bytes of requests and reports while idle, per worker and second of virtual time. */
  readonly bytesPerSecond: number;
  /** User processor time while idle, per worker and second of virtual time, in microseconds. */
  readonly cpuMicros: number;
  /** Growth of the heap since before the take-over, per worker, in bytes; exact only with --expose-gc. */
  readonly heapBytes: number;
}

/** Measurements of all rows, and slopes per worker fitted by least squares. */
export interface TakeoverResult {
  readonly rows: readonly TakeoverRow[];
  /** Bytes per second that each further worker adds. */
  readonly bytesSlope: number;
  /** Processor time per second that each further worker adds, in microseconds. */
  readonly cpuSlopeMicros: number;
  /** Heap that each further worker adds, in bytes. */
  readonly heapSlope: number;
}

const defaultOptions: TakeoverOptions = {
  workers: [34, 340, 2_800],
  tasksPerWorker: 4,
  restMs: 30_000,
};

/** Step of the virtual clock. */
const STEP_MS = 10;

/** Virtual time within which a take-over must end; later it is an error. */
const SETTLE_TIMEOUT_MS = 60_000;

const region = 'muscat';
const shard = `workers/${region}`;
const size: core.resources.Resources = { cores: 1, memoryMb: 512, gpus: 0 };

/** Runs the measurement; other work in the process would distort the processor time and the heap. */
export async function runTakeover(
  options: TakeoverOptions = defaultOptions,
): Promise<TakeoverResult> {
  // Warm-up, so that the just-in-time compilation isn't measured; its result is discarded.
  await measureRow(options.workers[0] ?? 1, options);
  const rows: TakeoverRow[] = [];
  for (const workers of options.workers)
    rows.push(await measureRow(workers, options));
  const estimate = (getValue: (row: TakeoverRow) => number): number =>
    estimateSlope(
      rows.map((row) => [row.workers, getValue(row) * row.workers]),
    );
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
  let numerator = 0;
  let denominator = 0;
  for (const [x, y] of points) {
    numerator += (x - meanX) * (y - meanY);
    denominator += (x - meanX) ** 2;
  }
  return denominator === 0 ? 0 : numerator / denominator;
}

async function measureRow(
  count: number,
  options: TakeoverOptions,
): Promise<TakeoverRow> {
  const timers = core.createVirtualTimers();
  const heapBefore = measureHeapBytes();
  const fleet = createFleet(timers, count, options.tasksPerWorker);
  const shardOwner = createShardOwner(
    timers,
    fleet,
    count * options.tasksPerWorker,
  );
  const cpuBefore = process.cpuUsage();
  while (shardOwner.getShard(shard)?.isSettled() !== true) {
    if (timers.getNow() > SETTLE_TIMEOUT_MS)
      throw core.createFault(
        'timeout',
        { step: 'bench.takeover', peer: shard },
        String(SETTLE_TIMEOUT_MS),
      );
    await advanceBy(timers, STEP_MS);
  }
  const takeoverCpuMs = process.cpuUsage(cpuBefore).user / 1_000;
  const settledMs = timers.getNow();
  // The first long polls end at different times; this lets all of them end before the idle phase is measured.
  await advanceBy(timers, 10_000);
  fleet.calls = 0;
  fleet.bytes = 0;
  const cpuBeforeIdle = process.cpuUsage();
  await advanceBy(timers, options.restMs);
  const cpuMicros = process.cpuUsage(cpuBeforeIdle).user;
  const { calls, bytes } = fleet;
  const heapBytes = (measureHeapBytes() - heapBefore) / count;
  shardOwner.close();
  const workerSeconds = count * (options.restMs / 1_000);
  return {
    workers: count,
    settledMs,
    takeoverCpuMs,
    openCalls: fleet.maxConcurrentCalls,
    callsPerSecond: calls / workerSeconds,
    bytesPerSecond: bytes / workerSeconds,
    cpuMicros: cpuMicros / workerSeconds,
    heapBytes,
  };
}

function measureHeapBytes(): number {
  globalThis.gc?.();
  return process.memoryUsage().heapUsed;
}

async function advanceBy(
  timers: core.VirtualTimers,
  durationMs: number,
): Promise<void> {
  for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += STEP_MS) {
    timers.advance(STEP_MS);
    await new Promise((resolve) => setImmediate(resolve));
  }
}

/** Simulated workers whose tasks never end, and counters of the calls to them. */
interface SimulatedFleet {
  readonly vms: readonly core.workers.VmRecord[];
  readonly client: daemon.WorkerClient;
  calls: number;
  bytes: number;
  maxConcurrentCalls: number;
}

function createFleet(
  timers: core.VirtualTimers,
  count: number,
  tasksPerWorker: number,
): SimulatedFleet {
  const tasksByAddress = new Map<
    core.ids.Address,
    core.workers.AttemptReport[]
  >();
  const vms = Array.from({ length: count }, (_, n): core.workers.VmRecord => {
    const address = `10.0.${n >> 8}.${n & 255}:7000`;
    tasksByAddress.set(
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
  let concurrentCalls = 0;
  const rejectCall = () =>
    Promise.reject(new Error('not simulated by the take-over bench'));
  const fleet: SimulatedFleet = {
    vms,
    calls: 0,
    bytes: 0,
    maxConcurrentCalls: 0,
    client: {
      async sync(address, request) {
        const shortCalls = request.waitMs === 0 ? 1 : 0;
        fleet.calls += 1;
        concurrentCalls += shortCalls;
        fleet.maxConcurrentCalls = Math.max(
          fleet.maxConcurrentCalls,
          concurrentCalls,
        );
        await core.waitFor(timers, 'bench.sync', Math.max(1, request.waitMs));
        concurrentCalls -= shortCalls;
        const report: core.workers.SyncReport = {
          boot: address,
          clockMs: timers.getNow(),
          version: 1,
          sessions: [{ ...request.session, lastSeenMs: timers.getNow() }],
          tasks: tasksByAddress.get(address) ?? [],
        };
        const requestText = JSON.stringify(request);
        const reportText = JSON.stringify(report);
        fleet.bytes += requestText.length + reportText.length;
        return JSON.parse(reportText) as core.workers.SyncReport;
      },
      start: rejectCall,
      stop: rejectCall,
      checkpoint: rejectCall,
      throttle: rejectCall,
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

function createShardOwner(
  timers: core.VirtualTimers,
  fleet: SimulatedFleet,
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
      listVms: () => fleet.vms,
      listPeers: () => [],
      listCandidates: () => [],
      changes: core.createSubject<'vms' | 'peers'>().stream,
    },
    ownership: {
      getOwner: () => undefined,
      getEpoch: () => epoch,
      handleHigherEpoch: () => undefined,
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

/** Creates an in-memory log with one accepted job of `tasks` tasks. */
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
    const streamBodies = bodies.get(stream) ?? [];
    bodies.set(stream, streamBodies);
    const subject = core.createSubject<core.records.LogRecord<Body>>();
    let nextOffset = 0;
    return {
      records: subject.stream,
      getNextOffset: () => nextOffset,
      getHeadReadMs: () => 0,
      waitFor: () => Promise.resolve(),
      waitForHead: () => {
        while (nextOffset < streamBodies.length) {
          const offset = nextOffset;
          nextOffset += 1;
          const body = streamBodies[offset] as Body;
          subject.push({ offset, id: String(offset), body });
        }
        return Promise.resolve();
      },
    };
  }
  return {
    append: (stream, body) => {
      const streamBodies = bodies.get(stream) ?? [];
      bodies.set(stream, streamBodies);
      const offset = streamBodies.push(body) - 1;
      return Promise.resolve({ outcome: 'appended', offset });
    },
    open: openStream,
    getUnreachableSinceMs: () => undefined,
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
    getState: () => state,
    publish: () =>
      Promise.reject(new Error('not simulated by the take-over bench')),
    getAcceptance: () => ({
      accepted: true,
      inForce: [],
      waitingFor: [],
      without: [],
    }),
    isReady: () => true,
    changes: core.createSubject<core.releases.ReleaseHistoryItem>().stream,
  };
}

/** Creates a scheduler without decisions; the cost bench measures those. */
function createScheduler(): core.scheduling.Scheduler {
  return {
    apply: () => undefined,
    tick: () => [],
    check: () => ({ admitted: true, expectedWaitMs: 0 }),
    listTaskStates: () => undefined,
    explain: () => [],
    getTeamUse: () => new Map(),
    dump: () => undefined,
  };
}
