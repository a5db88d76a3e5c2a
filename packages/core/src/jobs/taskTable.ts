/**
 * Folds the stream `tasks.<region>` into a table: the durable ends of tasks and the
 * intents to start at-most-once tasks. An end takes one byte per task, so that large
 * jobs need little memory.
 */
import * as epochs from '../ownership/epochs.js';
import type * as ids from '../types/ids.js';
import type * as job from '../types/job.js';
import type * as records from '../types/records.js';
import type * as scheduling from '../types/scheduler.js';

/** Results in the order of their codes, which begin at 1; code 0 means no end. */
const results: readonly job.TaskResult[] = [
  'done',
  'failed',
  'stopped',
  'lost',
  'unknown',
];

/** Task indices from here on are treated as damaged records and ignored. */
const MAX_INDEX = 1_000_000;

/** A recorded intent: the attempt at an at-most-once task that may have been started. */
export interface Intent {
  readonly attempt: ids.AttemptId;
  readonly epoch: ids.Epoch;
}

/** Durable ends and intents of the tasks of one region. */
export interface TaskTable {
  readonly ends: Map<ids.JobId, Uint8Array>;
  readonly intents: Map<ids.JobId, Map<number, Intent>>;
  /** Highest epoch whose owner has accounted for all tasks; records of lower epochs are ignored. */
  settled: ids.Epoch | undefined;
}

/** Creates an empty table. */
export function createTaskTable(): TaskTable {
  return { ends: new Map(), intents: new Map(), settled: undefined };
}

/** Applies one record and returns the ends that are new. */
export function applyTaskRecord(
  table: TaskTable,
  record: records.LogRecord<records.TaskRecord>,
): readonly records.TaskEnd[] {
  const body = record.body;
  // The current owner may have restarted a task that a replaced owner reports as ended.
  const { settled } = table;
  const replaced =
    settled !== undefined && epochs.compareEpochs(body.epoch, settled) < 0;
  if (replaced) return [];
  switch (body.type) {
    case 'settled':
      table.settled = body.epoch;
      return [];
    case 'ends':
      return body.ends.filter((end) => applyEnd(table, end));
    case 'intent':
      applyIntent(table, body);
      return [];
  }
}

/**
 * Applies an end; the first end of a task counts. Only `unknown` is replaced by a later
 * report of the attempt, which is safe because an at-most-once task isn't started again
 * in either case.
 */
function applyEnd(table: TaskTable, end: records.TaskEnd): boolean {
  if (end.index < 0 || end.index >= MAX_INDEX) return false;
  const known = getTaskEnd(table, end.job, end.index);
  if (known !== undefined && known !== 'unknown') return false;
  const codes = ensureCodes(table, end.job, end.index);
  codes[end.index] = results.indexOf(end.result) + 1;
  return known === undefined;
}

function ensureCodes(
  table: TaskTable,
  id: ids.JobId,
  index: number,
): Uint8Array {
  const codes = table.ends.get(id) ?? new Uint8Array(0);
  if (index < codes.length) return codes;
  const grown = new Uint8Array(Math.max(index + 1, codes.length * 2));
  grown.set(codes);
  table.ends.set(id, grown);
  return grown;
}

function applyIntent(
  table: TaskTable,
  body: Extract<records.TaskRecord, { type: 'intent' }>,
): void {
  const intents = table.intents.get(body.job) ?? new Map<number, Intent>();
  table.intents.set(body.job, intents);
  const known = intents.get(body.index);
  if (known !== undefined && epochs.compareEpochs(known.epoch, body.epoch) > 0)
    return;
  intents.set(body.index, { attempt: body.attempt, epoch: body.epoch });
}

/** Returns the durable end of a task. */
export function getTaskEnd(
  table: TaskTable,
  id: ids.JobId,
  index: number,
): job.TaskResult | undefined {
  const code = table.ends.get(id)?.[index] ?? 0;
  return code === 0 ? undefined : results[code - 1];
}

/** Lists the durable ends of a job. */
export function listTaskEnds(
  table: TaskTable,
  id: ids.JobId,
): readonly scheduling.EndedTask[] {
  const ended: scheduling.EndedTask[] = [];
  table.ends.get(id)?.forEach((code, index) => {
    const result = results[code - 1];
    if (result !== undefined) ended.push({ index, result });
  });
  return ended;
}

/** Counts the tasks of a job whose end is durable. */
export function countTaskEnds(table: TaskTable, id: ids.JobId): number {
  let count = 0;
  for (const code of table.ends.get(id) ?? []) if (code !== 0) count += 1;
  return count;
}

/** Returns the last intent of an at-most-once task. */
export function getIntent(
  table: TaskTable,
  id: ids.JobId,
  index: number,
): Intent | undefined {
  return table.intents.get(id)?.get(index);
}

/** Drops the ends and intents of a job. */
export function dropTasks(table: TaskTable, id: ids.JobId): void {
  table.ends.delete(id);
  table.intents.delete(id);
}
