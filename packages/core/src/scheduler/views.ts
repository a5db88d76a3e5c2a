/** Read-only views of the state: task states, explanations and the dump. */
import type * as ids from '../types/ids.js';
import type * as job from '../types/job.js';
import type * as reasons from '../types/reasons.js';
import * as explain from '../explain/explain.js';
import * as filter from '../placement/filter.js';
import type * as rows from './rows.js';
import * as start from './start.js';
import type * as states from './state.js';
import * as waiting from './waiting.js';

function buildUnstarted(
  state: 'waiting' | 'held',
  sinceMs: number,
  reason: reasons.Reason | undefined,
): job.TaskState {
  return reason === undefined ? { state, sinceMs } : { state, sinceMs, reason };
}

function buildTaskState(row: rows.JobRow, index: number): job.TaskState {
  const task = row.tasks.get(index);
  if (task === undefined && row.ending !== undefined)
    return { state: 'ended', result: 'stopped' };
  if (task === undefined)
    return buildUnstarted('waiting', row.sinceMs, row.reason);
  const { attempt } = task;
  if (attempt !== undefined) {
    const { id: attemptId, sinceMs, why } = attempt;
    const at = { attemptId, worker: attempt.worker.id };
    return attempt.state === 'stopping'
      ? { state: 'stopping', ...at, why: why ?? 'withdrawn' }
      : { state: attempt.state, ...at, sinceMs };
  }
  if (task.state === 'ended')
    return { state: 'ended', result: task.result ?? 'unknown' };
  if (row.closed) return { state: 'ended', result: 'stopped' };
  const reason = task.reason ?? row.reason;
  return task.state === 'held'
    ? buildUnstarted('held', task.sinceMs, reason)
    : buildUnstarted('waiting', task.sinceMs, reason);
}

/** Lists the states of the tasks of a job; undefined for an unknown job. */
export function listTaskStates(
  state: states.State,
  id: ids.JobId,
): readonly job.TaskState[] | undefined {
  const row = state.jobs.get(id);
  if (row === undefined) return undefined;
  const list: job.TaskState[] = [];
  for (let index = 0; index < row.spec.count; index += 1)
    list.push(buildTaskState(row, index));
  return list;
}

/** Finds why a job waits, with the current counts of the filters. */
export function findReason(
  state: states.State,
  row: rows.JobRow,
): reasons.Reason | undefined {
  const quota = start.findQuotaReason(state, row);
  if (quota !== undefined) return quota;
  const fit = filter.checkIdleFleetFit(state.fleet, row.shape);
  if (!fit.fits)
    return { reason: 'never-fits', total: fit.total, counts: fit.counts };
  if (row.reason?.reason === 'no-candidate')
    return start.collectCandidateReason(state, row);
  return row.reason;
}

function describeProgress(state: states.State, row: rows.JobRow): string {
  const { spec, liveTasks, doneTasks, failedTasks } = row;
  const ready = waiting.countReady(state, row);
  return `${ready} of ${spec.count} tasks wait, ${liveTasks} are on workers, ${doneTasks} are done and ${failedTasks} failed or were stopped.`;
}

function describeBlockedTasks(row: rows.JobRow): string[] {
  const lines: string[] = [];
  for (const task of row.tasks.values()) {
    if (task.state === 'delayed')
      lines.push(
        `Task ${task.index} failed or ended ${task.failures} times and starts again after a pause.`,
      );
    if (task.state === 'held' && task.reason !== undefined)
      lines.push(
        `Task ${task.index}: ${explain.describeReason(task.reason).join(' ')}`,
      );
    if (lines.length >= 5) break;
  }
  return lines;
}

/** Explains the state of a job in sentences. */
export function explainJob(
  state: states.State,
  id: ids.JobId,
): readonly string[] {
  const row = state.jobs.get(id);
  if (row === undefined)
    return [`Job ${id} isn't known to this shard, or it ended long ago.`];
  const { spec } = row;
  const head = `Job ${id} (${spec.kind} ${spec.name}, team ${spec.team}, ${row.urgency}) was accepted under release ${row.job.release}; release ${state.release} is in force.`;
  const history = row.history.map((line) => `Earlier: ${line}.`);
  if (row.closed)
    return [
      head,
      `It ended as ${row.ending?.state ?? 'unknown'}: ${row.ending?.reason ?? ''}.`,
      ...history,
    ];
  const lines = [head, describeProgress(state, row)];
  if (row.ending !== undefined)
    lines.push(
      `It ends as ${row.ending.state} (${row.ending.reason}) when its tasks have stopped.`,
    );
  else if (waiting.countReady(state, row) > 0) {
    const reason = findReason(state, row);
    lines.push(
      ...(reason === undefined
        ? ['It is next to be placed.']
        : explain.describeReason(reason)),
    );
  }
  return [...lines, ...describeBlockedTasks(row), ...history];
}

/** Copies the state into plain data for operators. */
export function buildDump(state: states.State): unknown {
  return {
    release: state.release,
    floors: state.floors,
    waiting: state.queue.getLength(),
    workers: [...state.fleet.workers.values()].map((worker) => ({
      id: worker.id,
      state: worker.record.state,
      usable: worker.usable,
      quarantined: worker.quarantined,
      size: worker.size,
      free: { ...worker.free },
      attempts: [...worker.attempts.values()].map((attempt) => ({
        id: attempt.id,
        state: attempt.state,
        held: attempt.held,
        used: attempt.used,
      })),
    })),
    jobs: [...state.jobs.values()].map((row) => ({
      id: row.id,
      urgency: row.urgency,
      team: row.team,
      ready: waiting.countReady(state, row),
      live: row.liveTasks,
      done: row.doneTasks,
      failed: row.failedTasks,
      unknown: row.unknownTasks,
      closed: row.closed,
    })),
    reservations: [...state.reservations.values()].map((reservation) => ({
      job: reservation.job,
      why: reservation.why,
      workers: [...reservation.workers.keys()],
      beginsMs: reservation.beginsMs,
    })),
    teams: Object.fromEntries(
      [...state.teamUse].map(([team, use]) => [team, { ...use }]),
    ),
  };
}
