/**
 * Durable jobs: appends acceptances and cancellations in groups and keeps a view of the
 * stream `jobs`. The owner reads the stream; other nodes read on only when no owner answers,
 * and only if they have been an owner, because first reads by every node would saturate the
 * links between regions. An append without an answer is retried, which is idempotent because the
 * record has the same key and value.
 *
 * Such an append may also be carried out seconds later. A cancellation is therefore stored
 * even if there is no such job: it holds for a job whose acceptance is stored after it.
 */
import type * as core from '@flamingoward/core';
import * as access from './access.js';
import type * as contexts from './context.js';
import type * as ports from './ports.js';
import * as timeouts from './timeouts.js';
import * as records from './records.js';
import * as tails from './tail.js';

/** Time that must remain before the deadline for another attempt, in ms. */
const MIN_RETRY_TIME_MS = 400;
/** Time for which ended jobs are kept, in ms; several times what callers are promised. */
const ENDED_RETENTION_MS = 600_000;
/** Most records in one append; the others go into the next one. */
const MAX_GROUP_RECORDS = 200;
/** Most jobs whose records are dropped in one append. */
const MAX_DROPPED_JOBS = 2_000;
/** Most stored cancellations of jobs that aren't known, of some 200 bytes each in memory; further ones are refused. */
const MAX_EARLY_CANCELLATIONS = 20_000;

/** Consecutive appends without an answer after which the store counts as unavailable. */
const UNANSWERED_APPENDS_LIMIT = 2;
/** Time between probes of an unavailable store, in ms. */
const PROBE_INTERVAL_MS = 400;
/** Age of an unanswered append after which the store is probed, in ms. */
const SLOW_APPEND_MS = 350;
/** Duration of a read to the end of the stream from which it is logged, in ms. */
const SLOW_READ_MS = 500;
/** Time for which the record of a job that another one replaced is written again, in ms; as long as a caller waits. */
const REWRITE_TIMEOUT_MS = 3_000;
/** Timeout of a probe, in ms. */
const PROBE_TIMEOUT_MS = 600;

/** A job according to the stream. */
export interface StoredJob {
  readonly id: core.ids.JobId;
  /** Undefined before its record has been read, and after the job has ended. */
  job: core.workloads.Job | undefined;
  /** Undefined before a record has told it. */
  origin?: access.JobOrigin | undefined;
  cancelled: boolean;
  final: core.workloads.FinalState | undefined;
  /** Monotonic time at which this node learned of its end or cancellation. */
  endedMs: number | undefined;
}

/** Result of a durable write. */
export type WriteResult =
  | { readonly outcome: 'durable'; readonly why?: string }
  /** Nothing was written: no VM can run the job, or the store doesn't take its record. */
  | { readonly outcome: 'declined'; readonly why: string }
  /** Another workspace has a job with this id. */
  | { readonly outcome: 'in-use'; readonly why?: string }
  | { readonly outcome: 'refused'; readonly why: string }
  | { readonly outcome: 'unknown'; readonly why: string };

/** The jobs of the cluster. */
export interface JobStore {
  /** Stores a job, unless one with its id is known; `in-use` if `caller` can't have submitted that one. */
  accept(
    job: core.workloads.Job,
    deadlineMs: number,
    caller?: core.clusterMessages.JobCaller,
  ): Promise<WriteResult>;
  /**
   * Stores a cancellation, which holds for a job that is accepted later as well, but never
   * for one that `caller` may not cancel.
   */
  cancel(
    id: core.ids.JobId,
    deadlineMs: number,
    caller?: core.clusterMessages.JobCaller,
  ): Promise<WriteResult>;
  /** Returns a job that has been accepted; undefined if only a cancellation is known. */
  find(id: core.ids.JobId): StoredJob | undefined;
  /** Does the same for a job that `caller` may read. */
  findReadable(
    id: core.ids.JobId,
    caller: core.clusterMessages.JobCaller | undefined,
  ): StoredJob | undefined;
  /** Reads to the end of the stream; resolves with false when the store doesn't answer. */
  refresh(): Promise<boolean>;
  /**
   * Does the same if the stream has been read before; otherwise resolves with false. For
   * answers to callers: a first read takes the whole stream, and with those of many nodes
   * the links between regions would be too busy for the read of a new owner.
   */
  refreshIfRead(): Promise<boolean>;
  /** Returns the time since the last read to the end of the stream began, in ms. */
  getReadAge(): number;
  list(): Iterable<StoredJob>;
  /** Adds a final state that this node has made durable to the view. */
  recordFinal(id: core.ids.JobId, state: core.workloads.FinalState): void;
  dropExpired(): Promise<void>;
  /** Drops a job from the view; its records stay. */
  drop(id: core.ids.JobId): void;
  /** Sets the function that is called with each change while this node owns the cluster. */
  setObserver(
    observer: ((change: records.JobChange) => void) | undefined,
  ): void;
  /** Returns whether the store is unavailable, and the newest error. */
  getHealth(): { readonly unavailable: boolean; readonly why: string };
  close(): void;
}

interface PendingWrite {
  readonly record: ports.NewRecord;
  readonly deadlineMs: number;
  attempted: boolean;
  /** Whether it must not share an append with others, since the store has rejected one with all of them. */
  alone: boolean;
  readonly resolve: (result: WriteResult) => void;
}

/** Creates the job store of a node. */
export function createJobStore(context: contexts.NodeContext): JobStore {
  const { timers, metrics } = context;
  const jobs = new Map<core.ids.JobId, StoredJob>();
  /** Cancellations of jobs that aren't known, each with the time at which this node learned of it. */
  const earlyCancellations = new Map<
    core.ids.JobId,
    {
      readonly learnedMs: number;
      readonly caller: core.clusterMessages.JobCaller | undefined;
    }
  >();
  const queue: PendingWrite[] = [];
  const accepting = new Map<
    core.ids.JobId,
    { readonly origin: access.JobOrigin; readonly result: Promise<WriteResult> }
  >();
  let observer: ((change: records.JobChange) => void) | undefined;
  let writing = false;
  let unavailableWhy = '';
  let unavailable = false;
  let unansweredAppends = 0;
  let newestRead: Promise<boolean> | undefined;
  /** Time up to which all appended records have been read. */
  let completeToMs = -Infinity;
  const appendTimeout = timeouts.createAppendTimeout();
  let recoveryProbe: core.TimerSubscription | undefined;

  /** Jobs that were known when the newest records of all keys began to be read. */
  let knownBeforeRead: readonly core.ids.JobId[] = [];
  const stream = context.ports.store.openStream('jobs');
  const tail = tails.createTail({
    source: {
      read: (from, options) => stream.read(from, options),
      readNewest(timeoutMs) {
        knownBeforeRead = [...jobs.keys(), ...earlyCancellations.keys()];
        return stream.readNewest(timeoutMs);
      },
    },
    apply: applyRecord,
    reset: dropMissing,
    onFailed: (why) => {
      markUnavailable(why);
    },
  });

  function markUnavailable(why: string): void {
    if (!unavailable)
      context.log.write('warn', 'store.lost', { stream: 'jobs', why });
    unavailable = true;
    unavailableWhy = why;
    // Entries that were never sent certainly weren't written, so they can be refused.
    for (const entry of queue.splice(0)) {
      if (entry.attempted) queue.push(entry);
      else entry.resolve({ outcome: 'refused', why });
    }
    recoveryProbe ??= timers.subscribe(
      { name: 'jobs.probe', delayMs: PROBE_INTERVAL_MS, repeat: 'periodic' },
      () => {
        void probeStore();
      },
    );
  }

  /** Probes the store with a read of one small stream, so that no caller's request has to wait for a timeout. */
  async function probeStore(): Promise<void> {
    const claims = context.ports.store.openStream('claims');
    const result = await claims.readNewest(PROBE_TIMEOUT_MS);
    if (result.outcome === 'newest') markAvailable();
    else markUnavailable(result.why);
  }

  function markAvailable(): void {
    unansweredAppends = 0;
    if (unavailable)
      context.log.write('info', 'store.regained', { stream: 'jobs' });
    unavailable = false;
    recoveryProbe?.end();
    recoveryProbe = undefined;
  }

  function applyRecord(record: ports.KeyedRecord): void {
    const change = records.parseJobChange(record);
    if (change === undefined) {
      context.log.write('warn', 'job.unreadable', { key: record.key });
      return;
    }
    handleChange(change);
  }

  function handleChange(change: records.JobChange): void {
    if (isForeign(change)) return;
    applyChange(change);
    observer?.(change);
  }

  /** Returns whether a change comes from another workspace than the job that is known under its id. */
  function isForeign(change: records.JobChange): boolean {
    if (change.change === 'cancelled')
      return !access.canChange(jobs.get(change.id)?.origin, change.caller);
    if (change.change !== 'accepted') return false;
    const { job } = change;
    const known = jobs.get(job.id);
    if (access.canRepeat(known?.origin, access.buildOrigin(job))) return false;
    context.log.write('warn', 'job.id-in-use', { job: job.id });
    // The store keeps the newest record of a key; the first job of an id must outlast a change of owner.
    if (observer !== undefined && known?.job !== undefined)
      void write(
        records.buildAccepted(known.job),
        timers.getNow() + REWRITE_TIMEOUT_MS,
      );
    return true;
  }

  function ensureJob(id: core.ids.JobId, origin?: access.JobOrigin): StoredJob {
    const known = jobs.get(id);
    if (known !== undefined) {
      known.origin ??= origin;
      return known;
    }
    const cancellation = earlyCancellations.get(id);
    const cancelledMs =
      cancellation !== undefined &&
      access.canChange(origin, cancellation.caller)
        ? cancellation.learnedMs
        : undefined;
    earlyCancellations.delete(id);
    const entry: StoredJob = {
      id,
      job: undefined,
      origin,
      cancelled: cancelledMs !== undefined,
      final: undefined,
      endedMs: cancelledMs,
    };
    jobs.set(id, entry);
    return entry;
  }

  function endJob(id: core.ids.JobId): StoredJob {
    const entry = ensureJob(id);
    entry.endedMs ??= timers.getNow();
    return entry;
  }

  /** Drops the records of jobs whose retention period is over. */
  async function dropExpired(): Promise<void> {
    const endedBeforeMs = timers.getNow() - ENDED_RETENTION_MS;
    const expired = [...jobs.values()].filter(
      ({ endedMs }) => endedMs !== undefined && endedMs < endedBeforeMs,
    );
    const expiredEarly = [...earlyCancellations].filter(
      ([, { learnedMs }]) => learnedMs < endedBeforeMs,
    );
    const expiredIds = [
      ...expired.map(({ id }) => id),
      ...expiredEarly.map(([id]) => id),
    ].slice(0, MAX_DROPPED_JOBS);
    if (expiredIds.length === 0) return;
    const result = await context.ports.store.append(
      'jobs',
      expiredIds.flatMap(records.buildForgotten),
      { timeoutMs: appendTimeout.getMs() },
    );
    // After any other outcome the next round drops them.
    if (result.outcome !== 'appended') return;
    expiredIds.forEach(dropJob);
    context.log.write('info', 'jobs.forgotten', { count: expiredIds.length });
  }

  /** Drops the jobs whose keys an owner has dropped while this node didn't follow the stream. */
  function dropMissing(keys: ReadonlySet<string>): void {
    const stored = new Set([...keys].map(records.getJobId));
    const missing = knownBeforeRead.filter((id) => !stored.has(id));
    missing.forEach(dropJob);
    if (missing.length > 0)
      context.log.write('info', 'jobs.missing', { count: missing.length });
  }

  function dropJob(id: core.ids.JobId): void {
    jobs.delete(id);
    earlyCancellations.delete(id);
  }

  function cancelJob(
    id: core.ids.JobId,
    caller: core.clusterMessages.JobCaller | undefined,
  ): void {
    if (jobs.has(id)) endJob(id).cancelled = true;
    else if (!earlyCancellations.has(id))
      earlyCancellations.set(id, { learnedMs: timers.getNow(), caller });
  }

  function applyChange(change: records.JobChange): void {
    switch (change.change) {
      case 'accepted': {
        const { id } = change.job;
        const isEarly = earlyCancellations.has(id);
        const entry = ensureJob(id, access.buildOrigin(change.job));
        if (isEarly && entry.cancelled)
          context.log.write('info', 'job.cancelled-early', { job: id });
        if (entry.final === undefined) entry.job ??= change.job;
        return;
      }
      case 'cancelled':
        cancelJob(change.id, change.caller);
        return;
      case 'final':
        endJob(change.id).final = change.state;
        return;
      case 'body-dropped': {
        // Without an origin, it is the first of the records that are dropped when a job is forgotten.
        if (change.origin !== undefined) {
          ensureJob(change.id, change.origin);
          endJob(change.id);
        }
        const entry = jobs.get(change.id);
        if (entry !== undefined) entry.job = undefined;
        return;
      }
      case 'forgotten':
        dropJob(change.id);
    }
  }

  function write(
    record: ports.NewRecord,
    deadlineMs: number,
  ): Promise<WriteResult> {
    return new Promise((resolve) => {
      queue.push({
        record,
        deadlineMs,
        attempted: false,
        alone: false,
        resolve,
      });
      if (!writing) void writeQueue();
    });
  }

  /** Takes the writes of the next append from the queue. */
  function takeGroup(): readonly PendingWrite[] {
    if (queue[0]?.alone === true) return queue.splice(0, 1);
    const [first = []] = records.splitBySize(
      queue.slice(0, MAX_GROUP_RECORDS).map(({ record }) => record),
      context.settings.maxAppendBytes,
    );
    return queue.splice(0, first.length);
  }

  async function writeQueue(): Promise<void> {
    writing = true;
    while (queue.length > 0) {
      const group = takeGroup();
      const startedMs = timers.getNow();
      const slowAppendProbe = timers.subscribe(
        { name: 'jobs.doubt', delayMs: SLOW_APPEND_MS, repeat: 'once' },
        () => {
          void probeStore();
        },
      );
      const result = await context.ports.store.append(
        'jobs',
        group.map(({ record }) => record),
        { timeoutMs: appendTimeout.getMs() },
      );
      slowAppendProbe.end();
      const tookMs = timers.getNow() - startedMs;
      metrics.record('store_append', {}, tookMs);
      if (result.outcome === 'unknown') appendTimeout.recordNoAnswer();
      else appendTimeout.recordAnswer(tookMs);
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
        markAvailable();
        for (const entry of group) entry.resolve({ outcome: 'durable' });
        return;
      case 'refused':
        markUnavailable(result.why);
        for (const entry of group)
          entry.resolve({
            // An earlier attempt of the same record may still be carried out.
            outcome: entry.attempted ? 'unknown' : 'refused',
            why: result.why,
          });
        return;
      case 'rejected':
        context.log.write(
          'error',
          'record.rejected',
          records.describeRejected(
            'jobs',
            group.map(({ record }) => record),
            result.why,
          ),
        );
        if (group.length === 1)
          for (const entry of group)
            entry.resolve({ outcome: 'declined', why: result.why });
        else {
          for (const entry of group) entry.alone = true;
          queue.unshift(...group);
        }
        return;
      case 'unknown':
        unansweredAppends += 1;
        // A single append without an answer may be due to one broken connection.
        if (unansweredAppends >= UNANSWERED_APPENDS_LIMIT)
          markUnavailable(result.why);
        for (const entry of group) retryEntry(entry, result.why);
        return;
      case 'conflict':
      case 'fenced':
      case 'sequence':
        // The store gives these outcomes only to appends with a condition or a writer.
        for (const entry of group)
          entry.resolve({ outcome: 'unknown', why: result.outcome });
    }
  }

  function retryEntry(entry: PendingWrite, why: string): void {
    entry.attempted = true;
    if (timers.getNow() + MIN_RETRY_TIME_MS < entry.deadlineMs)
      queue.push(entry);
    else entry.resolve({ outcome: 'unknown', why });
  }

  async function accept(
    job: core.workloads.Job,
    deadlineMs: number,
    caller?: core.clusterMessages.JobCaller,
  ): Promise<WriteResult> {
    const pending = accepting.get(job.id);
    const known = jobs.get(job.id);
    if (!access.canRepeat(known?.origin ?? pending?.origin, caller))
      return { outcome: 'in-use' };
    if (known !== undefined) return { outcome: 'durable' };
    if (pending !== undefined) return pending.result;
    const result = write(records.buildAccepted(job), deadlineMs);
    accepting.set(job.id, { origin: access.buildOrigin(job), result });
    try {
      const written = await result;
      if (written.outcome !== 'durable') return written;
      handleChange({ change: 'accepted', job });
      return access.canRepeat(jobs.get(job.id)?.origin, caller)
        ? written
        : { outcome: 'in-use' };
    } finally {
      accepting.delete(job.id);
    }
  }

  async function cancel(
    id: core.ids.JobId,
    deadlineMs: number,
    caller?: core.clusterMessages.JobCaller,
  ): Promise<WriteResult> {
    if (!access.canChange(jobs.get(id)?.origin, caller))
      // While nothing can be stored, the cancellation of an unknown job is refused, and this one must not differ.
      return unavailable
        ? { outcome: 'refused', why: unavailableWhy }
        : { outcome: 'in-use' };
    if (!jobs.has(id) && earlyCancellations.size >= MAX_EARLY_CANCELLATIONS)
      return {
        outcome: 'refused',
        why: 'too many cancellations of unknown jobs',
      };
    const result = await write(records.buildCancelled(id, caller), deadlineMs);
    if (!access.canChange(jobs.get(id)?.origin, caller))
      return { outcome: 'in-use' };
    if (result.outcome === 'durable') {
      // The acceptance may be stored before the next read.
      if (!jobs.has(id)) cancelJob(id, caller);
      observer?.({ change: 'cancelled', id });
      // The view of a known job is changed by a read, since an end may have been stored before the cancellation.
      void refreshIfRead();
    }
    return result;
  }

  async function refreshIfRead(): Promise<boolean> {
    return completeToMs > -Infinity && refresh();
  }

  async function refresh(): Promise<boolean> {
    const startedMs = timers.getNow();
    const fromOffset = tail.getNextOffset();
    const read = tail.refresh();
    // Callers that wait for the same read share its promise.
    const isFirstCaller = read !== newestRead;
    newestRead = read;
    const storeAnswered = await read;
    const tookMs = timers.getNow() - startedMs;
    if (isFirstCaller && tookMs >= SLOW_READ_MS)
      context.log.write('info', 'jobs.read', {
        answered: storeAnswered,
        from: fromOffset,
        to: tail.getNextOffset(),
        tookMs: Math.round(tookMs),
      });
    if (storeAnswered) {
      completeToMs = Math.max(completeToMs, startedMs);
      markAvailable();
    }
    return storeAnswered;
  }

  return {
    accept,
    cancel,
    find: (id) => jobs.get(id),
    findReadable(id, caller) {
      const entry = jobs.get(id);
      return access.canRead(entry?.origin, caller) ? entry : undefined;
    },
    refresh,
    refreshIfRead,
    getReadAge: () => timers.getNow() - completeToMs,
    list: () => jobs.values(),
    recordFinal(id, state) {
      applyChange({ change: 'final', id, state });
    },
    dropExpired,
    drop: dropJob,
    setObserver(next) {
      observer = next;
    },
    getHealth: () => ({ unavailable, why: unavailableWhy }),
    close() {
      recoveryProbe?.end();
    },
  };
}
