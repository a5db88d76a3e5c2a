/**
 * Folds the `jobs` stream into a table. The result depends only on the records and their
 * order, so every process that has read the same records has the same jobs. The table is
 * changed in place, because a copy per record would copy all jobs.
 */
import * as epochs from '../ownership/epochs.js';
import type * as ids from '../types/ids.js';
import type * as job from '../types/job.js';
import type * as records from '../types/records.js';

/** Retention of ended jobs with their specification. */
export const ENDED_KEEP_MS = 3_600_000;

/** Retention of the ids of ended jobs, by which repeated submissions are recognized. */
export const ENDED_ID_KEEP_MS = 86_400_000;

/** State of all jobs according to the stream. */
export interface JobTable {
  readonly jobs: Map<ids.JobId, job.Job>;
  /** Time of day when the end was read; kept also for jobs that were dropped or never seen. */
  readonly ended: Map<ids.JobId, number>;
  /** Jobs that were cancelled before any record described them, with the time of day. */
  readonly cancelled: Map<ids.JobId, number>;
  /** Highest epoch of the records of each shard. */
  readonly epochs: Map<ids.ShardName, ids.Epoch>;
}

/** The change made by a record. */
export type JobChange =
  | { readonly change: 'none' }
  | { readonly change: 'accepted'; readonly job: job.Job }
  | {
      readonly change: 'cancelled';
      readonly job: job.Job;
      readonly by: string;
    }
  | { readonly change: 'ended'; readonly job: job.Job };

const unchanged: JobChange = { change: 'none' };

/** Creates an empty table. */
export function createJobTable(): JobTable {
  return {
    jobs: new Map(),
    ended: new Map(),
    cancelled: new Map(),
    epochs: new Map(),
  };
}

/** Applies one record; `dateMs`, the time of day, is used only to drop ended jobs later. */
export function applyJobRecord(
  table: JobTable,
  record: records.LogRecord<records.JobRecord>,
  dateMs: number,
): JobChange {
  const body = record.body;
  switch (body.type) {
    case 'accepted':
      return applyAccepted(table, body, record.offset);
    case 'cancel':
      return applyCancel(table, body, dateMs);
    case 'ended':
      return applyEnded(table, body, dateMs);
    case 'carried':
      return applyCarried(table, body);
  }
}

function applyAccepted(
  table: JobTable,
  body: Extract<records.JobRecord, { type: 'accepted' }>,
  offset: ids.Offset,
): JobChange {
  // Ignores a repeated submission: the first record of a job counts.
  if (table.jobs.has(body.job) || table.ended.has(body.job)) return unchanged;
  return addJob(table, {
    id: body.job,
    spec: body.spec,
    urgency: body.urgency,
    shard: body.shard,
    release: body.release,
    acceptedMs: body.acceptedMs,
    acceptedAt: offset,
    state: 'accepted',
    cancelRequested: false,
  });
}

function addJob(table: JobTable, added: job.Job): JobChange {
  const cancelRequested =
    added.cancelRequested || table.cancelled.delete(added.id);
  const stored = { ...added, cancelRequested };
  table.jobs.set(stored.id, stored);
  return { change: 'accepted', job: stored };
}

function applyCancel(
  table: JobTable,
  body: Extract<records.JobRecord, { type: 'cancel' }>,
  dateMs: number,
): JobChange {
  const known = table.jobs.get(body.job);
  if (known === undefined) {
    if (!table.ended.has(body.job)) table.cancelled.set(body.job, dateMs);
    return unchanged;
  }
  if (known.state !== 'accepted' || known.cancelRequested) return unchanged;
  const cancelled = { ...known, cancelRequested: true };
  table.jobs.set(known.id, cancelled);
  return { change: 'cancelled', job: cancelled, by: body.by };
}

function applyEnded(
  table: JobTable,
  body: Extract<records.JobRecord, { type: 'ended' }>,
  dateMs: number,
): JobChange {
  const known = table.jobs.get(body.job);
  table.cancelled.delete(body.job);
  // The first end counts, whichever owner wrote it, because callers may have read it already.
  if (table.ended.has(body.job)) return unchanged;
  table.ended.set(body.job, dateMs);
  if (known === undefined) return unchanged;
  updateHighestEpoch(table, known.shard, body.epoch);
  const ended: job.Job = {
    ...known,
    state: body.state,
    endReason: body.reason,
  };
  table.jobs.set(known.id, ended);
  return { change: 'ended', job: ended };
}

function applyCarried(
  table: JobTable,
  body: Extract<records.JobRecord, { type: 'carried' }>,
): JobChange {
  const carried = body.job;
  const highest = table.epochs.get(carried.shard);
  // Otherwise a replaced owner could restore a job that the new owner has ended.
  if (highest !== undefined && epochs.compareEpochs(body.epoch, highest) < 0)
    return unchanged;
  updateHighestEpoch(table, carried.shard, body.epoch);
  if (table.ended.has(carried.id)) return unchanged;
  const known = table.jobs.get(carried.id);
  if (known === undefined) return addJob(table, carried);
  if (!carried.cancelRequested || known.cancelRequested) return unchanged;
  const cancelled = { ...known, cancelRequested: true };
  table.jobs.set(known.id, cancelled);
  return { change: 'cancelled', job: cancelled, by: 'unknown' };
}

function updateHighestEpoch(
  table: JobTable,
  shard: ids.ShardName,
  epoch: ids.Epoch,
): void {
  const highest = table.epochs.get(shard);
  if (highest === undefined || epochs.compareEpochs(epoch, highest) > 0)
    table.epochs.set(shard, epoch);
}

/** Drops jobs and ids past their retention; returns the jobs that were dropped. */
export function dropEndedJobs(
  table: JobTable,
  dateMs: number,
): readonly ids.JobId[] {
  const dropped: ids.JobId[] = [];
  for (const [id, endedMs] of table.ended) {
    if (dateMs - endedMs > ENDED_ID_KEEP_MS) table.ended.delete(id);
    if (dateMs - endedMs > ENDED_KEEP_MS && table.jobs.delete(id))
      dropped.push(id);
  }
  for (const [id, cancelledMs] of table.cancelled)
    if (dateMs - cancelledMs > ENDED_ID_KEEP_MS) table.cancelled.delete(id);
  return dropped;
}
