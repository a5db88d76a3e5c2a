/**
 * Measures how long a workers shard has no working owner after its owner is killed
 * (SIGKILL) or paused (SIGSTOP), and whether tasks are lost or run twice meanwhile.
 */
import * as standins from '@flamingoward/standins';
import * as calls from './calls.js';
import * as cells from './cell.js';
import * as waits from './waits.js';

/** Measurements after one signal. */
export interface RecoveryRound {
  readonly signal: 'SIGKILL' | 'SIGSTOP';
  /** Time from the signal until another instance's claim is in the log. */
  readonly claimMs: number;
  /** Time from the signal until the first task start after that claim; undefined when there was none. */
  readonly startMs: number | undefined;
  readonly tasks: number;
  /** Tasks that didn't end as done within the time limit. */
  readonly lost: number;
  /** Tasks that ended as done more than once. */
  readonly repeated: number;
  /** Attempts that started while another attempt of the same task was running. */
  readonly doubled: number;
  /** Time from the signal until all tasks were done; undefined when they weren't within the time limit. */
  readonly allEndedMs: number | undefined;
}

const TASKS = 600;
const TASK_RUN_MS = 500;
const STARTS_BEFORE_SIGNAL = 40;
/** Time for which a paused owner is unresponsive before SIGCONT. */
const PAUSE_MS = 6_000;
const CLAIM_TIMEOUT_MS = 15_000;
const END_TIMEOUT_MS = 45_000;
const SHARD = `workers/${cells.HOME_REGION}`;

/** Sends a signal to the shard's owner while it starts the tasks of a job, and waits for the job's end. */
export async function measureRecovery(
  cell: cells.Cell,
  signal: RecoveryRound['signal'],
  round: number,
): Promise<RecoveryRound> {
  const owner = await waits.waitForValue('shard owner', CLAIM_TIMEOUT_MS, () =>
    cell.findOwner(SHARD),
  );
  const otherDaemon = cell.daemons.find(({ name }) => name !== owner.process);
  if (otherDaemon === undefined)
    throw new Error('recovery needs a cell with at least two daemons');
  const job = await calls.submitJob(otherDaemon, {
    name: `recovery-${round}`,
    region: cells.HOME_REGION,
    count: TASKS,
    cores: 4,
    actualMs: TASK_RUN_MS,
  });
  await waits.waitForValue(
    'task starts',
    CLAIM_TIMEOUT_MS,
    () => listStarts(cell, job).length >= STARTS_BEFORE_SIGNAL || undefined,
  );
  const signalledMs = Date.now();
  cell.sendSignal(owner.process, signal);
  await waits.waitForValue(
    'claim by a new shard owner',
    CLAIM_TIMEOUT_MS,
    () =>
      cell.findOwner(SHARD)?.instance === owner.instance ? undefined : true,
  );
  const claimedMs = Date.now();
  if (signal === 'SIGSTOP') {
    await waits.waitMs(Math.max(0, signalledMs + PAUSE_MS - Date.now()));
    cell.sendSignal(owner.process, 'SIGCONT');
  }
  const allEndedAtMs = await waits
    .waitForValue('task ends', END_TIMEOUT_MS, () =>
      countDoneByTask(cell, job).size === TASKS ? Date.now() : undefined,
    )
    .catch(() => undefined);
  if (signal === 'SIGKILL') await cell.startAgain(owner.process);
  const doneCounts = countDoneByTask(cell, job);
  const starts = listStarts(cell, job);
  const firstStartMs = Math.min(
    ...starts.map((each) => each.startedMs).filter((at) => at >= claimedMs),
  );
  const doubledTasks = cell.platform.fleet
    .getAudit()
    .doubledTasks.filter((task) => task.startsWith(`${job}.`));
  return {
    signal,
    claimMs: claimedMs - signalledMs,
    startMs: Number.isFinite(firstStartMs)
      ? firstStartMs - signalledMs
      : undefined,
    tasks: TASKS,
    lost: TASKS - doneCounts.size,
    repeated: [...doneCounts.values()].filter((count) => count > 1).length,
    doubled: doubledTasks.length,
    allEndedMs:
      allEndedAtMs === undefined ? undefined : allEndedAtMs - signalledMs,
  };
}

function listStarts(
  cell: cells.Cell,
  job: string,
): readonly standins.StartAudit[] {
  const { starts } = cell.platform.fleet.getAudit();
  return starts.filter((start) => start.jobId === job);
}

/** Counts how often each task of a job ended as done, by task index. */
function countDoneByTask(
  cell: cells.Cell,
  job: string,
): ReadonlyMap<number, number> {
  const counts = new Map<number, number>();
  for (const { index, exit } of listStarts(cell, job))
    if (exit === 'done') counts.set(index, (counts.get(index) ?? 0) + 1);
  return counts;
}
