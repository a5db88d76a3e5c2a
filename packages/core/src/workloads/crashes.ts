/**
 * Crashes of VMs. A VM has crashed when its process has terminated, another VM answers at
 * its address or it reports a new incarnation, while runs on it hadn't ended. A VM that
 * drains leaves as planned, and an expired lease alone may be due to the network: its runs
 * are remembered until the VM reports again.
 */
import * as states from './state.js';
import * as tables from './tables.js';

/** Time after which a run that its VM still reports can't be the cause of a later crash, in ms. */
const SETTLED_MS = 3_000;

/** Records that the runs of a VM were lost in its crash. */
export function recordCrash(
  state: states.State,
  vm: tables.VmRow,
  over: readonly tables.RunRow[],
  evidence: states.CrashEvidence,
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
      aliveMs: Math.round(measureAlive(run)),
      settled: run.settled,
    });
}

function hasDrained({ vm, incarnation }: tables.RunRow): boolean {
  if (vm.leaving) return true;
  return incarnation !== undefined && incarnation === vm.drainedIncarnation;
}

/** Records the crash of a VM in which all its runs are lost. */
export function recordLoss(
  state: states.State,
  vm: tables.VmRow,
  evidence: states.CrashEvidence,
): void {
  recordCrash(
    state,
    vm,
    [...takeSilentRuns(vm), ...[...vm.runs].filter(canHaveBegun)],
    evidence,
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

/** Marks a run that its VM reports, once it has been running for long enough. */
export function settleRun(run: tables.RunRow, nowMs: number): void {
  run.settled ||= nowMs - (run.runningSinceMs ?? nowMs) >= SETTLED_MS;
}

/** Returns the time for which a VM is known to have lived with a run, in ms. */
function measureAlive({ vm, runningSinceMs }: tables.RunRow): number {
  return Math.max(0, vm.answeredMs - (runningSinceMs ?? vm.answeredMs));
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
