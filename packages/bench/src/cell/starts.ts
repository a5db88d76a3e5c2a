/** Measures log appends, log records and control overhead at steady rates of task starts. */
import * as calls from './calls.js';
import * as cells from './cell.js';
import * as idle from './idle.js';
import * as waits from './waits.js';

/** Measurements with one run time of the tasks. */
export interface StartRow {
  /** Run time of the tasks in ms; with a full fleet, it determines the rate of starts. */
  readonly taskMs: number;
  readonly startsPerSecond: number;
  /** Starts of the workers shard in the log's region. */
  readonly homeStartsPerSecond: number;
  readonly appendsPerSecond: number;
  readonly recordsPerSecond: number;
  readonly appendedBytesPerSecond: number;
  /** Event loop utilization of the bench process, in which the stand-ins run, 0 to 1. */
  readonly standinShare: number;
  readonly costs: readonly idle.ProcessCost[];
}

const WARM_UP_MS = 4_000;
/** Quota of the load's team; far above the cores of all workers, so that it doesn't limit the starts. */
const QUOTA_CORES = 100_000;
const RELEASE_NOTE = `[release]
id = 2026-12-04.2
base = 2026-12-04.1
title = Room for the measurement
[changed team catalogue]
quota_cores = ${QUOTA_CORES}
quota_memory_mb = 1000000000
`;
/** Upper bound of the tasks that run at a time in both regions, with one core each. */
const MAX_RUNNING = 1_400;

/** Keeps the workers shards of both regions busy with tasks of each run time in turn. */
export async function measureStarts(
  cell: cells.Cell,
  taskTimesMs: readonly number[],
  windowMs: number,
): Promise<readonly StartRow[]> {
  const [daemon] = cell.daemons;
  if (daemon === undefined) throw new Error('cell has no daemons');
  const response = await calls.publish(daemon, RELEASE_NOTE);
  if (response.status !== 200) throw new Error(response.text);
  const rows: StartRow[] = [];
  for (const taskMs of taskTimesMs)
    rows.push(await measureRate(cell, taskMs, windowMs));
  return rows;
}

async function measureRate(
  cell: cells.Cell,
  taskMs: number,
  windowMs: number,
): Promise<StartRow> {
  const [daemon] = cell.daemons;
  if (daemon === undefined) throw new Error('cell has no daemons');
  const loadSeconds = (WARM_UP_MS + windowMs) / 1_000 + 2;
  const tasksPerRegion = Math.ceil(
    (MAX_RUNNING * loadSeconds * 1_000) / taskMs,
  );
  const jobs: string[] = [];
  for (const region of [cells.HOME_REGION, cells.FAR_REGION])
    jobs.push(
      await calls.submitJob(daemon, {
        name: `rate-${taskMs}-${region}`,
        region,
        count: Math.min(20_000, tasksPerRegion),
        cores: 1,
        actualMs: taskMs,
      }),
    );
  await waits.waitMs(WARM_UP_MS);
  const before = cell.platform.log.getAudit();
  const utilizationBefore = performance.eventLoopUtilization();
  const startMs = Date.now();
  const costs = await idle.measureCosts(cell, windowMs);
  const endMs = Date.now();
  const after = cell.platform.log.getAudit();
  const { utilization } = performance.eventLoopUtilization(utilizationBefore);
  const starts = cell.platform.fleet
    .getAudit()
    .starts.filter(
      ({ startedMs }) => startedMs >= startMs && startedMs < endMs,
    );
  const homeStarts = starts.filter(({ jobId }) => jobId === jobs[0]);
  const windowSeconds = (endMs - startMs) / 1_000;
  await cancelJobs(cell, jobs);
  return {
    taskMs,
    startsPerSecond: starts.length / windowSeconds,
    homeStartsPerSecond: homeStarts.length / windowSeconds,
    appendsPerSecond: (after.appends - before.appends) / windowSeconds,
    recordsPerSecond: (after.records - before.records) / windowSeconds,
    appendedBytesPerSecond: (after.bytesIn - before.bytesIn) / windowSeconds,
    standinShare: utilization,
    costs,
  };
}

/** Cancels the jobs and waits, for at most 10 s, until no attempt is running. */
async function cancelJobs(
  cell: cells.Cell,
  jobs: readonly string[],
): Promise<void> {
  const [daemon] = cell.daemons;
  if (daemon === undefined) return;
  for (const job of jobs) await calls.cancelJob(daemon, job);
  await waits
    .waitForValue('ends of cancelled attempts', 10_000, () => {
      const { starts } = cell.platform.fleet.getAudit();
      return starts.every((each) => each.endedMs !== undefined) || undefined;
    })
    .catch(() => undefined);
}
