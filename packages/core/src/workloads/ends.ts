/**
 * What the end of a run means for its task, its gang and its job. Failures are
 * counted by run number, so that an end that is listed twice counts once.
 */
import * as states from './state.js';
import type * as tables from './tables.js';
import type * as types from './types.js';

/** Failures in a row, without a success between them, after which a VM gets no new work for a while. */
const FAILURES_TO_AVOID = 3;
/** How long such a VM gets none, in ms; then one run tries it. */
const AVOID_FAILING_MS = 3_000;

/** Applies an end that a VM lists. */
export function applyEnd(
  state: states.State,
  vm: tables.VmRow,
  end: types.ListedEnd,
  nowMs: number,
): void {
  const job = state.jobs.get(end.task.job);
  const task = states.findTask(state, end.task);
  if (job === undefined || task === undefined) return;
  state.dirty.add(job);
  states.countEvent(state, `end.${end.how}`);
  const run =
    task.run?.number === end.run && task.run.vm === vm ? task.run : undefined;
  noteVmOutcome(vm, end.how, run, nowMs);
  if (run !== undefined) states.removeRun(state, run);
  if (end.saved !== '') saveProgress(task, end.saved);
  switch (end.how) {
    case 'done':
      finishTask(state, task, nowMs);
      break;
    case 'failed':
      countFailure(task, end.run);
      task.avoided.add(vm.id);
      break;
    case 'stopped':
    case 'lapsed':
    case 'broken':
    case 'alone':
      break;
  }
  if (
    task.step.spec.gang &&
    end.how !== 'done' &&
    end.run === task.step.gangRun
  )
    clearGang(state, task.step, nowMs);
  decideFinal(state, job, nowMs);
}

function saveProgress(task: tables.TaskRow, saved: string): void {
  if (!task.step.spec.savesProgress) return;
  // All members of a gang resume from the same point.
  if (task.step.spec.gang)
    for (const member of task.step.tasks) member.saved = saved;
  else task.saved = saved;
}

function noteVmOutcome(
  vm: tables.VmRow,
  how: types.RunEnd,
  run: tables.RunRow | undefined,
  nowMs: number,
): void {
  if (how === 'done') vm.recentFailures = 0;
  // Tasks that last may fail at any time, which says nothing of the VM.
  if (how !== 'failed' || run === undefined || run.task.step.spec.lasts) return;
  vm.recentFailures += 1;
  if (vm.recentFailures >= FAILURES_TO_AVOID)
    vm.avoidUntilMs = nowMs + AVOID_FAILING_MS;
}

function finishTask(
  state: states.State,
  task: tables.TaskRow,
  nowMs: number,
): void {
  if (task.step.spec.lasts) return;
  const finished = task.step.spec.gang ? task.step.tasks : [task];
  for (const member of finished) {
    if (member.state === 'done') continue;
    if (member.state === 'waiting') member.step.waitingCount -= 1;
    member.state = 'done';
    member.step.doneCount += 1;
    if (member.run !== undefined && !member.step.spec.gang)
      states.stopRun(state, member.run, 'done-elsewhere', nowMs);
  }
}

function countFailure(task: tables.TaskRow, run: number): void {
  const failures = task.step.spec.gang
    ? task.step.gangFailures
    : task.failedRuns;
  if (!failures.includes(run)) failures.push(run);
}

/** Stops what is left of an ended gang run; its members start again under a new number. */
export function clearGang(
  state: states.State,
  step: tables.StepRow,
  nowMs: number,
): void {
  if (step.doneCount === step.spec.count) return;
  for (const member of step.tasks)
    if (member.run !== undefined)
      states.stopRun(state, member.run, 'gang-ended', nowMs);
}

/** Decides whether a job has completed or failed. */
export function decideFinal(
  state: states.State,
  job: tables.JobRow,
  nowMs: number,
): void {
  if (states.isJobOver(job)) return;
  if (job.occurrences.some((occurrence) => hasFailed(occurrence, job))) {
    finishJob(state, job, 'failed', nowMs);
    return;
  }
  for (const occurrence of job.occurrences)
    occurrence.done = occurrence.steps.every(
      (step) => step.doneCount === step.spec.count,
    );
  if (job.occurrencesLeft === 0 && job.occurrences.every(({ done }) => done))
    finishJob(state, job, 'completed', nowMs);
}

function hasFailed(
  occurrence: tables.OccurrenceRow,
  job: tables.JobRow,
): boolean {
  if (occurrence.done) return false;
  const { attempts } = job.policy;
  return occurrence.steps.some(
    (step) =>
      !step.spec.lasts &&
      (step.gangFailures.length >= attempts ||
        step.tasks.some(
          (task) => task.state !== 'done' && task.failedRuns.length >= attempts,
        )),
  );
}

function finishJob(
  state: states.State,
  job: tables.JobRow,
  final: types.FinalState,
  nowMs: number,
): void {
  job.final = final;
  state.dirty.add(job);
  states.countEvent(state, `job.${final}`);
  stopJob(state, job, `job-${final}`, nowMs);
}

/** Stops all runs of a job. */
export function stopJob(
  state: states.State,
  job: tables.JobRow,
  why: string,
  nowMs: number,
): void {
  for (const occurrence of job.occurrences)
    for (const step of occurrence.steps)
      for (const task of step.tasks)
        // Members of a gang that is done end by themselves.
        if (task.run !== undefined && task.state !== 'done')
          states.stopRun(state, task.run, why, nowMs);
}
