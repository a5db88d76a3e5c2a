/**
 * Encodes the durable progress of a job: whether it has begun, the tasks that are done, the
 * failed runs, the saved progress of tasks, and the VMs of the current runs. A new owner restores its
 * tables from it and needs to query only the VMs that may run something.
 *
 * The store limits the size of a record, so the tasks of a job are numbered through all
 * steps and occurrences and each record covers a range of them. Records of different tasks
 * don't depend on each other: a successor may find a newer one beside an older one.
 */
import type * as ids from '../types/ids.js';
import * as states from './state.js';
import * as tables from './tables.js';
import type * as types from './types.js';

/**
 * Most tasks in one record. A change of one task writes the record again, so larger ones
 * would take more bandwidth; all jobs but very large ones have a single record.
 */
const TASKS_PER_RECORD = 256;
/** Separates the job from the number of the first task in the keys of all records but the first. */
const KEY_SEPARATOR = '#';

/** Numbers of tasks, counted through all steps and occurrences of a job: `from` included, `to` not. */
interface TaskRange {
  readonly from: number;
  readonly to: number;
}

/** The records of a job's progress that have changed. */
export interface ProgressChange {
  /** Texts of new and changed records, in the order in which they must be written. */
  readonly written: ReadonlyMap<types.ProgressKey, string>;
  /** Keys of records that others replace; to be dropped after those have been written. */
  readonly dropped: readonly types.ProgressKey[];
}

/**
 * A run: task index, run number, VM, incarnation of the VM, and 1 once its VM has shown that
 * it began, which records of earlier releases leave out.
 */
type StoredRun = readonly [number, number, string, number | null, (0 | 1)?];

/** A crash of a VM: run number, VM, incarnation of the VM and evidence against the task. */
type StoredCrash = readonly [
  number,
  string,
  number | null,
  tables.CrashEvidence,
];

interface StoredStep {
  /** Index of the first task in this record; absent when it is 0. */
  readonly from?: number;
  /** One character per task of this record: 1 when it is done, 0 otherwise. */
  readonly done: string;
  readonly runs?: readonly StoredRun[];
  /** Failed run numbers by task index. */
  readonly failed?: Readonly<Record<string, readonly number[]>>;
  readonly saved?: Readonly<Record<string, string>>;
  readonly gangFailures?: readonly number[];
  /** Crashes of VMs by task index. */
  readonly crashes?: Readonly<Record<string, readonly StoredCrash[]>>;
  readonly gangCrashes?: readonly StoredCrash[];
}

interface StoredOccurrence {
  readonly number: number;
  /** Index of the first step in this record; absent when it is 0. */
  readonly firstStep?: number;
  /** Absent when all steps are done. */
  readonly steps?: readonly StoredStep[];
}

interface StoredProgress {
  /** Absent in earlier records, and while no VM has shown that a task was started. */
  readonly begun?: true;
  readonly occurrences: readonly StoredOccurrence[];
}

/** Returns the records of a job that have changed since the last call, and remembers them as written. */
export function takeChange(
  job: tables.JobRow,
  maxBytes: number,
): ProgressChange {
  const current = encodeProgress(job, maxBytes);
  const written = [...current].filter(
    ([key, text]) => job.progressRecords.get(key) !== text,
  );
  const dropped = [...job.progressRecords.keys()].filter(
    (key) => !current.has(key),
  );
  // The text of a single record isn't kept, since a change of the job nearly always changes it.
  job.progressRecords = new Map(
    [...current].map(([key, text]) => [
      key,
      current.size > 1 ? text : undefined,
    ]),
  );
  // If a range is divided, the record of its first part must not be written before the others.
  return { written: new Map(written.reverse()), dropped };
}

/** Groups stored records by job; those of one job are in the order of their tasks. */
export function splitByJob(
  recordsByKey: ReadonlyMap<types.ProgressKey, string>,
): ReadonlyMap<ids.JobId, types.ProgressRecords> {
  const groups = new Map<ids.JobId, Map<types.ProgressKey, string>>();
  const sorted = [...recordsByKey]
    .map(([key, text]) => ({ key, text, ...parseKey(key) }))
    .sort((a, b) => a.from - b.from);
  for (const { key, text, job } of sorted) {
    const group = groups.get(job);
    if (group === undefined) groups.set(job, new Map([[key, text]]));
    else group.set(key, text);
  }
  return groups;
}

function formatKey(job: ids.JobId, from: number): types.ProgressKey {
  return from === 0 ? job : `${job}${KEY_SEPARATOR}${from}`;
}

/** Returns the job that a record is about and the number of the first task that it covers. */
export function parseKey(key: types.ProgressKey): {
  readonly job: ids.JobId;
  readonly from: number;
} {
  const [job = '', from = '0'] = key.split(KEY_SEPARATOR);
  return { job, from: Number(from) };
}

/** Encodes the progress of a job as records of at most `maxBytes`, in the order of their tasks. */
export function encodeProgress(
  job: tables.JobRow,
  maxBytes: number,
): ReadonlyMap<types.ProgressKey, string> {
  const texts = new Map<types.ProgressKey, string>();
  const tasksPerOccurrence = tables.countTasks(job.job);
  const occurrencesByRange = new Map<number, tables.OccurrenceRow[]>();
  for (const occurrence of job.occurrences) {
    const first = occurrence.number * tasksPerOccurrence;
    // Nothing needs to be known of the tasks of a finished occurrence.
    const last = occurrence.done ? first : first + tasksPerOccurrence - 1;
    for (
      let range = Math.floor(first / TASKS_PER_RECORD);
      range * TASKS_PER_RECORD <= last;
      range += 1
    ) {
      const occurrences = occurrencesByRange.get(range);
      if (occurrences === undefined)
        occurrencesByRange.set(range, [occurrence]);
      else occurrences.push(occurrence);
    }
  }
  // The first record tells of the whole job, even before its first occurrence.
  if (!occurrencesByRange.has(0)) occurrencesByRange.set(0, []);
  const ranges = [...occurrencesByRange].sort(([a], [b]) => a - b);
  for (const [range, occurrences] of ranges) {
    const from = range * TASKS_PER_RECORD;
    encodeRange(
      { job, tasksPerOccurrence, occurrences, maxBytes, texts },
      { from, to: from + TASKS_PER_RECORD },
    );
  }
  return texts;
}

/** Encodes a range as one record, or as several if that would be too large. */
function encodeRange(
  encoding: {
    readonly job: tables.JobRow;
    readonly tasksPerOccurrence: number;
    readonly occurrences: readonly tables.OccurrenceRow[];
    readonly maxBytes: number;
    readonly texts: Map<types.ProgressKey, string>;
  },
  range: TaskRange,
): void {
  const { job, tasksPerOccurrence, occurrences, maxBytes, texts } = encoding;
  const { from, to } = range;
  const key = formatKey(job.job.id, from);
  const stored: StoredProgress = {
    ...(job.hasBegun && from === 0 ? { begun: true } : {}),
    occurrences: occurrences.flatMap((occurrence) =>
      buildOccurrence(occurrence, tasksPerOccurrence, range),
    ),
  };
  const text = JSON.stringify(stored);
  if (to - from === 1 || Buffer.byteLength(text) + key.length <= maxBytes) {
    texts.set(key, text);
    return;
  }
  const middle = from + Math.floor((to - from) / 2);
  encodeRange(encoding, { from, to: middle });
  encodeRange(encoding, { from: middle, to });
}

function buildOccurrence(
  occurrence: tables.OccurrenceRow,
  tasksPerOccurrence: number,
  { from, to }: TaskRange,
): readonly StoredOccurrence[] {
  const { number } = occurrence;
  let stepStart = number * tasksPerOccurrence;
  if (occurrence.done)
    return from <= stepStart && stepStart < to ? [{ number }] : [];
  let firstStep: number | undefined;
  const steps: StoredStep[] = [];
  for (const step of occurrence.steps) {
    const { length } = step.tasks;
    const first = Math.max(0, from - stepStart);
    const end = Math.min(length, to - stepStart);
    if (first < end) {
      firstStep ??= step.index;
      steps.push(buildStep(step, first, end));
    }
    stepStart += length;
  }
  if (firstStep === undefined) return [];
  return [{ number, ...(firstStep > 0 ? { firstStep } : {}), steps }];
}

/** Builds the part of a step from the task `first` to the one before `end`; the first part tells of the whole gang. */
function buildStep(
  step: tables.StepRow,
  first: number,
  end: number,
): StoredStep {
  const runs: StoredRun[] = [];
  const failed: Record<string, readonly number[]> = {};
  const saved: Record<string, string> = {};
  const crashes: Record<string, readonly StoredCrash[]> = {};
  const tasks = step.tasks.slice(first, end);
  for (const task of tasks) {
    if (task.run !== undefined)
      runs.push([
        task.index,
        task.run.number,
        task.run.vm.id,
        task.run.incarnation ?? null,
        task.run.hasBegun ? 1 : 0,
      ]);
    if (task.state === 'done') continue;
    if (task.failedRuns.length > 0) failed[task.index] = task.failedRuns;
    if (task.crashes.length > 0)
      crashes[task.index] = task.crashes.map(buildCrash);
    if (task.saved !== '') saved[task.index] = task.saved;
  }
  return {
    ...(first > 0 ? { from: first } : {}),
    done: tasks.map(({ state }) => (state === 'done' ? '1' : '0')).join(''),
    ...(runs.length > 0 ? { runs } : {}),
    ...(Object.keys(failed).length > 0 ? { failed } : {}),
    ...(Object.keys(saved).length > 0 ? { saved } : {}),
    ...(first === 0 && step.gangFailures.length > 0
      ? { gangFailures: step.gangFailures }
      : {}),
    ...(Object.keys(crashes).length > 0 ? { crashes } : {}),
    ...(first === 0 && step.gangCrashes.length > 0
      ? { gangCrashes: step.gangCrashes.map(buildCrash) }
      : {}),
  };
}

function buildCrash(mark: tables.CrashMark): StoredCrash {
  return [mark.run, mark.vm, mark.incarnation ?? null, mark.evidence];
}

function restoreCrash([
  run,
  vm,
  incarnation,
  evidence,
]: StoredCrash): tables.CrashMark {
  return { run, vm, incarnation: incarnation ?? undefined, evidence };
}

/** Restores a job's tables from its stored progress; returns false when a record can't be read. */
export function restoreProgress(
  state: states.State,
  job: tables.JobRow,
  recordsByKey: types.ProgressRecords,
  computeDue: (occurrence: number) => number,
  nowMs: number,
): boolean {
  let readable = true;
  // If records overlap, a range was divided or joined, and the one with the lower first task is newer.
  const restored = new Set<tables.TaskRow>();
  job.progressRecords = new Map(
    [...recordsByKey.keys()].map((key) => [key, undefined]),
  );
  for (const text of recordsByKey.values()) {
    const stored = parseProgress(text);
    if (stored === undefined) {
      readable = false;
      continue;
    }
    if (stored.begun === true) job.hasBegun = true;
    for (const entry of stored.occurrences) {
      const occurrence =
        job.occurrences.find(({ number }) => number === entry.number) ??
        createMissingOccurrence(job, entry.number, computeDue(entry.number));
      if (occurrence.done) continue;
      if (entry.steps === undefined) finishOccurrence(occurrence);
      else
        entry.steps.forEach((step, index) => {
          const row = occurrence.steps[(entry.firstStep ?? 0) + index];
          if (row !== undefined) restoreStep(state, row, step, restored, nowMs);
        });
    }
  }
  return readable;
}

/** Parses a record; undefined when it isn't one: an owner that fails on it would be followed by others that fail, too. */
function parseProgress(text: string): StoredProgress | undefined {
  let parsed: unknown;
  try {
    parsed = JSON.parse(text);
  } catch {
    return undefined;
  }
  return isProgress(parsed) ? parsed : undefined;
}

function isProgress(value: unknown): value is StoredProgress {
  const { occurrences } = readFields(value);
  return (
    Array.isArray(occurrences) &&
    occurrences.every((occurrence) => {
      const { number, firstStep, steps } = readFields(occurrence);
      return (
        typeof number === 'number' &&
        isOptionalNumber(firstStep) &&
        (steps === undefined || (Array.isArray(steps) && steps.every(isStep)))
      );
    })
  );
}

function isStep(value: unknown): boolean {
  const { from, done, runs, failed, gangFailures, crashes, gangCrashes } =
    readFields(value);
  return (
    isOptionalNumber(from) &&
    typeof done === 'string' &&
    isListOfLists(runs) &&
    Object.values(readFields(failed)).every(Array.isArray) &&
    (gangFailures === undefined || Array.isArray(gangFailures)) &&
    Object.values(readFields(crashes)).every(isListOfLists) &&
    isListOfLists(gangCrashes)
  );
}

function isOptionalNumber(value: unknown): boolean {
  return value === undefined || typeof value === 'number';
}

function isListOfLists(value: unknown): boolean {
  return (
    value === undefined || (Array.isArray(value) && value.every(Array.isArray))
  );
}

function readFields(value: unknown): Readonly<Record<string, unknown>> {
  return typeof value === 'object' && value !== null
    ? (value as Record<string, unknown>)
    : {};
}

function createMissingOccurrence(
  job: tables.JobRow,
  number: number,
  dueMs: number,
): tables.OccurrenceRow {
  job.occurrencesLeft -= 1;
  return tables.createOccurrence(job, number, dueMs);
}

function finishOccurrence(occurrence: tables.OccurrenceRow): void {
  occurrence.done = true;
  occurrence.job.hasBegun = true;
  for (const step of occurrence.steps) {
    step.doneCount = step.spec.count;
    step.waitingCount = 0;
    for (const task of step.tasks) task.state = 'done';
  }
}

function restoreStep(
  state: states.State,
  step: tables.StepRow,
  stored: StoredStep,
  restored: Set<tables.TaskRow>,
  nowMs: number,
): void {
  const first = stored.from ?? 0;
  if (
    (stored.gangFailures?.length ?? 0) > 0 ||
    stored.failed !== undefined ||
    stored.saved !== undefined
  )
    step.occurrence.job.hasBegun = true;
  if (first === 0) {
    step.gangFailures = [...(stored.gangFailures ?? [])];
    step.gangCrashes = (stored.gangCrashes ?? []).map(restoreCrash);
  }
  const tasks = new Set(
    step.tasks
      .slice(first, first + stored.done.length)
      .filter((task) => !restored.has(task)),
  );
  for (const task of tasks) {
    restored.add(task);
    task.failedRuns = [...(stored.failed?.[task.index] ?? [])];
    task.crashes = (stored.crashes?.[task.index] ?? []).map(restoreCrash);
    for (const { vm } of task.crashes) task.avoidedVms.add(vm);
    task.saved = stored.saved?.[task.index] ?? '';
    if (stored.done[task.index - first] !== '1') continue;
    task.state = 'done';
    step.doneCount += 1;
    step.waitingCount -= 1;
    step.occurrence.job.hasBegun = true;
  }
  for (const [index, number, vmId, incarnation, begun] of stored.runs ?? []) {
    const task = step.tasks[index];
    if (task?.state !== 'waiting' || !tasks.has(task)) continue;
    const vm = states.ensureVm(state, vmId, nowMs);
    if (step.spec.gang) step.gangRun = number;
    states.addRun(
      task,
      vm,
      {
        number,
        phase: 'inherited',
        incarnation: incarnation ?? undefined,
        hasBegun: begun === 1,
      },
      nowMs,
    );
  }
}
