/**
 * The take-over of a shard: determines for which workers the new owner still has to
 * wait before it may conclude that a task runs on none of them. Concluding too early
 * would start a running task a second time.
 */
import * as core from '@flamingoward/core';
import * as session from './session.js';
import * as shardJobs from './shardJobs.js';
import type * as states from './state.js';

const HEAD_RETRY_DELAY_MS = 500;

/** What the new owner knows of one worker. */
export interface WorkerEvidence {
  /** Whether a complete inventory under this session was applied. */
  readonly isInventoryComplete: boolean;
  /** Local time after which all leases known to this session have expired. */
  readonly leaseEndMs: number | undefined;
}

/** What the new owner knows of the take-over. */
export interface TakeOverEvidence {
  /** Local time when the shard was gained, or when the log was last unreachable after that. */
  readonly claimReadableMs: number;
  /** Whether this process runs in the region of the shard. */
  readonly isLocal: boolean;
  /** Whether the epoch comes from a provisional claim, which isn't in the log. */
  readonly isProvisional: boolean;
  /** Local time of the first report of any worker of the region. */
  readonly firstReportMs: number | undefined;
}

/**
 * Returns the local time from which the new owner needn't wait for a worker: 0 when
 * its inventory is complete, undefined while that time isn't known.
 *
 * For a worker without a report, the lease term counts from the take-over only when
 * the previous owner can't continue to renew leases without knowing of the new owner.
 * A process outside the region may have taken the shard during a partition in which
 * the previous owner still served its region; that owner learns of the new one from
 * the first worker that both reach, at the latest with its next sync call. Without a
 * claim in the log the previous owner may never learn of the new one; the same holds
 * while the log is unreachable after the claim.
 */
export function computeAccountedMs(
  worker: WorkerEvidence,
  takeOver: TakeOverEvidence,
): number | undefined {
  if (worker.isInventoryComplete) return 0;
  if (takeOver.isProvisional) return undefined;
  if (worker.leaseEndMs !== undefined) return worker.leaseEndMs;
  const termMs = core.LEASE_TERM_MS + core.LEASE_MARGIN_MS;
  if (takeOver.isLocal) return takeOver.claimReadableMs + termMs;
  if (takeOver.firstReportMs === undefined) return undefined;
  const reachedMs = takeOver.firstReportMs + session.SYNC_WAIT_MS;
  return Math.max(reachedMs, takeOver.claimReadableMs) + termMs;
}

/** Reads the jobs and the recorded ends; a provisional owner, or one without the log, continues with what is known. */
export async function readTables(state: states.ShardState): Promise<void> {
  const { streams, jobs, context } = state.dependencies;
  // Without the log running tasks can still be adopted, and tasks that aren't found stay held.
  const isAway = () => streams.getUnreachableSinceMs() !== undefined;
  const provisional = state.epoch.provisional > 0;
  if (provisional && isAway()) return;
  while (!state.isClosed) {
    const read = await readHeads(state);
    // Without a claim in the log an earlier owner may start later jobs as well.
    if (read && !provisional)
      state.takeOverOffset = jobs.reader.getNextOffset();
    if (read || provisional || isAway()) return;
    await core.waitFor(context.timers, 'workers.read', HEAD_RETRY_DELAY_MS);
  }
}

/** Reads all streams up to their heads; the claims too, because a newer claim has to end this shard before anything is concluded. */
async function readHeads(state: states.ShardState): Promise<boolean> {
  try {
    await Promise.all([
      state.dependencies.streams.open('claims').waitForHead(),
      state.dependencies.jobs.reader.waitForHead(),
      state.tasks.reader.waitForHead(),
    ]);
    return !state.isClosed;
  } catch {
    return false;
  }
}

function isEveryWorkerAccountedFor(state: states.ShardState): boolean {
  const { context, membership } = state.dependencies;
  const takeOver: TakeOverEvidence = {
    claimReadableMs: state.claimReadableMs,
    isLocal: context.identity.region === state.region,
    isProvisional: state.epoch.provisional > 0,
    firstReportMs: state.firstReportMs,
  };
  const nowMs = context.timers.getNow();
  const isAwaited = (entry: states.WorkerEntry): boolean => {
    const leaseEndMs = core.computeLeaseEnd(entry.session.getAuthority());
    const { isInventoryComplete } = entry;
    const fromMs = computeAccountedMs(
      { isInventoryComplete, leaseEndMs },
      takeOver,
    );
    return fromMs === undefined || nowMs < fromMs;
  };
  // The worker awaited last is checked first, because checking all workers after each report would take quadratic time.
  const last = state.workers.get(state.lastAwaitedWorker ?? '');
  if (last !== undefined && isAwaited(last)) return false;
  for (const entry of state.workers.values()) {
    if (!isAwaited(entry)) continue;
    state.lastAwaitedWorker = entry.vm.id;
    return false;
  }
  // An empty VM list means that it hasn't been read yet.
  return membership.listVms().length > 0;
}

/** Returns whether this owner's `settled` record was read back. */
function isSettled(state: states.ShardState): boolean {
  const { settled } = state.tasks.table;
  return (
    settled !== undefined && core.compareEpochs(settled, state.epoch) === 0
  );
}

/**
 * Ends the take-over when every worker is accounted for, and frees the tasks that are
 * on no worker. Before the inventories were taken, the previous owner may have recorded
 * the ends of attempts and let the workers forget them, so the stream of tasks is read
 * up to a `settled` record that is appended after the inventories. Records that a
 * replaced owner appends later don't count, because the task may have been started again.
 */
export async function endTakeOver(state: states.ShardState): Promise<void> {
  const isReady = () =>
    state.isPrepared &&
    !state.isConcluded &&
    state.isDeciding() &&
    isEveryWorkerAccountedFor(state);
  if (state.isConcluding || !isReady()) return;
  state.isConcluding = true;
  if (!isSettled(state)) await shardJobs.appendSettled(state);
  const read = (await readHeads(state)) && isSettled(state);
  state.isConcluding = false;
  // Workers that were listed during the reads have to be accounted for as well.
  if (!read || !isReady()) return;
  const { context, jobs } = state.dependencies;
  state.takeOverOffset = Math.min(
    state.takeOverOffset,
    jobs.reader.getNextOffset(),
  );
  state.isConcluded = true;
  shardJobs.releaseTasks(state);
  context.log.write('info', 'shard.settled', {
    shard: state.shard,
    tookMs: Math.round(context.timers.getNow() - state.gainedMs),
    attempts: state.attempts.count(),
  });
}
