/** Runs the parts of the cell bench in sequence, each with fresh cells. */
import * as os from 'node:os';
import * as cells from './cell.js';
import * as idle from './idle.js';
import * as recovery from './recovery.js';
import * as regions from './regions.js';
import * as releases from './releases.js';
import * as requests from './requests.js';
import * as starts from './starts.js';

/** Parts of the bench. */
export const parts = [
  'recovery',
  'release',
  'idle',
  'starts',
  'requests',
  'regions',
] as const;
/** One part. */
export type Part = (typeof parts)[number];

/** Options of the cell bench. */
export interface BenchOptions {
  readonly processes: number;
  /** Largest fleet of the part `idle`. */
  readonly workers: number;
  readonly seed: number;
  readonly quick: boolean;
  readonly parts: readonly Part[];
}

/** Measurements of all parts; parts that weren't run are absent. */
export interface BenchResult {
  readonly machine: {
    readonly cores: number;
    readonly loadBefore: readonly number[];
    readonly loadAfter: readonly number[];
  };
  readonly recovery?: readonly recovery.RecoveryRound[];
  readonly release?: releases.ReleaseTimes;
  readonly paused?: readonly releases.PausedRelease[];
  readonly idle?: readonly idle.IdleRow[];
  readonly starts?: readonly starts.StartRow[];
  readonly requests?: readonly requests.RequestRow[];
  readonly regions?: readonly regions.RegionRow[];
  /** Error messages of the parts that failed. */
  readonly failed: Readonly<Record<string, string>>;
}

/** Current fleet size of both customers. */
const CURRENT_WORKERS = 34;
const CURRENT_PROCESSES = 6;
/** Fleet size between the current and the target size. */
const INTERMEDIATE_WORKERS = 340;
/** Enough processes to show how the cost grows with their number. */
const MANY_PROCESSES = 18;
/** Running tasks per worker at the target size: 12,000 on 2,800. */
const TASKS_PER_WORKER = 12_000 / 2_800;

/** Runs the chosen parts and reports progress after each; a failed part doesn't stop the others. */
export async function runBench(
  options: BenchOptions,
  writeProgress: (line: string) => void,
): Promise<BenchResult> {
  const loadBefore = os.loadavg();
  const failed: Record<string, string> = {};
  let result: Omit<BenchResult, 'machine' | 'failed'> = {};
  for (const part of options.parts) {
    const startMs = performance.now();
    try {
      result = { ...result, ...(await runPart(part, options)) };
    } catch (error) {
      failed[part] = String(error);
    }
    const seconds = (performance.now() - startMs) / 1_000;
    writeProgress(
      `part=${part} took_s=${seconds.toFixed(0)} ${failed[part] ?? ''}`,
    );
  }
  const machine = {
    cores: os.availableParallelism(),
    loadBefore,
    loadAfter: os.loadavg(),
  };
  return { machine, ...result, failed };
}

function runPart(
  part: Part,
  options: BenchOptions,
): Promise<Partial<BenchResult>> {
  switch (part) {
    case 'recovery':
      return runRecovery(options);
    case 'release':
      return runRelease(options);
    case 'idle':
      return runIdle(options);
    case 'starts':
      return runStarts(options);
    case 'requests':
      return runRequests(options);
    case 'regions':
      return runRegions(options);
  }
}

async function runRecovery(
  options: BenchOptions,
): Promise<Partial<BenchResult>> {
  const { processes, quick } = options;
  const rounds: recovery.RecoveryRound[] = [];
  const signals: readonly recovery.RecoveryRound['signal'][] = quick
    ? ['SIGKILL']
    : ['SIGKILL', 'SIGSTOP', 'SIGKILL', 'SIGSTOP', 'SIGKILL'];
  await withCell({ processes, workers: CURRENT_WORKERS }, async (cell) => {
    for (const signal of signals)
      rounds.push(await recovery.measureRecovery(cell, signal, rounds.length));
  });
  return { recovery: rounds };
}

async function runRelease(
  options: BenchOptions,
): Promise<Partial<BenchResult>> {
  const { processes, quick, seed } = options;
  return withCell({ processes, workers: CURRENT_WORKERS }, async (cell) => {
    const bench = new releases.ReleaseBench(cell, seed);
    const release = await bench.measure(quick ? 20 : 100);
    const paused: releases.PausedRelease[] = [];
    for (const { name } of cell.daemons.slice(0, quick ? 1 : 3))
      paused.push(await bench.measurePaused(name));
    return { release, paused };
  });
}

async function runIdle(options: BenchOptions): Promise<Partial<BenchResult>> {
  const { processes, workers, quick } = options;
  const sizes: cells.CellOptions[] = quick
    ? [{ processes, workers: CURRENT_WORKERS }]
    : [
        { processes: CURRENT_PROCESSES, workers: CURRENT_WORKERS },
        { processes, workers: CURRENT_WORKERS },
        { processes: MANY_PROCESSES, workers: CURRENT_WORKERS },
        { processes, workers: INTERMEDIATE_WORKERS },
        { processes, workers },
      ];
  const rows: idle.IdleRow[] = [];
  for (const size of sizes) {
    const tasks = Math.round(size.workers * TASKS_PER_WORKER);
    rows.push(await idle.measureIdle(size, tasks, quick ? 8_000 : 10_000));
  }
  return { idle: rows };
}

async function runStarts(options: BenchOptions): Promise<Partial<BenchResult>> {
  const { processes, quick } = options;
  const taskTimesMs = quick ? [500] : [2_000, 700, 250];
  return withCell({ processes, workers: CURRENT_WORKERS }, async (cell) => ({
    starts: await starts.measureStarts(
      cell,
      taskTimesMs,
      quick ? 4_000 : 6_000,
    ),
  }));
}

async function runRequests(
  options: BenchOptions,
): Promise<Partial<BenchResult>> {
  const { processes, quick } = options;
  const rates = quick ? [300] : [100, 300, 900];
  return withCell({ processes, workers: CURRENT_WORKERS }, async (cell) => ({
    requests: await requests.measureRequests(
      cell,
      rates,
      quick ? 3_000 : 6_000,
    ),
  }));
}

async function runRegions(
  options: BenchOptions,
): Promise<Partial<BenchResult>> {
  const { processes, quick, seed } = options;
  const size = { processes, workers: CURRENT_WORKERS, countRegions: true };
  return withCell(size, async (cell) => ({
    regions: await regions.measureRegions(cell, seed, quick ? 6_000 : 12_000),
  }));
}

async function withCell<Result>(
  options: cells.CellOptions,
  run: (cell: cells.Cell) => Promise<Result>,
): Promise<Result> {
  const cell = await cells.Cell.start(options);
  try {
    return await run(cell);
  } finally {
    await cell.stop();
  }
}
