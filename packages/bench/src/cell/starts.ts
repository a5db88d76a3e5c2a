/** Appends, records and processor time at steady rates of task starts. */
import * as calls from './calls.js';
import * as cells from './cell.js';
import * as idle from './idle.js';
import * as waits from './waits.js';

/** One rate. */
export interface StartRow {
  /** Run time of the tasks in ms, which sets the rate. */
  readonly taskMs: number;
  readonly startsPerSecond: number;
  /** Starts of the shard in the log's region. */
  readonly homeStartsPerSecond: number;
  readonly appendsPerSecond: number;
  readonly recordsPerSecond: number;
  readonly appendedBytesPerSecond: number;
  /** Event loop of the stand-ins: share of the window in which they were busy, 0 to 1. */
  readonly standinShare: number;
  readonly costs: readonly idle.ProcessCost[];
}

const WARM_UP_MS = 4_000;
/** Cores of all workers of a cell of today's size, which the team of the load may use. */
const QUOTA_CORES = 100_000;
const NOTE = `[release]
id = 2026-12-04.2
base = 2026-12-04.1
title = Room for the measurement
[changed team catalogue]
quota_cores = ${QUOTA_CORES}
quota_memory_mb = 1000000000
`;
/** Tasks that run at a time at most, one core each, in both regions. */
const MAX_RUNNING = 1_400;

/** Keeps both shards busy with tasks of each run time in turn. */
export async function measureStarts(
  cell: cells.Cell,
  taskTimes: readonly number[],
  windowMs: number,
): Promise<readonly StartRow[]> {
  const [daemon] = cell.daemons;
  if (daemon === undefined) throw new Error('no processes');
  const answer = await calls.publish(daemon, NOTE);
  if (answer.status !== 200) throw new Error(answer.text);
  const rows: StartRow[] = [];
  for (const taskMs of taskTimes)
    rows.push(await measureRate(cell, taskMs, windowMs));
  return rows;
}

async function measureRate(
  cell: cells.Cell,
  taskMs: number,
  windowMs: number,
): Promise<StartRow> {
  const [daemon] = cell.daemons;
  if (daemon === undefined) throw new Error('no processes');
  const seconds = (WARM_UP_MS + windowMs) / 1_000 + 2;
  const needed = Math.ceil((MAX_RUNNING * seconds * 1_000) / taskMs);
  const jobs: string[] = [];
  for (const region of [cells.HOME_REGION, cells.FAR_REGION])
    jobs.push(
      await calls.submitJob(daemon, {
        name: `rate-${taskMs}-${region}`,
        region,
        count: Math.min(20_000, needed),
        cores: 1,
        actualMs: taskMs,
      }),
    );
  await waits.waitMs(WARM_UP_MS);
  const before = cell.platform.log.readAudit();
  const busyBefore = performance.eventLoopUtilization();
  const startMs = Date.now();
  const costs = await idle.measureCosts(cell, windowMs);
  const endMs = Date.now();
  const after = cell.platform.log.readAudit();
  const { utilization } = performance.eventLoopUtilization(busyBefore);
  const all = cell.platform.fleet
    .readAudit()
    .starts.filter(
      ({ startedMs }) => startedMs >= startMs && startedMs < endMs,
    );
  const home = all.filter(({ jobId }) => jobId === jobs[0]);
  const span = (endMs - startMs) / 1_000;
  await cancelJobs(cell, jobs);
  return {
    taskMs,
    startsPerSecond: all.length / span,
    homeStartsPerSecond: home.length / span,
    appendsPerSecond: (after.appends - before.appends) / span,
    recordsPerSecond: (after.records - before.records) / span,
    appendedBytesPerSecond: (after.bytesIn - before.bytesIn) / span,
    standinShare: utilization,
    costs,
  };
}

/** Cancels the jobs and waits until no attempt runs. */
async function cancelJobs(
  cell: cells.Cell,
  jobs: readonly string[],
): Promise<void> {
  const [daemon] = cell.daemons;
  if (daemon === undefined) return;
  for (const job of jobs) await calls.cancelJob(daemon, job);
  await waits
    .waitForValue('stops', 10_000, () => {
      const { starts } = cell.platform.fleet.readAudit();
      return starts.every((each) => each.endedMs !== undefined) || undefined;
    })
    .catch(() => undefined);
}
