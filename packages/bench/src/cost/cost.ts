/**
 * Processor time and memory of decisions. Times vary between machines, so the slope is
 * a ratio within one run; the bounds are the targets of the design page.
 */
import * as core from '@flamingoward/core';
import * as baseline from '../decisions/baseline.js';
import * as random from '../decisions/random.js';
import * as table from '../decisions/table.js';

const RUNNING_TASKS = 12_000;
const TEAMS = 73;
const SAMPLES = 3_000;
const REPEATS = 5;
const PLACEMENT_TARGET_MS = 1;
const SLOPE_TARGET = 3;
const STARTS_PER_SECOND = 1_900;
const CANCELLED_JOBS = 10_000;
const CANCEL_TARGET_MS = 20;

const classes: readonly core.releases.ClassEntry[] = (
  [
    ['fast', 'urgent'],
    ['plain', 'normal'],
    ['bulk', 'deferrable'],
  ] as const
).map(([name, urgency]) => ({
  kind: 'class',
  name,
  urgency,
  floor: 0.1,
  idempotent: true,
  preemptible: urgency === 'deferrable',
  maxWaitMs: 1e12,
}));

/** Reads processor time of this process in ms. */
function readCpuMs(): number {
  const { user, system } = process.cpuUsage();
  return (user + system) / 1000;
}

function createIndexed(): core.scheduling.Scheduler {
  return core.createScheduler({ maxStartsPerTick: 1e6, seed: 1 });
}

/** Best fit that looks at every worker, for comparison with the index. */
function createScanning(): core.scheduling.Scheduler {
  return baseline.createBaseline(baseline.priorityBestFit, 1e6);
}

/** A scheduler with a fleet and running tasks. */
class Cell {
  readonly scheduler: core.scheduling.Scheduler;
  private readonly random = random.createRandom(7);
  private jobs = 0;
  nowMs = 0;

  constructor(
    readonly workers: number,
    create: () => core.scheduling.Scheduler = createIndexed,
  ) {
    this.scheduler = create();
    const teams = Array.from({ length: TEAMS }, (_, n) => ({
      kind: 'team' as const,
      name: `team-${n}`,
      quota: { cores: 1e6, memoryMb: 1e9, gpus: 1e5 },
      weight: 1 + (n % 3),
    }));
    this.apply({ event: 'release.changed', release: 'bench', classes, teams });
    for (let n = 0; n < workers; n += 1) this.addWorker(n);
  }

  apply(event: core.scheduling.SchedulerEvent): void {
    this.scheduler.apply(event, this.nowMs);
  }

  private addWorker(n: number): void {
    // The size grows as the fleet shrinks, so that each fleet runs the same tasks.
    const cores = Math.ceil((RUNNING_TASKS * 2.5) / this.workers);
    const hasGpus = n % 4 === 0;
    const worker: core.workers.VmRecord = {
      id: `worker-${n}`,
      role: 'worker',
      state: 'live',
      address: '127.0.0.1:1',
      region: 'region',
      availabilityZone: `zone-${n % 4}`,
      rack: `rack-${Math.floor(n / 10)}`,
      size: { cores, memoryMb: cores * 4096, gpus: hasGpus ? 8 : 0 },
    };
    this.apply({ event: 'worker.listed', worker });
    this.apply({ event: 'worker.usable', worker: worker.id, usable: true });
  }

  submit(urgency: core.ids.Urgency, kind: core.jobs.JobKind = 'batch'): string {
    const id = `job-${this.jobs}`;
    this.jobs += 1;
    const cores = this.random.choose([1, 1, 2, 3]);
    const names = {
      urgent: 'fast',
      normal: 'plain',
      deferrable: 'bulk',
    } as const;
    const job: core.jobs.Job = {
      id,
      urgency,
      shard: 'workers/region',
      release: 'bench',
      acceptedMs: this.nowMs,
      acceptedAt: 0,
      state: 'accepted',
      cancelRequested: false,
      spec: {
        kind,
        name: 'bench',
        team: `team-${this.random.generateInteger(0, TEAMS - 1)}`,
        jobClass: names[urgency],
        count: 1,
        size: { cores, memoryMb: cores * 2048, gpus: 0 },
        declaredMs: kind === 'service' ? 0 : 60_000,
        work: {},
      },
    };
    this.apply({ event: 'job.accepted', job, ended: [] });
    return id;
  }

  /** Starts the running tasks, a fifth of them replicas of services. */
  startTasks(): string[] {
    const attempts: string[] = [];
    for (let n = 0; n < RUNNING_TASKS; n += 1)
      this.submit('deferrable', n % 5 === 0 ? 'service' : 'batch');
    for (const command of this.scheduler.tick(this.nowMs))
      if (command.command === 'start') attempts.push(command.attemptId);
    for (const attemptId of attempts)
      this.apply({ event: 'task.started', attemptId });
    return attempts;
  }
}

/** Time of single decisions in ms, with one task that ends for each that starts. */
function measurePlacements(cell: Cell, attempts: string[]): number[] {
  const times: number[] = [];
  for (let n = 0; n < SAMPLES; n += 1) {
    cell.nowMs += 1;
    const attemptId = attempts.shift() ?? '';
    cell.apply({ event: 'task.ended', attemptId, result: 'done' });
    cell.submit('normal');
    const from = performance.now();
    const commands = cell.scheduler.tick(cell.nowMs);
    times.push(performance.now() - from);
    for (const command of commands)
      if (command.command === 'start') attempts.push(command.attemptId);
  }
  return times;
}

function formatLine(name: string, value: string, isMet?: boolean): string {
  const verdict = isMet === undefined ? '' : isMet ? 'met' : 'not met';
  return `${name.padEnd(64)} ${value.padStart(16)}  ${verdict}`;
}

interface Placements {
  readonly workers: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
}

function measureFleet(workers: number, create = createIndexed): Placements {
  const cell = new Cell(workers, create);
  const attempts = cell.startTasks();
  measurePlacements(cell, attempts);
  const times = Array.from({ length: REPEATS }, () =>
    measurePlacements(cell, attempts),
  );
  const readMedian = (percent: number) => {
    const values = times.map(
      (list) => table.selectPercentile(list, percent) ?? 0,
    );
    return table.selectPercentile(values, 50) ?? 0;
  };
  return { workers, p50Ms: readMedian(50), p99Ms: readMedian(99) };
}

function reportPlacements(): string[] {
  const fleets = [34, 340, 2_800].map((workers) => measureFleet(workers));
  const lines = fleets.map(({ workers, p50Ms, p99Ms }) =>
    formatLine(
      `one placement at ${workers} workers, p50 / p99`,
      `${p50Ms.toFixed(3)} / ${p99Ms.toFixed(3)} ms`,
      p99Ms < PLACEMENT_TARGET_MS,
    ),
  );
  const slope = (fleets[2]?.p50Ms ?? 0) / (fleets[0]?.p50Ms ?? 1);
  const slope99 = (fleets[2]?.p99Ms ?? 0) / (fleets[0]?.p99Ms ?? 1);
  const isMet = slope < SLOPE_TARGET && slope99 < SLOPE_TARGET;
  const text = `${slope.toFixed(2)} / ${slope99.toFixed(2)}`;
  return [
    ...lines,
    formatLine('slope from 34 to 2,800 workers, p50 / p99', text, isMet),
  ];
}

function reportScan(): string[] {
  return [34, 340, 2_800].map((workers) => {
    const { p50Ms, p99Ms } = measureFleet(workers, createScanning);
    const text = `${p50Ms.toFixed(3)} / ${p99Ms.toFixed(3)} ms`;
    return formatLine(
      `best fit by full scan at ${workers} workers, p50 / p99`,
      text,
    );
  });
}

/** Processor time for ends, acceptances and starts at the peak rate, as a share of a core. */
function reportPeak(): string[] {
  const cell = new Cell(2_800);
  const attempts = cell.startTasks();
  const seconds = 5;
  const ticksPerSecond = 20;
  const perTick = STARTS_PER_SECOND / ticksPerSecond;
  let started = 0;
  const from = readCpuMs();
  for (let n = 0; n < seconds * ticksPerSecond; n += 1) {
    cell.nowMs += 1000 / ticksPerSecond;
    for (const attemptId of attempts.splice(0, perTick))
      cell.apply({ event: 'task.ended', attemptId, result: 'done' });
    for (let job = 0; job < perTick; job += 1) cell.submit('normal');
    for (const command of cell.scheduler.tick(cell.nowMs)) {
      if (command.command !== 'start') continue;
      started += 1;
      attempts.push(command.attemptId);
      cell.apply({ event: 'task.started', attemptId: command.attemptId });
    }
  }
  const share = (readCpuMs() - from) / (seconds * 1000);
  const rate = started / seconds;
  const text = `${(share * 100).toFixed(1)}% of a core`;
  return [
    formatLine(
      `${rate.toFixed(0)} starts/s at 2,800 workers`,
      text,
      rate >= STARTS_PER_SECOND * 0.99 && share < 1,
    ),
  ];
}

function reportCancellation(): string[] {
  const times = Array.from({ length: REPEATS }, () => {
    const cell = new Cell(2_800);
    cell.startTasks();
    const jobs: string[] = [];
    cell.apply({ event: 'worker.usable', worker: 'worker-0', usable: false });
    for (let n = 0; n < CANCELLED_JOBS; n += 1)
      jobs.push(cell.submit('deferrable'));
    const from = readCpuMs();
    for (const job of jobs)
      cell.apply({ event: 'job.cancelled', job, by: 'bench' });
    return readCpuMs() - from;
  });
  const median = table.selectPercentile(times, 50) ?? 0;
  return [
    formatLine(
      'cancelling 10,000 queued jobs, median processor time',
      `${median.toFixed(1)} ms`,
      median <= CANCEL_TARGET_MS,
    ),
  ];
}

function readHeap(): number {
  globalThis.gc?.();
  globalThis.gc?.();
  return process.memoryUsage().heapUsed;
}

/** Bytes per item, as the slopes between three sizes. */
function reportMemory(): string[] {
  if (globalThis.gc === undefined)
    return ['memory: run with node --expose-gc for the slopes'];
  const measure = (
    build: (count: number) => unknown,
    counts: readonly number[],
  ) => {
    const sizes = counts.map((count) => {
      const before = readHeap();
      const kept = build(count);
      const after = readHeap();
      return { count, bytes: after - before, kept };
    });
    return sizes
      .slice(1)
      .map((size, at) => {
        const previous = sizes[at];
        if (previous === undefined) return '';
        return (
          (size.bytes - previous.bytes) /
          (size.count - previous.count)
        ).toFixed(0);
      })
      .join(' / ');
  };
  const buildWaiting = (count: number) => {
    const cell = new Cell(10);
    for (let n = 0; n < count; n += 1) cell.submit('deferrable');
    return cell;
  };
  const buildRunning = (count: number) => {
    const cell = new Cell(2_800);
    for (let n = 0; n < count; n += 1) cell.submit('deferrable');
    cell.scheduler.tick(1);
    return cell;
  };
  return [
    formatLine(
      'memory per worker, bytes',
      measure((count) => new Cell(count), [1_000, 2_000, 4_000]),
    ),
    formatLine(
      'memory per queued job of one task, bytes',
      measure(buildWaiting, [5_000, 10_000, 20_000]),
    ),
    formatLine(
      'memory per running job of one task, bytes',
      measure(buildRunning, [3_000, 6_000, 12_000]),
    ),
  ];
}

/** Measures everything and returns the lines of the report. */
export function measureCost(): readonly string[] {
  return [
    ...reportPlacements(),
    ...reportScan(),
    ...reportPeak(),
    ...reportCancellation(),
    ...reportMemory(),
  ];
}
