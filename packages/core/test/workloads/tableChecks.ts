/**
 * Checks of the scheduler's tables: counts agree with the rows that they count, and every
 * run has something that ends its phase.
 */
import * as advice from '../../src/workloads/advice.js';
import * as openVms from '../../src/workloads/openVms.js';
import * as placement from '../../src/workloads/placement.js';
import * as states from '../../src/workloads/state.js';
import * as tables from '../../src/workloads/tables.js';
import * as workspaceLimits from '../../src/workloads/workspaceLimits.js';

/** Facts about the runtime that the tables don't contain. */
export interface RuntimeFacts {
  readonly nowMs: number;
  /** Time between two ticks, in ms. */
  readonly tickMs: number;
  readonly hasSession: (vm: string) => boolean;
  /** Returns whether the outcome of a start command is still to be applied. */
  readonly isStartOpen: (run: string) => boolean;
}

const USED_TOLERANCE = 1e-6;
const noUse = { cores: 0, memoryMb: 0, gpus: 0 };

/** Returns what is wrong with the tables. */
export function checkTables(
  state: states.State,
  facts: RuntimeFacts,
): readonly string[] {
  const wrong: string[] = [];
  const activeRuns = new Map<tables.JobRow, number>();
  const workspaceUse = new Map<
    workspaceLimits.WorkspaceAccount,
    { cores: number; memoryMb: number; gpus: number }
  >();
  const addWorkspaceUse = ({ step }: tables.TaskRow): void => {
    const { workspace } = step.occurrence.job;
    if (workspace === undefined) return;
    const sum = workspaceUse.get(workspace) ?? { ...noUse };
    tables.addAmount(sum, step.spec.size, 1);
    workspaceUse.set(workspace, sum);
  };
  for (const vm of state.vms.values()) {
    const used = { cores: 0, memoryMb: 0, gpus: 0 };
    for (const run of vm.runs) {
      const { job } = run.task.step.occurrence;
      activeRuns.set(job, (activeRuns.get(job) ?? 0) + 1);
      addWorkspaceUse(run.task);
      tables.addAmount(used, tables.getNeed(run.task.step.spec), 1);
      const name = states.formatRun(run);
      if (run.vm !== vm) wrong.push(`${name} is a run of another VM`);
      if (run.task.run !== run) wrong.push(`${name} isn't the run of its task`);
      const open = checkPhase(state, run, facts);
      if (open !== undefined) wrong.push(`${name} ${run.phase}: ${open}`);
    }
    for (const kind of ['cores', 'memoryMb', 'gpus'] as const)
      if (Math.abs(used[kind] - vm.used[kind]) > USED_TOLERANCE)
        wrong.push(`${vm.id}: used ${kind}`);
  }
  for (const { strayRuns } of state.vms.values())
    for (const { task } of strayRuns.values())
      if (task !== undefined) addWorkspaceUse(task);
  for (const account of state.workspaceAccounts.values()) {
    const sum = workspaceUse.get(account) ?? noUse;
    for (const kind of ['cores', 'memoryMb', 'gpus'] as const)
      if (Math.abs(sum[kind] - account.used[kind]) > USED_TOLERANCE)
        wrong.push(`workspace ${account.name}: used ${kind}`);
  }
  const open = openVms.collectOpenVms(state, facts.nowMs);
  for (const job of state.jobs.values()) {
    if (job.activeRuns !== (activeRuns.get(job) ?? 0))
      wrong.push(`${job.job.id}: active runs`);
    for (const { steps, number } of job.occurrences)
      for (const step of steps)
        wrong.push(
          ...[
            ...checkStep(state, step),
            ...checkOpenVms(state, open, step, facts.nowMs),
          ].map((what) => `${job.job.id}.${number}.${step.index}: ${what}`),
        );
  }
  return wrong;
}

function checkStep(
  state: states.State,
  step: tables.StepRow,
): readonly string[] {
  const wrong: string[] = [];
  const countState = (name: tables.TaskRow['state']): number =>
    step.tasks.filter((task) => task.state === name).length;
  if (countState('waiting') !== step.waitingCount) wrong.push('waiting count');
  if (countState('done') !== step.doneCount) wrong.push('done count');
  for (const { run, state: taskState, index, strayRunVms } of step.tasks) {
    if (
      taskState !== 'done' &&
      (run !== undefined) !== (taskState === 'active')
    )
      wrong.push(`task ${index} is ${taskState}`);
    if (run !== undefined && !run.vm.runs.has(run))
      wrong.push(`task ${index}: its VM doesn't have its run`);
    for (const vm of [...strayRunVms, ...(run === undefined ? [] : [run.vm])])
      if (state.vms.get(vm.id) !== vm) wrong.push(`task ${index}: VM missing`);
  }
  return wrong;
}

/** Compares the index of the VMs that may get new runs with a search through all VMs. */
function checkOpenVms(
  state: states.State,
  open: openVms.OpenVms,
  step: tables.StepRow,
  nowMs: number,
): readonly string[] {
  const eligible = [...state.vms.values()].filter((vm) =>
    placement.isEligible(vm, step, nowMs),
  );
  const found = openVms
    .listForStep(open, step)
    .filter((vm) => placement.isEligible(vm, step, nowMs));
  const hasTicket = (vm: tables.VmRow) =>
    advice.findTicket(step, vm, nowMs) !== undefined;
  const approved = openVms
    .listApproved(open, step)
    .filter((vm) => placement.isEligible(vm, step, nowMs) && hasTicket(vm));
  const listIds = (vms: readonly tables.VmRow[]) =>
    vms.map(({ id }) => id).join();
  return [
    ...(listIds(found) === listIds(eligible) ? [] : ['open VMs']),
    ...(listIds(approved) === listIds(eligible.filter(hasTicket))
      ? []
      : ['approved VMs']),
  ];
}

/** Returns why nothing ends the phase of a run; undefined when something does. */
function checkPhase(
  state: states.State,
  run: tables.RunRow,
  facts: RuntimeFacts,
): string | undefined {
  const isInheritedTermOver =
    facts.nowMs >
    state.createdMs + state.bounds.inheritedRunTimeoutMs + facts.tickMs;
  switch (run.phase) {
    case 'inherited':
      return isInheritedTermOver ? 'its timeout has passed' : undefined;
    case 'recording':
      return [...state.newStarts, ...(state.batch?.starts ?? [])].includes(run)
        ? undefined
        : 'no batch contains it';
    case 'sent':
      return facts.isStartOpen(states.formatRun(run))
        ? undefined
        : 'its start has no open outcome';
    case 'unknown':
      return 'it should be stopping';
    case 'running':
      return facts.hasSession(run.vm.id)
        ? undefined
        : 'nothing asks its VM for reports';
    case 'stopping':
      // Without a session, only the timeout for inherited runs can end it.
      return facts.hasSession(run.vm.id) || !isInheritedTermOver
        ? undefined
        : 'nothing asks its VM for reports';
  }
}
