/**
 * Encodes the durable progress of a job: whether it has begun, the tasks that are done, the
 * failed runs, the saved progress of tasks, and the VMs of the current runs. A new owner restores its
 * tables from it and needs to query only the VMs that may run something.
 */
import * as states from './state.js';
import * as tables from './tables.js';

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
  /** One character per task: 1 when it is done, 0 otherwise. */
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
  /** Absent when all steps are done. */
  readonly steps?: readonly StoredStep[];
}

interface StoredProgress {
  /** Absent in earlier records, and while no VM has shown that a task was started. */
  readonly begun?: true;
  readonly occurrences: readonly StoredOccurrence[];
}

/** Encodes the progress of a job. */
export function encodeProgress(job: tables.JobRow): string {
  const stored: StoredProgress = {
    ...(job.hasBegun ? { begun: true } : {}),
    occurrences: job.occurrences.map((occurrence) =>
      occurrence.done
        ? { number: occurrence.number }
        : {
            number: occurrence.number,
            steps: occurrence.steps.map(buildStep),
          },
    ),
  };
  return JSON.stringify(stored);
}

function buildStep(step: tables.StepRow): StoredStep {
  const runs: StoredRun[] = [];
  const failed: Record<string, readonly number[]> = {};
  const saved: Record<string, string> = {};
  const crashes: Record<string, readonly StoredCrash[]> = {};
  for (const task of step.tasks) {
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
    done: step.tasks
      .map(({ state }) => (state === 'done' ? '1' : '0'))
      .join(''),
    ...(runs.length > 0 ? { runs } : {}),
    ...(Object.keys(failed).length > 0 ? { failed } : {}),
    ...(Object.keys(saved).length > 0 ? { saved } : {}),
    ...(step.gangFailures.length > 0
      ? { gangFailures: step.gangFailures }
      : {}),
    ...(Object.keys(crashes).length > 0 ? { crashes } : {}),
    ...(step.gangCrashes.length > 0
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

/** Restores a job's tables from its stored progress; returns false when the text can't be read. */
export function restoreProgress(
  state: states.State,
  job: tables.JobRow,
  text: string,
  computeDue: (occurrence: number) => number,
  nowMs: number,
): boolean {
  const stored = parseProgress(text);
  if (stored === undefined) return false;
  if (stored.begun === true) job.hasBegun = true;
  for (const entry of stored.occurrences) {
    const occurrence =
      job.occurrences.find(({ number }) => number === entry.number) ??
      createMissingOccurrence(job, entry.number, computeDue(entry.number));
    if (entry.steps === undefined) finishOccurrence(occurrence);
    else
      entry.steps.forEach((step, index) => {
        const row = occurrence.steps[index];
        if (row !== undefined) restoreStep(state, row, step, nowMs);
      });
  }
  return true;
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
      const { number, steps } = readFields(occurrence);
      return (
        typeof number === 'number' &&
        (steps === undefined || (Array.isArray(steps) && steps.every(isStep)))
      );
    })
  );
}

function isStep(value: unknown): boolean {
  const { done, runs, failed, gangFailures, crashes, gangCrashes } =
    readFields(value);
  return (
    typeof done === 'string' &&
    isListOfLists(runs) &&
    Object.values(readFields(failed)).every(Array.isArray) &&
    (gangFailures === undefined || Array.isArray(gangFailures)) &&
    Object.values(readFields(crashes)).every(isListOfLists) &&
    isListOfLists(gangCrashes)
  );
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
  nowMs: number,
): void {
  step.gangFailures = [...(stored.gangFailures ?? [])];
  if (
    step.gangFailures.length > 0 ||
    stored.failed !== undefined ||
    stored.saved !== undefined
  )
    step.occurrence.job.hasBegun = true;
  step.gangCrashes = (stored.gangCrashes ?? []).map(restoreCrash);
  for (const task of step.tasks) {
    task.failedRuns = [...(stored.failed?.[task.index] ?? [])];
    task.crashes = (stored.crashes?.[task.index] ?? []).map(restoreCrash);
    for (const { vm } of task.crashes) task.avoidedVms.add(vm);
    task.saved = stored.saved?.[task.index] ?? '';
    if (stored.done[task.index] !== '1') continue;
    task.state = 'done';
    step.doneCount += 1;
    step.waitingCount -= 1;
    step.occurrence.job.hasBegun = true;
  }
  for (const [index, number, vmId, incarnation, begun] of stored.runs ?? []) {
    const task = step.tasks[index];
    if (task?.state !== 'waiting') continue;
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
