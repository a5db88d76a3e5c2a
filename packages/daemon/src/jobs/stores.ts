/**
 * In-memory tables of jobs and tasks, built from the log streams `jobs` and
 * `tasks.<region>`. A store opens its stream once and applies every record from the
 * first one on.
 */
import type * as most from 'most';
import * as core from '@flamingoward/core';
import type * as types from '../types.js';

/** Interval between removals of ended jobs from the tables. */
const SWEEP_PERIOD_MS = 60_000;

/** All jobs of the cell. */
export interface JobStore {
  readonly table: core.JobTable;
  readonly reader: types.StreamReader<core.records.JobRecord>;
  readonly changes: most.Stream<core.JobChange>;
  /** Date in ms of the last record that contains the whole job; such a record must be renewed before the log drops it. */
  getWrittenMs(job: core.ids.JobId): number | undefined;
  close(): void;
}

/** Durable progress of the tasks of one region. */
export interface TaskStore {
  readonly table: core.TaskTable;
  readonly reader: types.StreamReader<core.records.TaskRecord>;
  readonly ends: most.Stream<readonly core.records.TaskEnd[]>;
  close(): void;
}

/** Returns the name of the stream that records a region's tasks. */
export function formatTasksStream(region: core.ids.RegionName): string {
  return `tasks.${region}`;
}

/** Returns the name of a region's workers shard. */
export function formatWorkersShard(
  region: core.ids.RegionName,
): core.ids.ShardName {
  return `workers/${region}`;
}

/** Returns the region of a workers shard, or undefined for another shard. */
export function parseWorkersShard(
  shard: core.ids.ShardName,
): core.ids.RegionName | undefined {
  const prefix = 'workers/';
  return shard.startsWith(prefix) ? shard.slice(prefix.length) : undefined;
}

/** Creates the store of jobs and starts reading its stream. */
export function createJobStore(
  context: types.PartContext,
  streams: types.Streams,
): JobStore {
  const table = core.createJobTable();
  const reader = streams.open<core.records.JobRecord>('jobs');
  const subject = core.createSubject<core.JobChange>();
  const writtenMsByJob = new Map<core.ids.JobId, number>();

  void reader.records.observe((record) => {
    const change = core.applyJobRecord(table, record, context.timers.getDate());
    recordWriteDate(record.body);
    if (change.change === 'none') return;
    if (change.change === 'ended') writtenMsByJob.delete(change.job.id);
    subject.push(change);
  });

  function recordWriteDate(body: core.records.JobRecord): void {
    if (body.type === 'accepted' && table.jobs.has(body.job)) {
      if (!writtenMsByJob.has(body.job))
        writtenMsByJob.set(body.job, body.acceptedMs);
      return;
    }
    if (body.type !== 'carried' || !table.jobs.has(body.job.id)) return;
    // Records carry no write date. Only those read after reaching the head are recent; the
    // acceptance date is an early enough bound for the others.
    const isCaughtUp = reader.getHeadReadMs() !== undefined;
    const date = isCaughtUp ? context.timers.getDate() : body.job.acceptedMs;
    writtenMsByJob.set(body.job.id, date);
  }

  const sweep = context.timers.subscribe(
    { name: 'jobs.sweep', delayMs: SWEEP_PERIOD_MS, repeat: 'periodic' },
    () => {
      for (const job of core.dropEndedJobs(table, context.timers.getDate()))
        writtenMsByJob.delete(job);
    },
  );

  return {
    table,
    reader,
    changes: subject.stream,
    getWrittenMs: (job) => writtenMsByJob.get(job),
    close: () => {
      sweep.end();
      subject.end();
    },
  };
}

/** Creates the store of a region's tasks and starts reading its stream. */
export function createTaskStore(
  context: types.PartContext,
  streams: types.Streams,
  jobs: JobStore,
  region: core.ids.RegionName,
): TaskStore {
  const table = core.createTaskTable();
  const reader = streams.open<core.records.TaskRecord>(
    formatTasksStream(region),
  );
  const subject = core.createSubject<readonly core.records.TaskEnd[]>();

  void reader.records.observe((record) => {
    const ends = core.applyTaskRecord(table, record);
    if (ends.length > 0) subject.push(ends);
  });

  // Tasks of unknown jobs are kept, because this stream may be read ahead of `jobs`.
  function dropTasksOfEndedJobs(): void {
    for (const job of [...table.ends.keys(), ...table.intents.keys()])
      if (jobs.table.ended.has(job)) core.dropTasks(table, job);
  }

  const sweep = context.timers.subscribe(
    { name: 'tasks.sweep', delayMs: SWEEP_PERIOD_MS, repeat: 'periodic' },
    dropTasksOfEndedJobs,
  );

  return {
    table,
    reader,
    ends: subject.stream,
    close: () => {
      sweep.end();
      subject.end();
    },
  };
}
