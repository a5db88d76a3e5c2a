/**
 * The folds of the streams `jobs` and `tasks.<region>` as this process keeps them.
 * A store opens its stream once and observes it from the first record on.
 */
import type * as most from 'most';
import * as core from '@flamingoward/core';
import type * as parts from '../types.js';

/** Period of dropping ended jobs. */
const SWEEP_PERIOD_MS = 60_000;

/** Jobs of the cell. */
export interface JobStore {
  readonly table: core.JobTable;
  readonly reader: parts.StreamReader<core.records.JobRecord>;
  readonly changes: most.Stream<core.JobChange>;
  /** Date of the last record that holds the whole job. */
  readWrittenMs(job: core.ids.JobId): number | undefined;
  close(): void;
}

/** Durable progress of the tasks of one region. */
export interface TaskStore {
  readonly table: core.TaskTable;
  readonly reader: parts.StreamReader<core.records.TaskRecord>;
  readonly ends: most.Stream<readonly core.records.TaskEnd[]>;
  close(): void;
}

/** Names the stream of a region's tasks. */
export function formatTasksStream(region: core.ids.RegionName): string {
  return `tasks.${region}`;
}

/** Names the workers shard of a region. */
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

/** Creates the store of jobs and starts to read. */
export function createJobStore(
  context: parts.PartContext,
  streams: parts.Streams,
): JobStore {
  const table = core.createJobTable();
  const reader = streams.open<core.records.JobRecord>('jobs');
  const subject = core.createSubject<core.JobChange>();
  const written = new Map<core.ids.JobId, number>();

  void reader.records.observe((record) => {
    const change = core.applyJobRecord(
      table,
      record,
      context.timers.readDate(),
    );
    noteWritten(record.body);
    if (change.change === 'none') return;
    if (change.change === 'ended') written.delete(change.job.id);
    subject.push(change);
  });

  function noteWritten(body: core.records.JobRecord): void {
    if (body.type === 'accepted' && table.jobs.has(body.job)) {
      if (!written.has(body.job)) written.set(body.job, body.acceptedMs);
      return;
    }
    if (body.type !== 'carried' || !table.jobs.has(body.job.id)) return;
    // A record read from the past doesn't say when it was written.
    const live = reader.readHeadMs() !== undefined;
    const date = live ? context.timers.readDate() : body.job.acceptedMs;
    written.set(body.job.id, date);
  }

  const sweep = context.timers.subscribe(
    { name: 'jobs.sweep', delayMs: SWEEP_PERIOD_MS, repeat: 'periodic' },
    () => {
      for (const job of core.dropEndedJobs(table, context.timers.readDate()))
        written.delete(job);
    },
  );

  return {
    table,
    reader,
    changes: subject.stream,
    readWrittenMs: (job) => written.get(job),
    close: () => {
      sweep.end();
      subject.end();
    },
  };
}

/** Creates the store of a region's tasks and starts to read. */
export function createTaskStore(
  context: parts.PartContext,
  streams: parts.Streams,
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

  // Tasks of a job that isn't known stay: this stream may be ahead of `jobs`.
  function sweepEnded(): void {
    for (const job of [...table.ends.keys(), ...table.intents.keys()])
      if (jobs.table.ended.has(job)) core.dropTasks(table, job);
  }

  const sweep = context.timers.subscribe(
    { name: 'tasks.sweep', delayMs: SWEEP_PERIOD_MS, repeat: 'periodic' },
    sweepEnded,
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
