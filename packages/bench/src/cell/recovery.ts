/** Time until the workers of a dead or silent owner are decided for again. */
import * as standins from '@flamingoward/standins';
import * as calls from './calls.js';
import * as cells from './cell.js';
import * as waits from './waits.js';

/** One round. */
export interface RecoveryRound {
  readonly signal: 'SIGKILL' | 'SIGSTOP';
  /** From the signal until the next claim is in the log. */
  readonly claimMs: number;
  /** From the signal until the first start on a worker after that claim; undefined when none came. */
  readonly startMs: number | undefined;
  readonly tasks: number;
  /** Tasks that never ended as done. */
  readonly lost: number;
  /** Tasks that ended as done more than once. */
  readonly repeated: number;
  /** Attempts that began while another one of the same task ran. */
  readonly doubled: number;
  /** From the signal until the last task ended; undefined when it wasn't seen to. */
  readonly allEndedMs: number | undefined;
}

const TASKS = 600;
const TASK_MS = 500;
const STARTED_BEFORE = 40;
const SILENCE_MS = 6_000;
const CLAIM_LIMIT_MS = 15_000;
const END_LIMIT_MS = 45_000;
const SHARD = `workers/${cells.HOME_REGION}`;

/** Signals the owner of the shard while it starts tasks, and follows its job to the end. */
export async function measureRecovery(
  cell: cells.Cell,
  signal: RecoveryRound['signal'],
  round: number,
): Promise<RecoveryRound> {
  const owner = await waits.waitForValue('owner', CLAIM_LIMIT_MS, () =>
    cell.readOwner(SHARD),
  );
  const other = cell.daemons.find(({ name }) => name !== owner.process);
  if (other === undefined) throw new Error('only one process');
  const job = await calls.submitJob(other, {
    name: `recovery-${round}`,
    region: cells.HOME_REGION,
    count: TASKS,
    cores: 4,
    actualMs: TASK_MS,
  });
  await waits.waitForValue(
    'starts',
    CLAIM_LIMIT_MS,
    () => listStarts(cell, job).length >= STARTED_BEFORE || undefined,
  );
  const signalMs = Date.now();
  cell.sendSignal(owner.process, signal);
  await waits.waitForValue('new owner', CLAIM_LIMIT_MS, () =>
    cell.readOwner(SHARD)?.instance === owner.instance ? undefined : true,
  );
  const claimedMs = Date.now();
  if (signal === 'SIGSTOP') {
    await waits.waitMs(Math.max(0, signalMs + SILENCE_MS - Date.now()));
    cell.sendSignal(owner.process, 'SIGCONT');
  }
  const allEnded = await waits
    .waitForValue('ends', END_LIMIT_MS, () =>
      countDone(cell, job).size === TASKS ? Date.now() : undefined,
    )
    .catch(() => undefined);
  if (signal === 'SIGKILL') await cell.startAgain(owner.process);
  const done = countDone(cell, job);
  const starts = listStarts(cell, job);
  const firstMs = Math.min(
    ...starts.map((each) => each.startedMs).filter((at) => at >= claimedMs),
  );
  const doubled = cell.platform.fleet
    .readAudit()
    .doubledTasks.filter((task) => task.startsWith(`${job}.`));
  return {
    signal,
    claimMs: claimedMs - signalMs,
    startMs: Number.isFinite(firstMs) ? firstMs - signalMs : undefined,
    tasks: TASKS,
    lost: TASKS - done.size,
    repeated: [...done.values()].filter((count) => count > 1).length,
    doubled: doubled.length,
    allEndedMs: allEnded === undefined ? undefined : allEnded - signalMs,
  };
}

function listStarts(
  cell: cells.Cell,
  job: string,
): readonly standins.StartAudit[] {
  const { starts } = cell.platform.fleet.readAudit();
  return starts.filter((start) => start.jobId === job);
}

/** How often each task of a job ended as done, by index. */
function countDone(cell: cells.Cell, job: string): ReadonlyMap<number, number> {
  const counts = new Map<number, number>();
  for (const { index, exit } of listStarts(cell, job))
    if (exit === 'done') counts.set(index, (counts.get(index) ?? 0) + 1);
  return counts;
}
