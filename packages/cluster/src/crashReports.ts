/**
 * Log lines about crashed VMs: one for each VM, one for each run that had only just
 * started there, and one for each task that is given up. A run that had been running for
 * longer has less to do with the crash.
 */
import * as core from '@flamingoward/core';
import type * as observability from '@flamingoward/observability';

/** Logs the crashes that the scheduler has recorded. */
export function logCrashes(
  log: observability.Logger,
  fence: number,
  crashed: readonly core.workloads.CrashedRun[],
): void {
  const byVm = new Map<core.ids.VmId, core.workloads.CrashedRun[]>();
  for (const run of crashed)
    byVm.set(run.vm, [...(byVm.get(run.vm) ?? []), run]);
  for (const [vm, runs] of byVm)
    log.write('warn', 'vm.crashed', {
      vm,
      fence,
      why: runs[0]?.evidence,
      runs: runs.length,
    });
  for (const { task, run, vm, aliveMs, settled } of crashed)
    if (!settled)
      log.write('warn', 'task.crashed-vm', {
        task: core.workloads.formatTask(task),
        run,
        vm,
        fence,
        aliveMs,
      });
}

/** Logs the tasks that aren't started any more because they crash VMs. */
export function logGivenUp(
  log: observability.Logger,
  fence: number,
  tasks: readonly core.workloads.GivenUpTask[],
): void {
  for (const { task, crashes, vms } of tasks)
    log.write('warn', 'task.given-up', {
      task: core.workloads.formatTask(task),
      fence,
      why: 'crashes-vms',
      crashes,
      vms: vms.join(),
    });
}
