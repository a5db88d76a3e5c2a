/**
 * Measures processor time and memory of scheduling decisions. Times differ between
 * machines, so growth with the fleet is measured as a ratio within one run; the bounds
 * are the targets of docs/design.md.
 */
import * as core from '@flamingoward/core';
import * as baseline from '../decisions/baseline.js';
import * as random from '../decisions/random.js';
import * as table from '../decisions/table.js';

const RUNNING_TASKS = 12_000;
const TEAMS = 73;
const SAMPLES = 3_000;
/** Repetitions of a measurement, of which the median is reported. */
const REPEATS = 5;
const MAX_PLACEMENT_MS = 1;
/** Upper bound of the time of a placement at 2,800 workers divided by that at 34 workers. */
const MAX_GROWTH_RATIO = 3;
const PEAK_STARTS_PER_SECOND = 1_900;
const CANCELLED_JOBS = 10_000;
const MAX_CANCELLATION_MS = 20;

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

/** Returns the user and system processor time of this process in ms. */
function getCpuMs(): number {
  const { user, system } = process.cpuUsage();
  return (user + system) / 1000;
}

function createIndexedScheduler(): core.scheduling.Scheduler {
  return core.createScheduler({ maxStartsPerTick: 1e6, seed: 1 });
}

/** Creates a best-fit baseline that scans all workers, for comparison with the scheduler's index. */
function createScanningScheduler(): core.scheduling.Scheduler {
  return baseline.createBaseline(baseline.priorityBestFit, 1e6);
}

/** A scheduler with a fleet of workers, to which jobs can be submitted. */
class SchedulerHarness {
  readonly scheduler: core.scheduling.Scheduler;
  private readonly generator = random.createRandom(7);
  private nextJob = 0;
  nowMs = 0;

  constructor(
    readonly workers: number,
    create: () => core.scheduling.Scheduler = createIndexedScheduler,
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
    // Smaller fleets get larger workers, so that each fleet can run the same tasks.
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
    const id = `job-${this.nextJob}`;
    this.nextJob += 1;
    const cores = this.generator.choose([1, 1, 2, 3]);
    const classNames = {
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
        team: `team-${this.generator.generateInteger(0, TEAMS - 1)}`,
        jobClass: classNames[urgency],
        count: 1,
        size: { cores, memoryMb: cores * 2048, gpus: 0 },
        declaredMs: kind === 'service' ? 0 : 60_000,
        work: {},
      },
    };
    this.apply({ event: 'job.accepted', job, ended: [] });
    return id;
  }

  /** Starts `RUNNING_TASKS` tasks, a fifth of them service replicas, and returns their attempts. */
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

/** Measures the time in ms of ticks with one placement; before each, one task ends and one job is submitted. */
function measurePlacements(
  harness: SchedulerHarness,
  attempts: string[],
): number[] {
  const timesMs: number[] = [];
  for (let n = 0; n < SAMPLES; n += 1) {
    harness.nowMs += 1;
    const attemptId = attempts.shift() ?? '';
    harness.apply({ event: 'task.ended', attemptId, result: 'done' });
    harness.submit('normal');
    const startMs = performance.now();
    const commands = harness.scheduler.tick(harness.nowMs);
    timesMs.push(performance.now() - startMs);
    for (const command of commands)
      if (command.command === 'start') attempts.push(command.attemptId);
  }
  return timesMs;
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

function measureFleet(
  workers: number,
  create = createIndexedScheduler,
): Placements {
  const harness = new SchedulerHarness(workers, create);
  const attempts = harness.startTasks();
  measurePlacements(harness, attempts);
  const timesMs = Array.from({ length: REPEATS }, () =>
    measurePlacements(harness, attempts),
  );
  const computeMedian = (percent: number) => {
    const values = timesMs.map(
      (list) => table.selectPercentile(list, percent) ?? 0,
    );
    return table.selectPercentile(values, 50) ?? 0;
  };
  return { workers, p50Ms: computeMedian(50), p99Ms: computeMedian(99) };
}

/** Measures placements with three fleet sizes, and how their time grows with the fleet. */
function reportPlacements(): string[] {
  const fleets = [34, 340, 2_800].map((workers) => measureFleet(workers));
  const lines = fleets.map(({ workers, p50Ms, p99Ms }) =>
    formatLine(
      `one placement at ${workers} workers, p50 / p99`,
      `${p50Ms.toFixed(3)} / ${p99Ms.toFixed(3)} ms`,
      p99Ms < MAX_PLACEMENT_MS,
    ),
  );
  const growthP50 = (fleets[2]?.p50Ms ?? 0) / (fleets[0]?.p50Ms ?? 1);
  const growthP99 = (fleets[2]?.p99Ms ?? 0) / (fleets[0]?.p99Ms ?? 1);
  const isMet = growthP50 < MAX_GROWTH_RATIO && growthP99 < MAX_GROWTH_RATIO;
  const text = `${growthP50.toFixed(2)} / ${growthP99.toFixed(2)}`;
  return [
    ...lines,
    formatLine('slope from 34 to 2,800 workers, p50 / p99', text, isMet),
  ];
}

/** Measures placements by a full scan of the workers, for comparison. */
function reportFullScan(): string[] {
  return [34, 340, 2_800].map((workers) => {
    const { p50Ms, p99Ms } = measureFleet(workers, createScanningScheduler);
    const text = `${p50Ms.toFixed(3)} / ${p99Ms.toFixed(3)} ms`;
    return formatLine(
      `best fit by full scan at ${workers} workers, p50 / p99`,
      text,
    );
  });
}

/** Measures processor time at the peak rate of task ends, accepted jobs and starts, as a share of a core. */
function reportPeakRate(): string[] {
  const harness = new SchedulerHarness(2_800);
  const attempts = harness.startTasks();
  const seconds = 5;
  const ticksPerSecond = 20;
  const startsPerTick = PEAK_STARTS_PER_SECOND / ticksPerSecond;
  let started = 0;
  const startCpuMs = getCpuMs();
  for (let n = 0; n < seconds * ticksPerSecond; n += 1) {
    harness.nowMs += 1000 / ticksPerSecond;
    for (const attemptId of attempts.splice(0, startsPerTick))
      harness.apply({ event: 'task.ended', attemptId, result: 'done' });
    for (let job = 0; job < startsPerTick; job += 1) harness.submit('normal');
    for (const command of harness.scheduler.tick(harness.nowMs)) {
      if (command.command !== 'start') continue;
      started += 1;
      attempts.push(command.attemptId);
      harness.apply({ event: 'task.started', attemptId: command.attemptId });
    }
  }
  const share = (getCpuMs() - startCpuMs) / (seconds * 1000);
  const rate = started / seconds;
  const text = `${(share * 100).toFixed(1)}% of a core`;
  return [
    formatLine(
      `${rate.toFixed(0)} starts/s at 2,800 workers`,
      text,
      rate >= PEAK_STARTS_PER_SECOND * 0.99 && share < 1,
    ),
  ];
}

/** Measures the cancellation of queued jobs. */
function reportCancellation(): string[] {
  const timesMs = Array.from({ length: REPEATS }, () => {
    const harness = new SchedulerHarness(2_800);
    harness.startTasks();
    const jobs: string[] = [];
    harness.apply({
      event: 'worker.usable',
      worker: 'worker-0',
      usable: false,
    });
    for (let n = 0; n < CANCELLED_JOBS; n += 1)
      jobs.push(harness.submit('deferrable'));
    const startCpuMs = getCpuMs();
    for (const job of jobs)
      harness.apply({ event: 'job.cancelled', job, by: 'bench' });
    return getCpuMs() - startCpuMs;
  });
  const median = table.selectPercentile(timesMs, 50) ?? 0;
  return [
    formatLine(
      'cancelling 10,000 queued jobs, median processor time',
      `${median.toFixed(1)} ms`,
      median <= MAX_CANCELLATION_MS,
    ),
  ];
}

function measureHeapBytes(): number {
  globalThis.gc?.();
  globalThis.gc?.();
  return process.memoryUsage().heapUsed;
}

/** Measures bytes per worker or job, as the slopes between three sizes. */
function reportMemory(): string[] {
  if (globalThis.gc === undefined)
    return ['memory: run with node --expose-gc for the slopes'];
  const measureSlopes = (
    build: (count: number) => unknown,
    counts: readonly number[],
  ) => {
    const sizes = counts.map((count) => {
      const before = measureHeapBytes();
      // Retained in the result so that it isn't collected before the heap is measured.
      const retained = build(count);
      const after = measureHeapBytes();
      return { count, bytes: after - before, retained };
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
  const buildQueuedJobs = (count: number) => {
    const harness = new SchedulerHarness(10);
    for (let n = 0; n < count; n += 1) harness.submit('deferrable');
    return harness;
  };
  const buildRunningJobs = (count: number) => {
    const harness = new SchedulerHarness(2_800);
    for (let n = 0; n < count; n += 1) harness.submit('deferrable');
    harness.scheduler.tick(1);
    return harness;
  };
  return [
    formatLine(
      'memory per worker, bytes',
      measureSlopes(
        (count) => new SchedulerHarness(count),
        [1_000, 2_000, 4_000],
      ),
    ),
    formatLine(
      'memory per queued job of one task, bytes',
      measureSlopes(buildQueuedJobs, [5_000, 10_000, 20_000]),
    ),
    formatLine(
      'memory per running job of one task, bytes',
      measureSlopes(buildRunningJobs, [3_000, 6_000, 12_000]),
    ),
  ];
}

/** Runs all measurements and returns the lines of the report. */
export function measureCost(): readonly string[] {
  return [
    ...reportPlacements(),
    ...reportFullScan(),
    ...reportPeakRate(),
    ...reportCancellation(),
    ...reportMemory(),
  ];
}
