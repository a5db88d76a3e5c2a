/**
 * Appends the ends of tasks to the log in groups. An end stays pending until the log
 * confirms its record; only then may the worker forget the attempt.
 */
import type * as core from '@flamingoward/core';
import type * as parts from '../types.js';
import * as stores from '../jobs/stores.js';

const GROUP_DELAY_MS = 50;
const MAX_GROUP_SIZE = 200;
const RETRY_DELAY_MS = 1_000;

/** An end that isn't recorded yet, with the callback for when it is. */
interface PendingEnd {
  readonly end: core.records.TaskEnd;
  readonly onDurable: () => void;
}

/** Records the ends of the tasks of one region. */
export interface TaskEndRecorder {
  /** Records an end and calls `onDurable` once the log has it; the first end of a task counts. */
  record(end: core.records.TaskEnd, onDurable: () => void): void;
  /** Returns the result of an end that the table of tasks doesn't show yet. */
  getPendingResult(
    job: core.ids.JobId,
    index: number,
  ): core.jobs.TaskResult | undefined;
  countPending(): number;
  close(): void;
}

/** Creates a recorder for one epoch. */
export function createTaskEndRecorder(
  context: parts.PartContext,
  streams: parts.Streams,
  tasks: stores.TaskStore,
  region: core.ids.RegionName,
  epoch: core.ids.Epoch,
): TaskEndRecorder {
  const stream = stores.formatTasksStream(region);
  const pendingResults = new Map<string, core.jobs.TaskResult>();
  let queue: PendingEnd[] = [];
  let isAppending = false;
  let timer: core.TimerSubscription | undefined;
  let closed = false;

  function schedule(delayMs: number): void {
    if (closed || timer !== undefined) return;
    timer = context.timers.subscribe(
      { name: 'workers.ends', delayMs, repeat: 'once' },
      () => {
        timer = undefined;
        void flush();
      },
    );
  }

  async function flush(): Promise<void> {
    if (closed || isAppending || queue.length === 0) return;
    isAppending = true;
    const group = queue.slice(0, MAX_GROUP_SIZE);
    const body: core.records.TaskRecord = {
      type: 'ends',
      epoch,
      ends: group.map((pending) => pending.end),
    };
    const outcome = await streams.append(stream, body, { flush: 'grouped' });
    isAppending = false;
    if (outcome.outcome !== 'appended') {
      // The record may be in the log already; a duplicate is harmless, because the first end of a task counts.
      schedule(RETRY_DELAY_MS);
      return;
    }
    queue = queue.slice(group.length);
    context.metrics.count('task_ends_recorded', {}, group.length);
    if (!isClosed()) for (const { onDurable } of group) onDurable();
    if (queue.length > 0) schedule(0);
    // Kept until the table of tasks contains these ends.
    await tasks.reader.waitFor(outcome.offset + 1);
    for (const { end } of group)
      pendingResults.delete(formatTask(end.job, end.index));
  }

  function isClosed(): boolean {
    return closed;
  }

  return {
    record(end, onDurable) {
      queue.push({ end, onDurable });
      const task = formatTask(end.job, end.index);
      if (!pendingResults.has(task)) pendingResults.set(task, end.result);
      schedule(GROUP_DELAY_MS);
    },
    getPendingResult: (job, index) =>
      pendingResults.get(formatTask(job, index)),
    countPending: () => queue.length,
    close: () => {
      closed = true;
      timer?.end();
    },
  };
}

/** Formats the key of a task. */
export function formatTask(job: core.ids.JobId, index: number): string {
  return `${job}#${index}`;
}
