/**
 * The take-over of a shard: which workers the new owner still has to wait for before
 * it may conclude that a task is on none of them.
 */
import * as core from '@flamingoward/core';
import * as session from './session.js';
import * as shardJobs from './shardJobs.js';
import type * as states from './state.js';

const HEAD_RETRY_MS = 500;

/** What counts about one worker. */
export interface WorkerAccount {
  /** A complete inventory under this session was applied. */
  readonly complete: boolean;
  /** Local time after which the leases known to this session are over. */
  readonly leaseEndMs: number | undefined;
}

/** What counts about the take-over. */
export interface TakeOver {
  /** Local time when the shard was gained, or when the log last was away after that. */
  readonly claimKnownMs: number;
  /** This process runs in the region of the shard. */
  readonly local: boolean;
  /** The epoch isn't from a claim in the log. */
  readonly provisional: boolean;
  /** Local time of the first answer of any worker of the region. */
  readonly firstAnswerMs: number | undefined;
}

/**
 * Returns the local time from which a worker needs no waiting: 0 when its inventory
 * is complete, undefined while that time isn't known.
 *
 * The lease term of a silent worker counts from the take-over only when the previous
 * owner can't go on unaware of it. A process outside the region may have taken the
 * shard during a partition in which the previous owner served its region; that owner
 * learns of the new one from the first worker that both reach, at the latest with
 * its next sync call. Without a claim in the log the previous owner may not learn of
 * the new one at all; the same holds while the log is away after the claim.
 */
export function readAccountedMs(
  worker: WorkerAccount,
  takeOver: TakeOver,
): number | undefined {
  if (worker.complete) return 0;
  if (takeOver.provisional) return undefined;
  if (worker.leaseEndMs !== undefined) return worker.leaseEndMs;
  const termMs = core.LEASE_TERM_MS + core.LEASE_MARGIN_MS;
  if (takeOver.local) return takeOver.claimKnownMs + termMs;
  if (takeOver.firstAnswerMs === undefined) return undefined;
  const reachedMs = takeOver.firstAnswerMs + session.SYNC_WAIT_MS;
  return Math.max(reachedMs, takeOver.claimKnownMs) + termMs;
}

/** Reads the jobs and the recorded ends; without the log, what is known has to do. */
export async function readTables(state: states.ShardState): Promise<void> {
  const { streams, jobs, context } = state.parts;
  // Running tasks can be adopted without the log; tasks that aren't found stay held.
  const isAway = () => streams.readAwaySince() !== undefined;
  const provisional = state.epoch.provisional > 0;
  if (provisional && isAway()) return;
  while (!state.closed) {
    const read = await readHeads(state);
    // Without a claim in the log an earlier owner may start later jobs as well.
    if (read && !provisional) state.oldBelow = jobs.reader.readNext();
    if (read || provisional || isAway()) return;
    await core.waitFor(context.timers, 'workers.read', HEAD_RETRY_MS);
  }
}

/** The claims are read as well: a newer claim ends this shard before anything is concluded. */
async function readHeads(state: states.ShardState): Promise<boolean> {
  try {
    await Promise.all([
      state.parts.streams.open('claims').waitForHead(),
      state.parts.jobs.reader.waitForHead(),
      state.tasks.reader.waitForHead(),
    ]);
    return !state.closed;
  } catch {
    return false;
  }
}

function isAccounted(state: states.ShardState): boolean {
  const { context, membership } = state.parts;
  const takeOver: TakeOver = {
    claimKnownMs: state.claimKnownMs,
    local: context.identity.region === state.region,
    provisional: state.epoch.provisional > 0,
    firstAnswerMs: state.firstAnswerMs,
  };
  const nowMs = context.timers.readNow();
  const isOpen = (entry: states.WorkerEntry): boolean => {
    const leaseEndMs = core.readLeaseEnd(entry.session.readAuthority());
    const { complete } = entry;
    const fromMs = readAccountedMs({ complete, leaseEndMs }, takeOver);
    return fromMs === undefined || nowMs < fromMs;
  };
  // Looking at all workers after each report would cost the square of their number.
  const last = state.workers.get(state.waitingFor ?? '');
  if (last !== undefined && isOpen(last)) return false;
  for (const entry of state.workers.values()) {
    if (!isOpen(entry)) continue;
    state.waitingFor = entry.vm.id;
    return false;
  }
  // An empty list was never read.
  return membership.readVms().length > 0;
}

/** Whether this owner's `settled` record was read. */
function isSettled(state: states.ShardState): boolean {
  const { settled } = state.tasks.table;
  return (
    settled !== undefined && core.compareEpochs(settled, state.epoch) === 0
  );
}

/**
 * Ends the take-over when every worker is accounted for, and frees what is on no
 * worker. The previous owner may have recorded ends and had them forgotten before
 * the inventories were taken, so the stream of tasks is read up to a `settled`
 * record that is appended after them; what a replaced owner appends later doesn't
 * count, because the task may have been started again.
 */
export async function endTakeOver(state: states.ShardState): Promise<void> {
  const isReady = () =>
    state.prepared &&
    !state.concluded &&
    state.isDeciding() &&
    isAccounted(state);
  if (state.concluding || !isReady()) return;
  state.concluding = true;
  if (!isSettled(state)) await shardJobs.appendSettled(state);
  const read = (await readHeads(state)) && isSettled(state);
  state.concluding = false;
  // Workers that are listed meanwhile have to be accounted for as well.
  if (!read || !isReady()) return;
  const { context, jobs } = state.parts;
  state.oldBelow = Math.min(state.oldBelow, jobs.reader.readNext());
  state.concluded = true;
  shardJobs.releaseTasks(state);
  context.log.write('info', 'shard.settled', {
    shard: state.shard,
    tookMs: Math.round(context.timers.readNow() - state.gainedMs),
    attempts: state.attempts.count(),
  });
}
