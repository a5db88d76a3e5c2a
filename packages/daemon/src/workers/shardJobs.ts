/** The jobs of a shard: what the scheduler is told of them, and their ends in the log. */
import * as core from '@flamingoward/core';
import * as recorders from './recorder.js';
import * as stores from '../jobs/stores.js';
import type * as states from './state.js';

const APPEND_RETRY_MS = 1_000;

/** How long the append that settles a take-over may take before it is tried again. */
const SETTLED_MS = 2_000;

/** Jobs that are rewritten in one round. */
const CARRY_LIMIT = 100;

/** Reads whether the tasks of a job are started at most once. */
export function isAtMostOnce(
  state: states.ShardState,
  job: core.jobs.Job,
): boolean {
  const { classes } = state.parts.releases.readState();
  const jobClass = classes.get(job.spec.jobClass);
  if (jobClass !== undefined) return !jobClass.idempotent;
  // The class was withdrawn; an intent shows how its tasks were started.
  return state.tasks.table.intents.has(job.id);
}

/** Tells the scheduler of a job; tasks that an earlier owner may have started are held. */
export function addJob(state: states.ShardState, job: core.jobs.Job): void {
  if (state.given.has(job.id) || job.state !== 'accepted') return;
  state.given.add(job.id);
  const ended = core.listTaskEnds(state.tasks.table, job.id);
  state.apply({ event: 'job.accepted', job, ended });
  if (!state.concluded && job.acceptedAt < state.oldBelow)
    holdTasks(state, job, ended);
  if (job.cancelRequested)
    state.apply({ event: 'job.cancelled', job: job.id, by: 'a caller' });
  endFinishedJob(state, job.id);
}

function holdTasks(
  state: states.ShardState,
  job: core.jobs.Job,
  ended: readonly core.scheduling.EndedTask[],
): void {
  const done = new Set(ended.map((task) => task.index));
  const silent = [...state.workers.values()].find((entry) => !entry.complete);
  const reason: core.reasons.Reason = {
    reason: 'waiting-for-lease',
    worker: silent?.vm.id ?? 'any',
    untilMs:
      state.parts.context.timers.readDate() +
      core.LEASE_TERM_MS +
      core.LEASE_MARGIN_MS,
  };
  for (let index = 0; index < job.spec.count; index += 1) {
    if (done.has(index)) continue;
    const task = recorders.formatTask(job.id, index);
    state.held.set(task, { job: job.id, index });
    state.apply({ event: 'task.held', job: job.id, index, reason });
  }
}

/** Frees the held tasks when no worker can be running them. */
export function releaseTasks(state: states.ShardState): void {
  const tasks = [...state.held.values()];
  state.held.clear();
  for (const { job, index } of tasks) {
    if (!state.given.has(job)) continue;
    const recorded = core.readTaskEnd(state.tasks.table, job, index);
    const intent = core.readIntent(state.tasks.table, job, index);
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

/** Tells the scheduler of an end that it can't have seen: the attempt is adopted and ends at once. */
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

/** Drops a job that ended in the log. */
export function dropJob(state: states.ShardState, job: core.jobs.Job): void {
  const decidedHere = state.ending.delete(job.id);
  // The scheduler doesn't know of an end that another owner decided.
  if (state.given.delete(job.id) && !decidedHere)
    state.apply({
      event: 'job.cancelled',
      job: job.id,
      by: 'the owner that ended the job',
    });
  core.dropTasks(state.tasks.table, job.id);
  for (const [task, { job: id }] of state.held)
    if (id === job.id) state.held.delete(task);
}

/** Ends a job when the ends of all its tasks are durable. */
export function endFinishedJob(
  state: states.ShardState,
  id: core.ids.JobId,
): void {
  const job = state.parts.jobs.table.jobs.get(id);
  if (job?.state !== 'accepted' || !state.given.has(id)) return;
  if (core.countTaskEnds(state.tasks.table, id) < job.spec.count) return;
  const ended = core.listTaskEnds(state.tasks.table, id);
  const jobEnd = core.decideJobEnd(job, ended);
  if (jobEnd !== undefined) void endJob(state, id, jobEnd);
}

/** Appends the end of a job, as often as it takes while this process owns the shard. */
export async function endJob(
  state: states.ShardState,
  id: core.ids.JobId,
  jobEnd: core.JobEnd,
): Promise<void> {
  if (state.ending.has(id)) return;
  state.ending.add(id);
  const { context, streams } = state.parts;
  const body: core.records.JobRecord = {
    type: 'ended',
    job: id,
    state: jobEnd.state,
    reason: jobEnd.reason,
    epoch: state.epoch,
  };
  while (!state.closed) {
    const outcome = await streams.append('jobs', body, { flush: 'grouped' });
    if (outcome.outcome === 'appended') return;
    await core.waitFor(context.timers, 'workers.end-job', APPEND_RETRY_MS);
  }
}

/** Ends the say of earlier owners over the tasks; the stream tells whether it took effect. */
export async function appendSettled(state: states.ShardState): Promise<void> {
  const { streams, context } = state.parts;
  const body: core.records.TaskRecord = {
    type: 'settled',
    epoch: state.epoch,
  };
  const outcome = await streams.append(
    stores.formatTasksStream(state.region),
    body,
    { flush: 'now', giveUpMs: SETTLED_MS },
  );
  if (outcome.outcome === 'appended')
    state.settledMs = context.timers.readDate();
}

/** Rewrites live jobs before the log drops their records. */
export async function renewJobs(state: states.ShardState): Promise<void> {
  const { jobs, streams, context, options } = state.parts;
  if (!state.isDeciding() || streams.readAwaySince() !== undefined) return;
  const dueMs = context.timers.readDate() - options.retentionMs / 2;
  if (state.concluded && state.settledMs < dueMs) await appendSettled(state);
  const due: core.jobs.Job[] = [];
  for (const job of jobs.table.jobs.values()) {
    if (job.shard !== state.shard || job.state !== 'accepted') continue;
    const writtenMs = jobs.readWrittenMs(job.id);
    if (writtenMs !== undefined && writtenMs < dueMs) due.push(job);
    if (due.length === CARRY_LIMIT) break;
  }
  for (const job of due) await renewJob(state, job);
}

/** The tasks come first: a job without its ends would run again. */
async function renewJob(
  state: states.ShardState,
  job: core.jobs.Job,
): Promise<void> {
  const { streams, jobs } = state.parts;
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
    if (core.readTaskEnd(table, job.id, index) !== undefined) continue;
    // Under this owner's epoch: a record of an earlier one doesn't count any more.
    const { epoch } = state;
    const { attempt } = intent;
    written.push({ type: 'intent', epoch, job: job.id, index, attempt });
  }
  return written;
}
