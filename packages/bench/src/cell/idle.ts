/**
 * Measures the control overhead of each process of a cell: bytes by kind of peer,
 * processor time and memory. The part `idle` measures a cell whose tasks all run and in
 * which no job is submitted; other parts use the same measurement under load.
 */
import * as calls from './calls.js';
import * as cells from './cell.js';
import * as waits from './waits.js';

/** Overhead of one process. */
export interface ProcessCost {
  readonly name: string;
  /** Shards that the process owns, by the last claim of each. */
  readonly shards: readonly string[];
  /** Processor time as a share of one core. */
  readonly share: number;
  readonly residentMb: number;
  /** Bytes per second to and from the other processes, in both directions; likewise below. */
  readonly links: number;
  readonly log: number;
  readonly vmList: number;
  readonly workers: number;
  readonly logReadsPerSecond: number;
}

/** Overhead of all processes of one cell. */
export interface IdleRow {
  readonly processes: number;
  readonly workers: number;
  /** Tasks that ran during the measurement. */
  readonly tasks: number;
  readonly windowS: number;
  readonly costs: readonly ProcessCost[];
}

const START_TIMEOUT_MS = 40_000;
/** Delay between the last task start and the measurement. */
const SETTLE_MS = 4_000;

/** Starts a cell, starts tasks that don't end, and measures its processes once the starts are done. */
export async function measureIdle(
  options: cells.CellOptions,
  tasks: number,
  windowMs: number,
): Promise<IdleRow> {
  const cell = await cells.Cell.start(options);
  try {
    const running = await startTasks(cell, tasks);
    await waits.waitMs(SETTLE_MS);
    const costs = await measureCosts(cell, windowMs);
    const { processes, workers } = options;
    return {
      processes,
      workers,
      tasks: running,
      windowS: windowMs / 1_000,
      costs,
    };
  } finally {
    await cell.stop();
  }
}

/** Measures all processes of a cell over a window. */
export async function measureCosts(
  cell: cells.Cell,
  windowMs: number,
): Promise<readonly ProcessCost[]> {
  const before = await readAllCounters(cell);
  await waits.waitMs(windowMs);
  const after = await readAllCounters(cell);
  return cell.daemons.map(({ name }) => {
    const first = before.get(name);
    const last = after.get(name);
    if (first === undefined || last === undefined)
      throw new Error(`no counters were read for process ${name}`);
    const seconds = (last.atMs - first.atMs) / 1_000;
    const computeRate = (
      getValue: (c: cells.ProcessCounters) => number,
    ): number => (getValue(last.counters) - getValue(first.counters)) / seconds;
    return {
      name,
      shards: listShards(cell, name),
      share: computeRate((each) => each.cpuMs) / 1_000,
      residentMb: last.counters.residentMb,
      links: computeRate((each) => each.linkSentBytes + each.linkReceivedBytes),
      log: computeRate((each) => each.logBytes),
      vmList: computeRate((each) => each.vmListBytes),
      workers: computeRate((each) => each.workerBytes),
      logReadsPerSecond: computeRate((each) => each.logReads),
    };
  });
}

/** Sums the control bytes per second of a process. */
export function sumBytes(cost: ProcessCost): number {
  return cost.links + cost.log + cost.vmList + cost.workers;
}

async function readAllCounters(
  cell: cells.Cell,
): Promise<
  ReadonlyMap<
    string,
    { readonly atMs: number; readonly counters: cells.ProcessCounters }
  >
> {
  const countersByName = new Map<
    string,
    { readonly atMs: number; readonly counters: cells.ProcessCounters }
  >();
  for (const { name } of cell.daemons) {
    const counters = await cell.readCounters(name);
    countersByName.set(name, { atMs: performance.now(), counters });
  }
  return countersByName;
}

function listShards(cell: cells.Cell, name: string): readonly string[] {
  const shards = new Set(
    cell.platform.log
      .getRecords('claims')
      .map((record) => (record.body as { shard: string }).shard),
  );
  return [...shards]
    .filter((shard) => cell.findOwner(shard)?.process === name)
    .sort();
}

/** Starts tasks that don't end, two thirds of them in the log's region, and returns how many are running. */
async function startTasks(cell: cells.Cell, tasks: number): Promise<number> {
  if (tasks === 0) return 0;
  const [daemon] = cell.daemons;
  if (daemon === undefined) throw new Error('cell has no daemons');
  const homeTasks = Math.round((2 * tasks) / 3);
  const tasksByRegion: readonly (readonly [string, number])[] = [
    [cells.HOME_REGION, homeTasks],
    [cells.FAR_REGION, tasks - homeTasks],
  ];
  for (const [region, count] of tasksByRegion)
    await calls.submitJob(daemon, {
      name: `standing-${region}`,
      region,
      count,
      cores: 0.01,
      actualMs: 0,
    });
  await waits
    .waitForValue(
      'task starts',
      START_TIMEOUT_MS,
      () => countRunning(cell) >= tasks || undefined,
    )
    .catch(() => undefined);
  return countRunning(cell);
}

function countRunning(cell: cells.Cell): number {
  return cell.platform.fleet
    .getAudit()
    .starts.filter((start) => start.endedMs === undefined).length;
}
