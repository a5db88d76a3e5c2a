/**
 * The durable jobs: appends acceptances and cancellations in groups. The view of all
 * jobs is read by the owner, and elsewhere only when no owner answers, because reading
 * it at every node after a restart fills the links between regions. An append whose answer is lost is sent again, which is
 * harmless because the same key takes the same value.
 */
import type * as core from '@flamingoward/core';
import type * as contexts from './context.js';
import type * as ports from './ports.js';
import * as patiences from './timeouts.js';
import * as records from './records.js';
import * as tails from './tail.js';

/** Time that must be left for another try, in ms. */
const SHORTEST_TRY_MS = 400;
/** Time for which ended jobs stay known, in ms: several times what callers are promised. */
const KEEP_ENDED_MS = 600_000;
/** Records of one append; the rest waits for the next. */
const MAX_GROUP = 200;

/** Appends in a row without an answer after which the store counts as away. */
const SILENCES_OF_AWAY = 2;
/** Time between reads that find out whether the store is still away, in ms. */
const PROBE_MS = 400;
/** Time without an answer to an append after which a read finds out whether the store is away, in ms. */
const DOUBT_MS = 350;
/** Time that such a read may take, in ms. */
const PROBE_TIMEOUT_MS = 600;

/** A job as the stream tells it. */
export interface StoredJob {
  readonly id: core.ids.JobId;
  /** Absent once the job has ended, and before its record is read. */
  job: core.workloads.Job | undefined;
  cancelled: boolean;
  final: core.workloads.FinalState | undefined;
  /** Monotonic time at which its end or cancellation was learned. */
  endedMs: number | undefined;
}

/** What became of a durable write. */
export type WriteResult =
  | { readonly outcome: 'durable'; readonly why?: string }
  /** Nothing was written, because the owner refused the job for good. */
  | { readonly outcome: 'declined'; readonly why: string }
  | { readonly outcome: 'refused'; readonly why: string }
  | { readonly outcome: 'unknown'; readonly why: string };

/** The jobs of the cluster. */
export interface JobStore {
  accept(job: core.workloads.Job, deadlineMs: number): Promise<WriteResult>;
  cancel(id: core.ids.JobId, deadlineMs: number): Promise<WriteResult>;
  find(id: core.ids.JobId): StoredJob | undefined;
  /** Reads to the end of the stream; false when the store doesn't answer. */
  refresh(): Promise<boolean>;
  list(): Iterable<StoredJob>;
  /** Learns an end that this node has made durable. */
  noteFinal(id: core.ids.JobId, state: core.workloads.FinalState): void;
  dropOld(): Promise<void>;
  /** Is told each change while this node owns the cluster. */
  setObserver(
    observer: ((change: records.JobChange) => void) | undefined,
  ): void;
  /** Whether the store is away. */
  readHealth(): { readonly away: boolean; readonly why: string };
  close(): void;
}

interface PendingWrite {
  readonly record: ports.NewRecord;
  readonly deadlineMs: number;
  attempted: boolean;
  readonly resolve: (result: WriteResult) => void;
}

/** Creates the store of a node. */
export function createJobStore(context: contexts.NodeContext): JobStore {
  const { timers, metrics } = context;
  const jobs = new Map<core.ids.JobId, StoredJob>();
  const queue: PendingWrite[] = [];
  const accepting = new Map<core.ids.JobId, Promise<WriteResult>>();
  let observer: ((change: records.JobChange) => void) | undefined;
  let writing = false;
  let awayWhy = '';
  let away = false;
  let silences = 0;
  const patience = patiences.createPatience();
  let probe: core.TimerSubscription | undefined;

  const tail = tails.createTail({
    source: context.ports.store.openStream('jobs'),
    apply: applyRecord,
    onFailed: (why) => {
      noteAway(why);
    },
  });

  function noteAway(why: string): void {
    if (!away) context.log.write('warn', 'store.lost', { stream: 'jobs', why });
    away = true;
    awayWhy = why;
    // Nothing was sent of these, so their refusal is true.
    for (const entry of queue.splice(0)) {
      if (entry.attempted) queue.push(entry);
      else entry.resolve({ outcome: 'refused', why });
    }
    probe ??= timers.subscribe(
      { name: 'jobs.probe', delayMs: PROBE_MS, repeat: 'periodic' },
      () => {
        void probeStore();
      },
    );
  }

  /** Reads one small stream, so that no caller has to wait to find out. */
  async function probeStore(): Promise<void> {
    const claims = context.ports.store.openStream('claims');
    const result = await claims.readNewest(PROBE_TIMEOUT_MS);
    if (result.outcome === 'newest') noteAnswer();
    else noteAway(result.why);
  }

  function noteAnswer(): void {
    silences = 0;
    if (away) context.log.write('info', 'store.regained', { stream: 'jobs' });
    away = false;
    probe?.end();
    probe = undefined;
  }

  function applyRecord(record: ports.KeyedRecord): void {
    const change = records.parseJobChange(record);
    if (change === undefined) {
      context.log.write('warn', 'job.unreadable', { key: record.key });
      return;
    }
    noteChange(change);
  }

  function noteChange(change: records.JobChange): void {
    applyChange(change);
    observer?.(change);
  }

  function ensureJob(id: core.ids.JobId): StoredJob {
    const known = jobs.get(id);
    if (known !== undefined) return known;
    const entry: StoredJob = {
      id,
      job: undefined,
      cancelled: false,
      final: undefined,
      endedMs: undefined,
    };
    jobs.set(id, entry);
    return entry;
  }

  function endJob(id: core.ids.JobId): StoredJob {
    const entry = ensureJob(id);
    entry.endedMs ??= timers.readNow();
    return entry;
  }

  /** Drops what is stored of jobs that ended long ago. */
  async function dropOld(): Promise<void> {
    const before = timers.readNow() - KEEP_ENDED_MS;
    const old = [...jobs.values()]
      .filter(({ endedMs }) => endedMs !== undefined && endedMs < before)
      .slice(0, MAX_GROUP)
      .map(({ id }) => id);
    if (old.length === 0) return;
    const result = await context.ports.store.append(
      'jobs',
      old.flatMap(records.buildForgotten),
      { timeoutMs: patience.readTimeout() },
    );
    // Otherwise they are still old the next time.
    if (result.outcome !== 'appended') return;
    for (const id of old) jobs.delete(id);
    context.log.write('info', 'jobs.forgotten', { count: old.length });
  }

  function applyChange(change: records.JobChange): void {
    switch (change.change) {
      case 'accepted': {
        const entry = ensureJob(change.job.id);
        if (entry.final === undefined) entry.job ??= change.job;
        return;
      }
      case 'cancelled':
        endJob(change.id).cancelled = true;
        return;
      case 'final':
        endJob(change.id).final = change.state;
        return;
      case 'body-dropped': {
        const entry = jobs.get(change.id);
        if (entry !== undefined) entry.job = undefined;
        return;
      }
      case 'forgotten':
        jobs.delete(change.id);
    }
  }

  function write(
    record: ports.NewRecord,
    deadlineMs: number,
  ): Promise<WriteResult> {
    return new Promise((resolve) => {
      queue.push({ record, deadlineMs, attempted: false, resolve });
      if (!writing) void writeQueue();
    });
  }

  async function writeQueue(): Promise<void> {
    writing = true;
    while (queue.length > 0) {
      const group = queue.splice(0, MAX_GROUP);
      const startedMs = timers.readNow();
      const doubt = timers.subscribe(
        { name: 'jobs.doubt', delayMs: DOUBT_MS, repeat: 'once' },
        () => {
          void probeStore();
        },
      );
      const result = await context.ports.store.append(
        'jobs',
        group.map(({ record }) => record),
        { timeoutMs: patience.readTimeout() },
      );
      doubt.end();
      const tookMs = timers.readNow() - startedMs;
      metrics.record('store_append', {}, tookMs);
      if (result.outcome === 'unknown') patience.noteSilence();
      else patience.noteAnswer(tookMs);
      settleGroup(group, result);
    }
    writing = false;
  }

  function settleGroup(
    group: readonly PendingWrite[],
    result: ports.AppendResult,
  ): void {
    switch (result.outcome) {
      case 'appended':
        noteAnswer();
        for (const entry of group) entry.resolve({ outcome: 'durable' });
        return;
      case 'refused':
        noteAway(result.why);
        for (const entry of group)
          entry.resolve({
            // An earlier try of the same record may still be carried out.
            outcome: entry.attempted ? 'unknown' : 'refused',
            why: result.why,
          });
        return;
      case 'unknown':
        silences += 1;
        // One silent connection isn't a store that is away.
        if (silences >= SILENCES_OF_AWAY) noteAway(result.why);
        for (const entry of group) retryEntry(entry, result.why);
        return;
      case 'conflict':
      case 'fenced':
      case 'sequence':
        // Appends without a condition or writer never get these.
        for (const entry of group)
          entry.resolve({ outcome: 'unknown', why: result.outcome });
    }
  }

  function retryEntry(entry: PendingWrite, why: string): void {
    entry.attempted = true;
    if (timers.readNow() + SHORTEST_TRY_MS < entry.deadlineMs)
      queue.push(entry);
    else entry.resolve({ outcome: 'unknown', why });
  }

  async function accept(
    job: core.workloads.Job,
    deadlineMs: number,
  ): Promise<WriteResult> {
    const same = accepting.get(job.id);
    if (same !== undefined) return same;
    const result = write(records.buildAccepted(job), deadlineMs);
    accepting.set(job.id, result);
    try {
      const written = await result;
      if (written.outcome === 'durable')
        noteChange({ change: 'accepted', job });
      return written;
    } finally {
      accepting.delete(job.id);
    }
  }

  async function cancel(
    id: core.ids.JobId,
    deadlineMs: number,
  ): Promise<WriteResult> {
    const result = await write(records.buildCancelled(id), deadlineMs);
    if (result.outcome === 'durable') noteChange({ change: 'cancelled', id });
    return result;
  }

  async function refresh(): Promise<boolean> {
    const read = await tail.refresh();
    if (read) noteAnswer();
    return read;
  }

  return {
    accept,
    cancel,
    find: (id) => jobs.get(id),
    refresh,
    list: () => jobs.values(),
    noteFinal(id, state) {
      applyChange({ change: 'final', id, state });
    },
    dropOld,
    setObserver(next) {
      observer = next;
    },
    readHealth: () => ({ away, why: awayWhy }),
    close() {
      probe?.end();
    },
  };
}
