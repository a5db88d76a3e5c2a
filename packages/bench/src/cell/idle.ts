/** Control cost of each process at rest: bytes by kind of peer, processor time, memory. */
import * as calls from './calls.js';
import * as cells from './cell.js';
import * as waits from './waits.js';

/** Cost of one process. */
export interface ProcessCost {
  readonly name: string;
  /** Shards that it owns, by the last claims. */
  readonly shards: readonly string[];
  /** Share of a core, 0 to 1. */
  readonly share: number;
  readonly residentMb: number;
  /** Bytes per second, both directions. */
  readonly links: number;
  readonly log: number;
  readonly vmList: number;
  readonly workers: number;
  readonly logReadsPerSecond: number;
}

/** Costs of all processes of one cell. */
export interface IdleRow {
  readonly processes: number;
  readonly workers: number;
  /** Tasks that ran during the measurement. */
  readonly tasks: number;
  readonly windowS: number;
  readonly costs: readonly ProcessCost[];
}

const START_LIMIT_MS = 40_000;
/** Time between the last start and the measurement. */
const SETTLE_MS = 4_000;

/** Starts a cell with running tasks and measures it at rest. */
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
  const before = await readAll(cell);
  await waits.waitMs(windowMs);
  const after = await readAll(cell);
  return cell.daemons.map(({ name }) => {
    const first = before.get(name);
    const last = after.get(name);
    if (first === undefined || last === undefined)
      throw new Error(`no counters of ${name}`);
    const seconds = (last.atMs - first.atMs) / 1_000;
    const measureRate = (read: (c: cells.ProcessCounters) => number): number =>
      (read(last.counters) - read(first.counters)) / seconds;
    return {
      name,
      shards: listShards(cell, name),
      share: measureRate((each) => each.cpuMs) / 1_000,
      residentMb: last.counters.residentMb,
      links: measureRate((each) => each.linkSentBytes + each.linkReceivedBytes),
      log: measureRate((each) => each.logBytes),
      vmList: measureRate((each) => each.vmListBytes),
      workers: measureRate((each) => each.workerBytes),
      logReadsPerSecond: measureRate((each) => each.logReads),
    };
  });
}

/** All control bytes per second of a process. */
export function sumBytes(cost: ProcessCost): number {
  return cost.links + cost.log + cost.vmList + cost.workers;
}

async function readAll(
  cell: cells.Cell,
): Promise<
  ReadonlyMap<
    string,
    { readonly atMs: number; readonly counters: cells.ProcessCounters }
  >
> {
  const all = new Map<
    string,
    { readonly atMs: number; readonly counters: cells.ProcessCounters }
  >();
  for (const { name } of cell.daemons) {
    const counters = await cell.readCounters(name);
    all.set(name, { atMs: performance.now(), counters });
  }
  return all;
}

function listShards(cell: cells.Cell, name: string): readonly string[] {
  const shards = new Set(
    cell.platform.log
      .read('claims')
      .map((record) => (record.body as { shard: string }).shard),
  );
  return [...shards]
    .filter((shard) => cell.readOwner(shard)?.process === name)
    .sort();
}

/** Starts tasks that don't end, two thirds of them in the log's region, and returns how many run. */
async function startTasks(cell: cells.Cell, tasks: number): Promise<number> {
  if (tasks === 0) return 0;
  const [daemon] = cell.daemons;
  if (daemon === undefined) throw new Error('no processes');
  const home = Math.round((2 * tasks) / 3);
  const parts: readonly (readonly [string, number])[] = [
    [cells.HOME_REGION, home],
    [cells.FAR_REGION, tasks - home],
  ];
  for (const [region, count] of parts)
    await calls.submitJob(daemon, {
      name: `standing-${region}`,
      region,
      count,
      cores: 0.01,
      actualMs: 0,
    });
  await waits
    .waitForValue(
      'starts',
      START_LIMIT_MS,
      () => countRunning(cell) >= tasks || undefined,
    )
    .catch(() => undefined);
  return countRunning(cell);
}

function countRunning(cell: cells.Cell): number {
  return cell.platform.fleet
    .readAudit()
    .starts.filter((start) => start.endedMs === undefined).length;
}
