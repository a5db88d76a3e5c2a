/**
 * Stray runs: a VM lists them as running, but they must not run and are stopped. Their
 * tasks aren't started, and their VMs get no new runs, until they have ended: until the
 * VM lists their end, or lists them nowhere for as long as a stop takes.
 */
import * as names from './names.js';
import * as states from './state.js';
import type * as tables from './tables.js';
import type * as types from './types.js';
import * as workspaceLimits from './workspaceLimits.js';

/** Adds a run that its VM lists. */
export function addStray(
  vm: tables.VmRow,
  { task: key, run }: types.ReportedRun,
  task: tables.TaskRow | undefined,
): void {
  const name = names.formatRun(key, run);
  const previous = vm.strayRuns.get(name);
  vm.strayRuns.set(name, { task, closedMs: undefined });
  task?.strayRunVms.add(vm);
  if (previous?.task === task) return;
  if (previous?.task !== undefined) workspaceLimits.removeStray(previous.task);
  if (task !== undefined) workspaceLimits.addStray(task);
}

/** Removes the runs of a VM that its report shows to have ended. */
export function removeEnded(
  state: states.State,
  vm: tables.VmRow,
  report: types.VmReport,
  nowMs: number,
): void {
  if (vm.strayRuns.size === 0) return;
  const format = ({ task, run }: types.ReportedRun | types.ReportedEnd) =>
    names.formatRun(task, run);
  const listed = new Set(report.running.map(format));
  const ended = new Set(report.ended.map(format));
  for (const [name, stray] of vm.strayRuns) {
    if (listed.has(name)) continue;
    if (!ended.has(name)) {
      // An end that isn't listed yet may be one as done.
      if (report.mayHaveMoreEnds === true) continue;
      stray.closedMs ??= nowMs;
      if (!states.isStopOver(state, stray.closedMs, report.requestSentMs))
        continue;
    }
    removeStray(vm, name, stray);
  }
}

/** Removes all stray runs of a VM, which have ended with its lease or its incarnation. */
export function clearStrays(vm: tables.VmRow): void {
  for (const [name, stray] of vm.strayRuns) removeStray(vm, name, stray);
}

function removeStray(
  vm: tables.VmRow,
  name: string,
  { task }: tables.StrayRun,
): void {
  vm.strayRuns.delete(name);
  if (task !== undefined) workspaceLimits.removeStray(task);
  const hasOther = [...vm.strayRuns.values()].some(
    (other) => other.task === task,
  );
  if (!hasOther) task?.strayRunVms.delete(vm);
}
