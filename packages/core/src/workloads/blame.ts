/**
 * Finds the task that crashes VMs. Each crash marks the tasks whose runs had only just
 * started there. A mark names one sole suspect where the others have lived with the VM
 * for longer or were never suspected before. A task is given up when it was the sole
 * suspect on several VMs, or at the latest after a number of crashes. A run that its VM
 * reports for long enough clears its task.
 */
import type * as states from './state.js';
import * as tables from './tables.js';

/** Time after which a run that its VM still reports can't be the cause of a later crash, in ms. */
const SETTLED_MS = 3_000;
/** Time for which a VM must have lived with a run to make later starts there more suspect, in ms. */
const FRESH_MS = 500;
/** Number of unexplained crashes after which a task starts in trials only. */
const TRIAL_SUSPICIONS = 2;
/** Number of unexplained crashes from which a task is given up if it was the sole suspect on several VMs. */
const MIN_CRASHES = 3;
const MIN_SOLE_VMS = 2;
/** Number of unexplained crashes after which a task is given up in any case. */
const MAX_UNEXPLAINED_CRASHES = 4;
/** Callers allow a task to be given up once this many VMs have crashed under it. */
const MIN_CONFIRMED = 2;
/** The same for all crashes; callers allow two starts after the third. */
const MAX_CRASHES = 5;

/** Returns the marks of a task, which the members of a gang share. */
export function getMarks(task: tables.TaskRow): tables.CrashMark[] {
  return task.step.spec.gang ? task.step.gangCrashes : task.crashes;
}

/** Counts the crashes for which a task is suspected. */
export function countSuspicions(task: tables.TaskRow): number {
  return getMarks(task).filter(
    ({ evidence }) =>
      evidence === 'sole' ||
      evidence === 'shared' ||
      evidence === 'unconfirmed',
  ).length;
}

function isConfirmed({ evidence }: tables.CrashMark): boolean {
  switch (evidence) {
    case 'sole':
    case 'shared':
    case 'explained':
      return true;
    case 'unconfirmed':
    case 'inconclusive':
      return false;
  }
}

/** Returns whether a task has crashed so many VMs that it isn't started any more. */
export function isGivenUp(task: tables.TaskRow): boolean {
  const marks = getMarks(task);
  if (marks.length < MIN_CRASHES) return false;
  const confirmed = marks.filter(isConfirmed).length;
  const suspicions = countSuspicions(task);
  // So many unconfirmed crashes beside a confirmed one aren't all due to starts that never arrived.
  if (confirmed > 0 && marks.length >= MAX_CRASHES && suspicions >= MIN_CRASHES)
    return true;
  if (confirmed < MIN_CONFIRMED) return false;
  if (marks.length >= MAX_CRASHES || suspicions >= MAX_UNEXPLAINED_CRASHES)
    return true;
  const soleVms = new Set(
    marks.filter(({ evidence }) => evidence === 'sole').map(({ vm }) => vm),
  );
  return suspicions >= MIN_CRASHES && soleVms.size >= MIN_SOLE_VMS;
}

/**
 * Applies that a VM has shown that a run began. For a suspect that is recorded at once: if
 * the VM crashes, nothing else tells a new owner whether the start was carried out.
 */
export function confirmRun(state: states.State, run: tables.RunRow): void {
  if (run.hasBegun) return;
  run.hasBegun = true;
  if (getMarks(run.task).length > 0)
    state.dirty.add(run.task.step.occurrence.job);
}

/** Marks a run that its VM reports as settled once it has been running for long enough, which clears its task. */
export function settleRun(
  state: states.State,
  run: tables.RunRow,
  nowMs: number,
): void {
  if (run.settled) return;
  run.settled = nowMs - (run.runningSinceMs ?? nowMs) >= SETTLED_MS;
  const marks = getMarks(run.task);
  if (!run.settled || marks.length === 0) return;
  const { step } = run.task;
  // A member that works alone proves nothing about the others.
  if (step.spec.gang && step.tasks.some((task) => task.run?.settled !== true))
    return;
  marks.length = 0;
  state.dirty.add(step.occurrence.job);
}

/**
 * Marks a run of a task with several marks that ended early in another way than by a crash.
 * Otherwise a task whose runs are stopped before they crash their VMs is started for ever.
 */
export function markEarlyEnd(state: states.State, run: tables.RunRow): void {
  const marks = getMarks(run.task);
  if (run.settled || marks.length < MIN_CRASHES) return;
  if (marks.some(({ run: number }) => number === run.number)) return;
  marks.push({
    run: run.number,
    vm: run.vm.id,
    incarnation: run.incarnation,
    evidence: 'inconclusive',
  });
  state.dirty.add(run.task.step.occurrence.job);
}

/** Returns the time for which a VM is known to have lived with a run, in ms. */
export function measureAlive({ vm, runningSinceMs }: tables.RunRow): number {
  return Math.max(0, vm.answeredMs - (runningSinceMs ?? vm.answeredMs));
}

/** Returns whether a task may start in a trial only. */
export function isOnTrial(task: tables.TaskRow): boolean {
  return (
    countSuspicions(task) >= TRIAL_SUSPICIONS ||
    getMarks(task).length >= MIN_CRASHES
  );
}

/** Returns whether a trial runs on a VM, so that nothing else may start there. */
export function hasTrial({ trial, runs }: tables.VmRow): boolean {
  if (trial === undefined || !runs.has(trial) || trial.settled) return false;
  return isFresh(trial) || getMarks(trial.task).length >= MIN_CRASHES;
}

/** Returns whether a run may still crash its VM, as its task is suspected of. */
export function isSuspect({ settled, task }: tables.RunRow): boolean {
  return !settled && getMarks(task).length > 0 && countSuspicions(task) > 0;
}

function hasSuspect({ runs }: tables.VmRow): boolean {
  for (const run of runs) if (isSuspect(run)) return true;
  return false;
}

/** Updates which VMs run suspects; placement avoids them. */
export function updateSuspectVms(state: states.State): void {
  for (const vm of state.vms.values()) vm.hasSuspect = hasSuspect(vm);
}

/** Returns whether a VM hasn't lived with a run for long yet. */
export function isFresh(run: tables.RunRow): boolean {
  if (run.settled) return false;
  // How long the VM has lived with a run of a previous owner isn't known, but it is longer.
  if (run.startedEarlier) return run.runningSinceMs === undefined;
  return measureAlive(run) < FRESH_MS;
}

/**
 * Marks the tasks of the runs that a VM's crash has ended, and returns them. Starts in
 * flight there may turn out to have begun, so they compete for the blame.
 */
export function markCrash(
  vm: tables.VmRow,
  lost: readonly tables.RunRow[],
  inFlight: readonly tables.RunRow[],
): readonly tables.TaskRow[] {
  const suspects = lost.filter((run) => canBeCause(run));
  const choose = createEvidenceChoice([...suspects, ...inFlight]);
  const evidences = suspects.map((run) => ({ run, evidence: choose(run) }));
  const marked: tables.TaskRow[] = [];
  for (const { run, evidence } of evidences) {
    const marks = getMarks(run.task);
    const known = marks.findIndex(({ run: number }) => number === run.number);
    if (known >= 0 && marks[known]?.evidence !== 'inconclusive') continue;
    if (known >= 0) marks.splice(known, 1);
    marks.push({
      run: run.number,
      vm: vm.id,
      incarnation: run.incarnation,
      evidence: chooseEvidence(run, evidence),
    });
    run.task.avoidedVms.add(vm.id);
    marked.push(run.task);
  }
  for (const { incarnation } of suspects) vm.blamedIncarnation = incarnation;
  return marked;
}

function chooseEvidence(
  run: tables.RunRow,
  evidence: tables.CrashEvidence,
): tables.CrashEvidence {
  if (!run.hasBegun) return 'unconfirmed';
  return evidence === 'sole' && isBlamed(run) ? 'shared' : evidence;
}

function canBeCause({ task, number, settled }: tables.RunRow): boolean {
  if (settled || task.state === 'done') return false;
  const { job } = task.step.occurrence;
  if (job.cancelled || job.final !== undefined) return false;
  // A later run of the task is known to live.
  return !(task.run?.settled === true && task.run.number > number);
}

/** Returns whether other tasks have already been marked for the crash that ended a run. */
function isBlamed({ vm, incarnation }: tables.RunRow): boolean {
  return incarnation !== undefined && incarnation === vm.blamedIncarnation;
}

/** Returns a function that chooses the evidence against each of the runs on a crashed VM. */
function createEvidenceChoice(
  runs: readonly tables.RunRow[],
): (run: tables.RunRow) => tables.CrashEvidence {
  const fresh = runs.filter(isFresh);
  const levels = new Map<tables.CrashMark[], number>();
  for (const { task } of fresh.length > 0 ? fresh : runs)
    levels.set(getMarks(task), countSuspicions(task));
  const highest = Math.max(0, ...levels.values());
  const top = [...levels].filter(([, level]) => level === highest);
  const [first] = top;
  const chooseShared = ({ task }: tables.RunRow): tables.CrashEvidence =>
    levels.has(getMarks(task)) ? 'shared' : 'explained';
  if (top.length !== 1 || first === undefined) return chooseShared;
  const [sole] = first;
  const isOnly = runs.every(({ task }) => getMarks(task) === sole);
  if (highest === 0 && !isOnly) return chooseShared;
  return ({ task }) => (getMarks(task) === sole ? 'sole' : 'explained');
}

/** Applies that a task was given up: its crashes don't count against the tasks that shared its VMs. */
export function explainCrashes(
  state: states.State,
  givenUp: tables.TaskRow,
): void {
  const ownMarks = getMarks(givenUp);
  const crashes = new Set(ownMarks.map(formatCrash));
  for (const job of state.jobs.values())
    for (const marks of listMarks(job)) {
      if (marks === ownMarks) continue;
      marks.forEach((mark, index) => {
        if (mark.evidence !== 'shared' || !crashes.has(formatCrash(mark)))
          return;
        marks[index] = { ...mark, evidence: 'explained' };
        state.dirty.add(job);
      });
    }
}

/** Removes the marks for a crash of an incarnation of a VM that reports again, so that it hasn't crashed. */
export function removeMarks(state: states.State, vm: tables.VmRow): void {
  if (vm.incarnation === undefined) return;
  if (vm.blamedIncarnation === vm.incarnation) vm.blamedIncarnation = undefined;
  for (const job of state.jobs.values())
    for (const marks of listMarks(job)) {
      const kept = marks.filter(
        (mark) =>
          mark.evidence === 'inconclusive' ||
          mark.vm !== vm.id ||
          mark.incarnation !== vm.incarnation,
      );
      if (kept.length === marks.length) continue;
      marks.splice(0, marks.length, ...kept);
      state.dirty.add(job);
    }
}

/** Lists the marks of a job's marked gangs and tasks. Few of them are marked, so no list of all is built. */
function* listMarks(job: tables.JobRow): Generator<tables.CrashMark[]> {
  for (const { steps } of job.occurrences)
    for (const { gangCrashes, tasks } of steps) {
      if (gangCrashes.length > 0) yield gangCrashes;
      for (const { crashes } of tasks) if (crashes.length > 0) yield crashes;
    }
}

function formatCrash({ vm, incarnation }: tables.CrashMark): string {
  return tables.formatIncarnationKey(vm, incarnation);
}
