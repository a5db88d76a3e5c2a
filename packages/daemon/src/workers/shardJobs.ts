/** The jobs of a shard: passes them to the scheduler, and writes their ends and renewals to the log. */
import * as core from '@flamingoward/core';
import * as recorders from './taskEndRecorder.js';
import * as stores from '../jobs/stores.js';
import type * as states from './state.js';

const APPEND_RETRY_DELAY_MS = 1_000;

/** Timeout of the append of a `settled` record, which is then tried again. */
const SETTLED_APPEND_TIMEOUT_MS = 2_000;

/** Limit of jobs whose records are written again in one renewal. */
const MAX_RENEWED_JOBS = 100;

/** Returns whether the tasks of a job are started at most once. */
export function isAtMostOnce(
  state: states.ShardState,
  job: core.jobs.Job,
): boolean {
  const { classes } = state.dependencies.releases.getState();
  const jobClass = classes.get(job.spec.jobClass);
  if (jobClass !== undefined) return !jobClass.idempotent;
  // The class was withdrawn; intents exist only for tasks that are started at most once.
  return state.tasks.table.intents.has(job.id);
}

/** Passes a job to the scheduler; tasks that an earlier owner may have started are held. */
export function addJob(state: states.ShardState, job: core.jobs.Job): void {
  if (state.knownJobs.has(job.id) || job.state !== 'accepted') return;
  state.knownJobs.add(job.id);
  const ended = core.listTaskEnds(state.tasks.table, job.id);
  state.apply({ event: 'job.accepted', job, ended });
  if (!state.isConcluded && job.acceptedAt < state.takeOverOffset) {
    requestInventories(state, job.id);
    holdTasks(state, job, ended);
  }
  if (job.cancelRequested)
    state.apply({ event: 'job.cancelled', job: job.id, by: 'a caller' });
  endFinishedJob(state, job.id);
}

/**
 * Requests the inventories again that were applied before the job was known: their
 * attempts of the job weren't adopted.
 */
function requestInventories(
  state: states.ShardState,
  job: core.ids.JobId,
): void {
  for (const entry of state.workers.values()) {
    if (!entry.unknownJobs.has(job)) continue;
    entry.isInventoryComplete = false;
    void entry.session.sync();
  }
}

function holdTasks(
  state: states.ShardState,
  job: core.jobs.Job,
  ended: readonly core.scheduling.EndedTask[],
): void {
  const done = new Set(ended.map((task) => task.index));
  const unreported = [...state.workers.values()].find(
    (entry) => !entry.isInventoryComplete,
  );
  const reason: core.reasons.Reason = {
    reason: 'waiting-for-lease',
    worker: unreported?.vm.id ?? 'any',
    untilMs:
      state.dependencies.context.timers.getDate() +
      core.LEASE_TERM_MS +
      core.LEASE_MARGIN_MS,
  };
  for (let index = 0; index < job.spec.count; index += 1) {
    if (done.has(index)) continue;
    const task = recorders.formatTask(job.id, index);
    state.heldTasks.set(task, { job: job.id, index });
    state.apply({ event: 'task.held', job: job.id, index, reason });
  }
}

/** Frees the held tasks when no worker can be running them. */
export function releaseTasks(state: states.ShardState): void {
  const tasks = [...state.heldTasks.values()];
  state.heldTasks.clear();
  for (const { job, index } of tasks) {
    if (!state.knownJobs.has(job)) continue;
    const recorded = core.getTaskEnd(state.tasks.table, job, index);
    const intent = core.getIntent(state.tasks.table, job, index);
    if (recorded === undefined && intent === undefined) {
      state.apply({ event: 'task.freed', job, index });
      continue;
    }
    // An at-most-once task whose intent is in the log may have run.
    const result = recorded ?? 'unknown';
    reportEnd(state, job, index, result, intent?.attempt);
    if (recorded === undefined)
      state.recorder.record({ job, index, result }, () => undefined);
  }
}

/** Reports the end of a task whose attempt the scheduler doesn't know: the attempt is adopted and ended at once. */
function reportEnd(
  state: states.ShardState,
  job: core.ids.JobId,
  index: number,
  result: core.jobs.TaskResult,
  attemptId: core.ids.AttemptId = `${job}.${index}.0`,
): void {
  const worker = state.workers.keys().next().value;
  if (worker === undefined) return;
  const size = core.resources.noResources;
  state.apply({ event: 'task.adopted', job, index, attemptId, worker, size });
  state.apply({ event: 'task.ended', attemptId, result });
}

/** Drops a job whose end was read from the log. */
export function dropJob(state: states.ShardState, job: core.jobs.Job): void {
  const decidedHere = state.endingJobs.delete(job.id);
  // The scheduler doesn't know an end that another owner decided, so it gets a cancellation.
  if (state.knownJobs.delete(job.id) && !decidedHere)
    state.apply({
      event: 'job.cancelled',
      job: job.id,
      by: 'the owner that ended the job',
    });
  core.dropTasks(state.tasks.table, job.id);
  for (const [task, { job: id }] of state.heldTasks)
    if (id === job.id) state.heldTasks.delete(task);
}

/** Ends a job when the ends of all its tasks are durable. */
export function endFinishedJob(
  state: states.ShardState,
  id: core.ids.JobId,
): void {
  const job = state.dependencies.jobs.table.jobs.get(id);
  if (job?.state !== 'accepted' || !state.knownJobs.has(id)) return;
  if (core.countTaskEnds(state.tasks.table, id) < job.spec.count) return;
  const ended = core.listTaskEnds(state.tasks.table, id);
  const jobEnd = core.decideJobEnd(job, ended);
  if (jobEnd !== undefined) void endJob(state, id, jobEnd);
}

/** Appends the end of a job, with retries while this process owns the shard. */
export async function endJob(
  state: states.ShardState,
  id: core.ids.JobId,
  jobEnd: core.JobEnd,
): Promise<void> {
  if (state.endingJobs.has(id)) return;
  state.endingJobs.add(id);
  const { context, streams } = state.dependencies;
  const body: core.records.JobRecord = {
    type: 'ended',
    job: id,
    state: jobEnd.state,
    reason: jobEnd.reason,
    epoch: state.epoch,
  };
  while (!state.isClosed) {
    const outcome = await streams.append('jobs', body, { flush: 'grouped' });
    if (outcome.outcome === 'appended') return;
    await core.waitFor(
      context.timers,
      'workers.end-job',
      APPEND_RETRY_DELAY_MS,
    );
  }
}

/** Appends a `settled` record, after which records of earlier owners don't count; whether it took effect shows when it is read back. */
export async function appendSettled(state: states.ShardState): Promise<void> {
  const { streams, context } = state.dependencies;
  const body: core.records.TaskRecord = {
    type: 'settled',
    epoch: state.epoch,
  };
  const outcome = await streams.append(
    stores.formatTasksStream(state.region),
    body,
    { flush: 'now', giveUpMs: SETTLED_APPEND_TIMEOUT_MS },
  );
  if (outcome.outcome === 'appended')
    state.settledDateMs = context.timers.getDate();
}

/** Writes the records of live jobs again before the log drops them by age. */
export async function renewJobs(state: states.ShardState): Promise<void> {
  const { jobs, streams, context, options } = state.dependencies;
  if (!state.isDeciding() || streams.getUnreachableSinceMs() !== undefined)
    return;
  const dueMs = context.timers.getDate() - options.retentionMs / 2;
  if (state.isConcluded && state.settledDateMs < dueMs)
    await appendSettled(state);
  const due: core.jobs.Job[] = [];
  for (const job of jobs.table.jobs.values()) {
    if (job.shard !== state.shard || job.state !== 'accepted') continue;
    const writtenMs = jobs.getWrittenMs(job.id);
    if (writtenMs !== undefined && writtenMs < dueMs) due.push(job);
    if (due.length === MAX_RENEWED_JOBS) break;
  }
  for (const job of due) await renewJob(state, job);
}

/** Writes the records of the tasks before the job, because the tasks of a job without recorded ends would run again. */
async function renewJob(
  state: states.ShardState,
  job: core.jobs.Job,
): Promise<void> {
  const { streams, jobs } = state.dependencies;
  const stream = stores.formatTasksStream(state.region);
  for (const record of listTaskRecords(state, job)) {
    const outcome = await streams.append(stream, record, { flush: 'grouped' });
    if (outcome.outcome !== 'appended') return;
  }
  const current = jobs.table.jobs.get(job.id);
  if (!state.isDeciding() || current?.state !== 'accepted') return;
  const body: core.records.JobRecord = {
    type: 'carried',
    job: current,
    epoch: state.epoch,
  };
  await streams.append('jobs', body, { flush: 'grouped' });
}

function listTaskRecords(
  state: states.ShardState,
  job: core.jobs.Job,
): readonly core.records.TaskRecord[] {
  const { table } = state.tasks;
  const ends = core
    .listTaskEnds(table, job.id)
    .map((task) => ({ job: job.id, ...task }));
  const written: core.records.TaskRecord[] = [];
  if (ends.length > 0) written.push({ type: 'ends', epoch: state.epoch, ends });
  for (const [index, intent] of table.intents.get(job.id) ?? []) {
    if (core.getTaskEnd(table, job.id, index) !== undefined) continue;
    // Written under this owner's epoch, because records of earlier epochs don't count any more.
    const { epoch } = state;
    const { attempt } = intent;
    written.push({ type: 'intent', epoch, job: job.id, index, attempt });
  }
  return written;
}
