/**
 * Applies the end of a run to its task, gang, job and VM. Failures are recorded by run
 * number, so that an end that is reported twice counts once.
 */
import * as begins from './begins.js';
import * as blame from './blame.js';
import * as names from './names.js';
import * as removals from './removals.js';
import * as speeds from './speed.js';
import * as states from './state.js';
import type * as tables from './tables.js';
import type * as types from './types.js';

/** Consecutive failed runs after which a VM gets no new runs for a while. */
const MAX_CONSECUTIVE_FAILURES = 3;
/** Time for which such a VM gets no new runs, in ms; after that, one more failure excludes it again. */
const FAILURE_BACKOFF_MS = 3_000;

/** Applies an end that a VM reports. */
export function applyEnd(
  state: states.State,
  vm: tables.VmRow,
  end: types.ReportedEnd,
  nowMs: number,
): void {
  const job = state.jobs.get(end.task.job);
  const task = states.findTask(state, end.task);
  if (job === undefined || task === undefined) {
    recordLateEnd(state, undefined, vm, end, nowMs);
    return;
  }
  state.dirty.add(job);
  begins.recordBegin(state, job.job.id);
  states.countEvent(state, `end.${end.how}`);
  const run =
    task.run?.number === end.run && task.run.vm === vm ? task.run : undefined;
  // An earlier owner started this run without a record: until its end has one, a later owner must hear of it from the VM.
  if (run === undefined && task.state !== 'done')
    state.unrecordedStartsBatch = state.nextBatch;
  if (run === undefined) recordLateEnd(state, task, vm, end, nowMs);
  recordVmOutcome(vm, end.how, run, nowMs);
  if (run !== undefined) {
    speeds.observeEnd(state, run, end.how, nowMs);
    states.removeRun(state, run, end.how, nowMs);
  }
  if (end.saved !== '') saveProgress(task, end.saved);
  switch (end.how) {
    case 'done':
      finishTask(state, task, nowMs);
      break;
    case 'failed':
      countFailure(task, end.run);
      task.avoidedVms.add(vm.id);
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
    stopGang(state, task.step, nowMs);
  decideFinal(state, job, nowMs);
}

function recordLateEnd(
  state: states.State,
  task: tables.TaskRow | undefined,
  vm: tables.VmRow,
  end: types.ReportedEnd,
  nowMs: number,
): void {
  const key = names.formatRun(end.task, end.run);
  const removed = state.removedRuns.get(key);
  state.removedRuns.delete(key);
  const lateEnd = removals.findLateEnd({ task, removed, vm, end, nowMs });
  if (lateEnd === undefined || removals.isEndExpected(lateEnd)) return;
  states.countEvent(state, `ended-elsewhere.${end.how}`);
  state.lateEnds.push(lateEnd);
}

function saveProgress(task: tables.TaskRow, saved: string): void {
  if (!task.step.spec.savesProgress) return;
  // All members of a gang resume from the same point.
  if (task.step.spec.gang)
    for (const member of task.step.tasks) member.saved = saved;
  else task.saved = saved;
}

function recordVmOutcome(
  vm: tables.VmRow,
  how: types.RunEnd,
  run: tables.RunRow | undefined,
  nowMs: number,
): void {
  if (how === 'done') vm.recentFailures = 0;
  // Service tasks may fail at any time, so their failures don't count against the VM.
  if (how !== 'failed' || run === undefined || run.task.step.spec.lasts) return;
  vm.recentFailures += 1;
  if (vm.recentFailures >= MAX_CONSECUTIVE_FAILURES)
    vm.avoidUntilMs = nowMs + FAILURE_BACKOFF_MS;
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
    member.step.doneMs = nowMs;
    if (member.run !== undefined && !member.step.spec.gang)
      states.stopRun(state, member.run, 'done-elsewhere', nowMs);
  }
}

function countFailure(task: tables.TaskRow, run: number): void {
  // Service tasks may fail any number of times, and a list of all of them would outgrow the job's record.
  if (task.step.spec.lasts) return;
  const failures = task.step.spec.gang
    ? task.step.gangFailures
    : task.failedRuns;
  if (!failures.includes(run)) failures.push(run);
}

/** Stops the remaining runs of a gang after one has ended; all members restart with a new run number. */
export function stopGang(
  state: states.State,
  step: tables.StepRow,
  nowMs: number,
): void {
  if (step.doneCount === step.spec.count) return;
  for (const member of step.tasks)
    if (member.run !== undefined)
      states.stopRun(state, member.run, 'gang-ended', nowMs);
}

/** Sets the final state of a job that has completed or failed. */
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
      (!step.spec.lasts && step.gangFailures.length >= attempts) ||
      step.tasks.some(
        (task) =>
          task.state !== 'done' &&
          ((!step.spec.lasts && task.failedRuns.length >= attempts) ||
            blame.isGivenUp(task)),
      ),
  );
}

/** Sets the final state of a job and stops its runs. */
export function finishJob(
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
        // The remaining runs of a gang that is done end without a stop command.
        if (task.run !== undefined && task.state !== 'done')
          states.stopRun(state, task.run, why, nowMs);
}
