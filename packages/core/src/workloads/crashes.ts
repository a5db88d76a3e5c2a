/**
 * Crashes of VMs. A VM has crashed when it refuses connections until its lease has expired,
 * another VM answers at its address or it reports a new incarnation, while runs on it hadn't
 * ended. A VM that drains leaves as planned, and silence until the lease has expired may be
 * due to the network: its runs are remembered until the VM reports again.
 */
import * as blame from './blame.js';
import * as ends from './ends.js';
import * as states from './state.js';
import * as tables from './tables.js';

/** Records that the runs of a VM were lost in its crash. */
export function recordCrash(
  state: states.State,
  vm: tables.VmRow,
  over: readonly tables.RunRow[],
  evidence: states.CrashEvidence,
  nowMs: number,
): void {
  const lost = over.filter((run) => !hasDrained(run));
  if (lost.length === 0) return;
  states.countEvent(state, 'run.crashed-vm', lost.length);
  for (const run of lost)
    state.crashedRuns.push({
      task: tables.getTaskKey(run.task),
      run: run.number,
      vm: vm.id,
      evidence,
      aliveMs: Math.round(blame.measureAlive(run)),
      settled: run.settled,
    });
  const inFlight = [...vm.runs].filter(
    (run) => run.phase === 'sent' && !lost.includes(run),
  );
  const marked = blame.markCrash(vm, lost, inFlight);
  states.countEvent(state, 'task.suspected', marked.length);
  for (const task of marked) failTask(state, task, nowMs);
}

/** Fails the job of a task that has crashed too many VMs. */
export function failTask(
  state: states.State,
  task: tables.TaskRow,
  nowMs: number,
): void {
  const { job } = task.step.occurrence;
  if (states.isJobOver(job) || !blame.isGivenUp(task)) return;
  states.countEvent(state, 'task.given-up');
  const marks = blame.getMarks(task);
  state.givenUpTasks.push({
    task: tables.getTaskKey(task),
    crashes: marks.length,
    vms: marks.map(({ vm }) => vm),
  });
  blame.explainCrashes(state, task);
  ends.decideFinal(state, job, nowMs);
}

function hasDrained({ vm, incarnation }: tables.RunRow): boolean {
  if (vm.leaving) return true;
  return incarnation !== undefined && incarnation === vm.drainedIncarnation;
}

/** Records the crash of a VM in which all its runs are lost. */
export function recordLoss(
  state: states.State,
  vm: tables.VmRow,
  over: readonly tables.RunRow[],
  evidence: states.CrashEvidence,
  nowMs: number,
): void {
  recordCrash(
    state,
    vm,
    [...takeSilentRuns(vm), ...over.filter(canHaveBegun)],
    evidence,
    nowMs,
  );
}

/** Remembers the runs of a VM whose lease has expired: it may turn out to have crashed. */
export function addSilentRuns(
  vm: tables.VmRow,
  runs: readonly tables.RunRow[],
): void {
  vm.silentRuns.push(...runs.filter(canHaveBegun));
}

/** Removes and returns the runs that ended while the VM was silent. */
export function takeSilentRuns(vm: tables.VmRow): readonly tables.RunRow[] {
  const taken = vm.silentRuns;
  vm.silentRuns = [];
  return taken;
}

/** Returns whether a run belongs to another incarnation of its VM than the one that reports. */
export function isOfEarlierIncarnation(run: tables.RunRow): boolean {
  return (
    run.incarnation !== undefined &&
    run.vm.incarnation !== undefined &&
    run.incarnation !== run.vm.incarnation
  );
}

function canHaveBegun(run: tables.RunRow): boolean {
  switch (run.phase) {
    case 'recording':
      return false;
    case 'sent':
    case 'running':
    case 'unknown':
    case 'stopping':
    case 'inherited':
      return true;
  }
}
