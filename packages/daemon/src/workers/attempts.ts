/** Attempts that are or may be on workers, by worker and by task. */
import type * as core from '@flamingoward/core';
import * as recorder from './recorder.js';
import type * as types from './types.js';

/** Attempts of one shard. A task has at most one of them. */
export interface AttemptTable {
  add(attempt: types.Attempt): void;
  remove(attempt: types.Attempt): void;
  /** Reads by worker, because another owner may have used the same id elsewhere. */
  read(
    worker: core.ids.VmId,
    attempt: core.ids.AttemptId,
  ): types.Attempt | undefined;
  readTask(job: core.ids.JobId, index: number): types.Attempt | undefined;
  has(attempt: types.Attempt): boolean;
  list(worker: core.ids.VmId): readonly types.Attempt[];
  count(): number;
}

/** Creates an empty table. */
export function createAttemptTable(): AttemptTable {
  const byWorker = new Map<
    core.ids.VmId,
    Map<core.ids.AttemptId, types.Attempt>
  >();
  const byTask = new Map<string, types.Attempt>();

  function add(attempt: types.Attempt): void {
    const there =
      byWorker.get(attempt.worker) ??
      new Map<core.ids.AttemptId, types.Attempt>();
    byWorker.set(attempt.worker, there);
    there.set(attempt.attemptId, attempt);
    byTask.set(recorder.formatTask(attempt.job, attempt.index), attempt);
  }

  function remove(attempt: types.Attempt): void {
    const there = byWorker.get(attempt.worker);
    there?.delete(attempt.attemptId);
    if (there?.size === 0) byWorker.delete(attempt.worker);
    byTask.delete(recorder.formatTask(attempt.job, attempt.index));
  }

  return {
    add,
    remove,
    read: (worker, attempt) => byWorker.get(worker)?.get(attempt),
    readTask: (job, index) => byTask.get(recorder.formatTask(job, index)),
    has: (attempt) =>
      byTask.get(recorder.formatTask(attempt.job, attempt.index)) === attempt,
    list: (worker) => [...(byWorker.get(worker)?.values() ?? [])],
    count: () => byTask.size,
  };
}
