/** Table of the attempts that exist or may exist on workers, by worker and by task. */
import type * as core from '@flamingoward/core';
import * as recorders from './taskEndRecorder.js';
import type * as types from './types.js';

/** Attempts of one shard. A task has at most one of them. */
export interface AttemptTable {
  add(attempt: types.Attempt): void;
  remove(attempt: types.Attempt): void;
  /** Needs the worker too, because another owner may have used the same id on another worker. */
  get(
    worker: core.ids.VmId,
    attempt: core.ids.AttemptId,
  ): types.Attempt | undefined;
  getByTask(job: core.ids.JobId, index: number): types.Attempt | undefined;
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
    const workerAttempts =
      byWorker.get(attempt.worker) ??
      new Map<core.ids.AttemptId, types.Attempt>();
    byWorker.set(attempt.worker, workerAttempts);
    workerAttempts.set(attempt.attemptId, attempt);
    byTask.set(recorders.formatTask(attempt.job, attempt.index), attempt);
  }

  function remove(attempt: types.Attempt): void {
    const workerAttempts = byWorker.get(attempt.worker);
    workerAttempts?.delete(attempt.attemptId);
    if (workerAttempts?.size === 0) byWorker.delete(attempt.worker);
    byTask.delete(recorders.formatTask(attempt.job, attempt.index));
  }

  return {
    add,
    remove,
    get: (worker, attempt) => byWorker.get(worker)?.get(attempt),
    getByTask: (job, index) => byTask.get(recorders.formatTask(job, index)),
    has: (attempt) =>
      byTask.get(recorders.formatTask(attempt.job, attempt.index)) === attempt,
    list: (worker) => [...(byWorker.get(worker)?.values() ?? [])],
    count: () => byTask.size,
  };
}
