/**
 * Appends the ends of tasks in groups. An end stays pending until its record is
 * certain to be in the log; only then the worker may forget the attempt.
 */
import type * as core from '@flamingoward/core';
import type * as parts from '../types.js';
import * as stores from '../jobs/stores.js';

const GROUP_MS = 50;
const GROUP_LIMIT = 200;
const RETRY_MS = 1_000;

/** An end and what follows when it is durable. */
interface Pending {
  readonly end: core.records.TaskEnd;
  readonly onDurable: () => void;
}

/** Records the ends of one region's tasks. */
export interface Recorder {
  /** Records an end; a second end of the same task only waits for the first. */
  record(end: core.records.TaskEnd, onDurable: () => void): void;
  /** Result that is recorded or about to be. */
  readPending(
    job: core.ids.JobId,
    index: number,
  ): core.jobs.TaskResult | undefined;
  countPending(): number;
  close(): void;
}

/** Creates a recorder for one epoch. */
export function createRecorder(
  context: parts.PartContext,
  streams: parts.Streams,
  tasks: stores.TaskStore,
  region: core.ids.RegionName,
  epoch: core.ids.Epoch,
): Recorder {
  const stream = stores.formatTasksStream(region);
  const known = new Map<string, core.jobs.TaskResult>();
  let queue: Pending[] = [];
  let appending = false;
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
    if (closed || appending || queue.length === 0) return;
    appending = true;
    const group = queue.slice(0, GROUP_LIMIT);
    const body: core.records.TaskRecord = {
      type: 'ends',
      epoch,
      ends: group.map((pending) => pending.end),
    };
    const outcome = await streams.append(stream, body, { flush: 'grouped' });
    appending = false;
    if (outcome.outcome !== 'appended') {
      // A record that may be in the log is repeated: the first end of a task counts.
      schedule(RETRY_MS);
      return;
    }
    queue = queue.slice(group.length);
    context.metrics.count('task_ends_recorded', {}, group.length);
    if (!isClosed()) for (const { onDurable } of group) onDurable();
    if (queue.length > 0) schedule(0);
    // Until then the table doesn't show these ends.
    await tasks.reader.waitFor(outcome.offset + 1);
    for (const { end } of group) known.delete(formatTask(end.job, end.index));
  }

  function isClosed(): boolean {
    return closed;
  }

  return {
    record(end, onDurable) {
      queue.push({ end, onDurable });
      const task = formatTask(end.job, end.index);
      if (!known.has(task)) known.set(task, end.result);
      schedule(GROUP_MS);
    },
    readPending: (job, index) => known.get(formatTask(job, index)),
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
