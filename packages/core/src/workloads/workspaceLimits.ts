/**
 * Limits of workspaces: keeps account of what the runs of each workspace use on all VMs,
 * and decides whether a step may start under the limit. Capacity under the limit is kept
 * for the first waiting gang of a workspace: small tasks of the same workspace would
 * otherwise take each part that becomes free, and the gang would never start. Tasks that
 * are expected to end before the gang can start may use it meanwhile (backfilling).
 */
import * as resources from '../types/resources.js';
import * as runTimes from './runTimes.js';
import * as tables from './tables.js';
import type * as types from './types.js';
import * as waits from './waits.js';

/**
 * Expected remaining time above which a run counts as long-running, in ms. Small tasks
 * don't wait for a gang that such runs keep from starting anyway.
 */
const LONG_RUN_MS = 30_000;
/** Waiting gangs of one workspace whose VMs are examined in one round; examining all of a thousand gangs would slow the round. */
const MAX_EXAMINED_GANGS = 4;

/** What a workspace uses, and what waits for its limit. */
export interface WorkspaceAccount {
  readonly name: types.WorkspaceName;
  /** Limit in the last configuration that named the workspace, Infinity for a resource without one; `UNKNOWN_LIMIT` before the first configuration. */
  limit: resources.Resources;
  /** Sizes of its runs in the tables and of its stray runs. */
  readonly used: tables.Amount;
  readonly runs: Set<tables.RunRow>;
  /** Number of its stray runs that may not have ended. */
  strayRuns: number;
  /** Sizes of the tasks that an earlier owner may have started without a record, as of this round. */
  readonly unrecorded: tables.Amount;
  /** Gang for which capacity under the limit is reserved, as of this round. */
  reservedFor: tables.StepRow | undefined;
  /** Expected time until the limit and the VMs cover that gang, in ms; 0 when they do or when this isn't known. */
  reservedReadyMs: number;
  /** Gangs whose VMs were examined in this round. */
  examinedGangs: number;
  /** Steps that wait for the limit, as of this round. */
  waitingSteps: Set<tables.StepRow>;
}

/** Use and limit of a workspace, for metrics and operators. */
export interface WorkspaceUse {
  readonly name: types.WorkspaceName;
  readonly used: resources.Resources;
  /** Infinity for a resource without a limit. */
  readonly limit: resources.Resources;
  /** Tasks that an earlier owner may have started without a record; they count towards the limit, too. */
  readonly unrecorded: resources.Resources;
  /** Number of steps that wait for the limit. */
  readonly waitingSteps: number;
}

const UNLIMITED: resources.Resources = {
  cores: Infinity,
  memoryMb: Infinity,
  gpus: Infinity,
};

/** Nothing starts before the owner knows a configuration: a new owner would otherwise start restored jobs without a limit. */
const UNKNOWN_LIMIT: resources.Resources = { ...resources.noResources };

type Accounts = Map<types.WorkspaceName, WorkspaceAccount>;

/** Returns the account of a workspace; adds one if there is none. A workspace that no configuration has named has no limit. */
export function ensureAccount(
  accounts: Accounts,
  name: types.WorkspaceName,
  isConfigured: boolean,
): WorkspaceAccount {
  const existing = accounts.get(name);
  if (existing !== undefined) return existing;
  const account: WorkspaceAccount = {
    name,
    limit: isConfigured ? UNLIMITED : UNKNOWN_LIMIT,
    used: { ...resources.noResources },
    runs: new Set(),
    strayRuns: 0,
    unrecorded: { ...resources.noResources },
    reservedFor: undefined,
    reservedReadyMs: 0,
    examinedGangs: 0,
    waitingSteps: new Set(),
  };
  accounts.set(name, account);
  return account;
}

/**
 * Applies the limits of a configuration. A workspace that it doesn't name keeps its last
 * limit, because its accepted jobs go on.
 */
export function setLimits(
  accounts: Accounts,
  workspaces: ReadonlyMap<types.WorkspaceName, types.WorkspacePolicy>,
): void {
  for (const { name, limit } of workspaces.values())
    ensureAccount(accounts, name, true).limit = limit;
  for (const account of accounts.values())
    if (account.limit === UNKNOWN_LIMIT) account.limit = UNLIMITED;
}

/** Adds a run to the account of its workspace. */
export function addRun(run: tables.RunRow): void {
  const account = getAccount(run.task.step);
  if (account === undefined) return;
  account.runs.add(run);
  tables.addAmount(account.used, run.task.step.spec.size, 1);
}

/** Removes a run from the account of its workspace. */
export function removeRun(run: tables.RunRow): void {
  const account = getAccount(run.task.step);
  if (account?.runs.delete(run) === true) removeSize(account, run.task);
}

/** Adds a stray run to the account of its workspace. */
export function addStray(task: tables.TaskRow): void {
  const account = getAccount(task.step);
  if (account === undefined) return;
  account.strayRuns += 1;
  tables.addAmount(account.used, task.step.spec.size, 1);
}

/** Removes a stray run from the account of its workspace. */
export function removeStray(task: tables.TaskRow): void {
  const account = getAccount(task.step);
  if (account === undefined) return;
  account.strayRuns -= 1;
  removeSize(account, task);
}

function removeSize(account: WorkspaceAccount, task: tables.TaskRow): void {
  tables.addAmount(account.used, task.step.spec.size, -1);
  // Sums of fractional cores keep a rounding error, which would add up over weeks.
  if (account.runs.size === 0 && account.strayRuns === 0)
    Object.assign(account.used, resources.noResources);
}

/** Clears what holds for one round only. */
export function clearRound(accounts: Accounts): void {
  for (const account of accounts.values()) {
    Object.assign(account.unrecorded, resources.noResources);
    account.reservedFor = undefined;
    account.examinedGangs = 0;
    if (account.waitingSteps.size > 0) account.waitingSteps = new Set();
  }
}

/** Counts the waiting tasks of a job that an earlier owner may have started without a record. */
export function addUnrecorded({ workspace, occurrences }: tables.JobRow): void {
  if (workspace === undefined) return;
  for (const { done, steps } of occurrences)
    if (!done)
      for (const { waitingCount, spec } of steps)
        tables.addAmount(workspace.unrecorded, spec.size, waitingCount);
}

function getAccount(step: tables.StepRow): WorkspaceAccount | undefined {
  return step.occurrence.job.workspace;
}

/** Computes what the limit of a workspace leaves, without reservations; negative where it is overdrawn. */
export function computeFree(account: WorkspaceAccount): tables.Amount {
  const free = { ...account.limit };
  tables.addAmount(free, account.used, -1);
  tables.addAmount(free, account.unrecorded, -1);
  return free;
}

/** Counts the tasks of a step that start at once. */
function countTogether({ gang, count }: types.StepSpec): number {
  return gang ? count : 1;
}

/** Returns the largest number of tasks of a step that may start under the limit alone, without reservations. */
export function countStartable(step: tables.StepRow): number {
  const account = getAccount(step);
  return account === undefined
    ? Infinity
    : countTasks(computeFree(account), step.spec.size);
}

/** Counts the tasks of a size for which an amount suffices; 0 where any resource is overdrawn. */
function countTasks(
  free: resources.Resources,
  size: resources.Resources,
): number {
  if (!tables.hasRoom(free, size)) return 0;
  let count = Infinity;
  for (const name of resources.resourceNames)
    if (size[name] > 0)
      count = Math.min(
        count,
        Math.floor((free[name] + tables.CORE_TOLERANCE) / size[name]),
      );
  return count;
}

/** Returns whether the next task of a step, or its whole gang, fits within the limit, without reservations. */
export function isWithinLimit(step: tables.StepRow): boolean {
  const account = getAccount(step);
  if (account === undefined) return true;
  const { limit, used, unrecorded } = account;
  const { size } = step.spec;
  const count = countTogether(step.spec);
  // Called for each waiting step in each round, so it builds no sums.
  for (const name of resources.resourceNames)
    if (
      used[name] + unrecorded[name] + size[name] * count >
      limit[name] + tables.CORE_TOLERANCE
    )
      return false;
  return true;
}

/** Returns whether a step has to be ranked: it fits within the limit, or is a gang for which capacity may be reserved. */
export function canRank(step: tables.StepRow): boolean {
  return isWithinLimit(step) || canReserve(step);
}

/**
 * Returns whether the next task of a step, or its whole gang, may start in this round. An
 * overdue service may use what is reserved for a gang, which may wait for much longer.
 */
export function canStart(step: tables.StepRow, nowMs: number): boolean {
  const account = getAccount(step);
  if (account === undefined) return true;
  if (!isWithinLimit(step)) return false;
  const { reservedFor } = account;
  if (reservedFor === undefined || reservedFor === step) return true;
  if (waits.isServiceOverdue(step, nowMs)) return true;
  const { size, lasts, estimateMs } = step.spec;
  if (
    !lasts &&
    estimateMs * runTimes.DECLARED_ERROR_FACTOR < account.reservedReadyMs
  )
    return true;
  const gang = reservedFor.spec;
  const count = countTogether(step.spec);
  // A task doesn't delay the gang by resources of which the limit covers both.
  return resources.resourceNames.every(
    (name) =>
      size[name] === 0 ||
      account.used[name] +
        account.unrecorded[name] +
        gang.size[name] * gang.count +
        size[name] * count <=
        account.limit[name] + tables.CORE_TOLERANCE,
  );
}

/** Returns whether tasks that run now could start again if they were stopped. */
export function canRestart(step: tables.StepRow, tasks: number): boolean {
  const account = getAccount(step);
  if (account === undefined) return true;
  const free = computeFree(account);
  tables.addAmount(free, step.spec.size, tasks);
  return tables.hasRoom(free, step.spec.size);
}

/** Notes that a step waits for the limit in this round. */
export function markBlocked(step: tables.StepRow): void {
  getAccount(step)?.waitingSteps.add(step);
}

/** Returns the use of its workspace if a step waited for the limit in the last round. */
export function findBlockingUse(
  step: tables.StepRow,
): WorkspaceUse | undefined {
  const account = getAccount(step);
  return account?.waitingSteps.has(step) === true
    ? buildUse(account)
    : undefined;
}

/** Returns whether the whole gang waits and the limit is large enough for it. */
function canReserve(step: tables.StepRow): boolean {
  const { spec, waitingCount } = step;
  const account = getAccount(step);
  return (
    account !== undefined &&
    spec.gang &&
    waitingCount === spec.count &&
    countTasks(account.limit, spec.size) >= spec.count
  );
}

/**
 * Reserves capacity under the limit for a waiting gang, unless an earlier one in this
 * round has it or long-running tasks alone leave too little. `canHold` returns whether
 * the VMs of the pool could hold the gang beside long-running tasks; `vmsReadyMs` is the
 * expected time until they do, 0 where it isn't known.
 */
export function reserveForGang(
  step: tables.StepRow,
  canHold: () => boolean,
  vmsReadyMs = 0,
): void {
  const account = getAccount(step);
  if (account === undefined || account.reservedFor !== undefined) return;
  if (!canReserve(step) || account.examinedGangs >= MAX_EXAMINED_GANGS) return;
  account.examinedGangs += 1;
  const left = { ...account.limit };
  for (const run of account.runs)
    if (isLong(run)) tables.addAmount(left, run.task.step.spec.size, -1);
  if (countTasks(left, step.spec.size) < step.spec.count) return;
  if (!canHold()) return;
  account.reservedFor = step;
  account.reservedReadyMs = Math.max(
    vmsReadyMs,
    estimateReadyMs(account, step.spec),
  );
}

/** Estimates the time until the limit covers a gang, in ms; 0 when it does, or when not only runs in the tables keep it from that. */
function estimateReadyMs(
  account: WorkspaceAccount,
  { size, count }: types.StepSpec,
): number {
  const free = computeFree(account);
  if (countTasks(free, size) >= count) return 0;
  const ends = [...account.runs]
    .map((run) => ({ run, leftMs: estimateLeftMs(run) }))
    .sort((a, b) => a.leftMs - b.leftMs);
  for (const { run, leftMs } of ends) {
    tables.addAmount(free, run.task.step.spec.size, 1);
    if (countTasks(free, size) >= count) return leftMs;
  }
  return 0;
}

/** Returns whether a run is long-running, so that no gang waits for its end. */
export function isLong(run: tables.RunRow): boolean {
  return estimateLeftMs(run) > LONG_RUN_MS;
}

/** Estimates the time until a run ends, in ms; Infinity for a service task. */
function estimateLeftMs({ task, phase, percent }: tables.RunRow): number {
  const { lasts, estimateMs } = task.step.spec;
  if (phase === 'stopping') return 0;
  return lasts ? Infinity : (1 - percent / 100) * estimateMs;
}

/** Returns why a limit can never cover a job; undefined when it can. */
export function checkSteps(
  policy: types.WorkspacePolicy | undefined,
  steps: readonly types.StepSpec[],
): string | undefined {
  if (policy === undefined) return undefined;
  const { name, limit } = policy;
  for (const [index, spec] of steps.entries()) {
    const fitting = countTasks(limit, spec.size);
    if (fitting === 0)
      return `a task of step ${index} needs more than the limit of the workspace ${name}`;
    if (fitting < countTogether(spec))
      return `the limit of the workspace ${name} covers ${fitting} of the ${spec.count} tasks of step ${index}, which start together`;
  }
  return undefined;
}

/** Returns the use and the limit of each workspace. */
export function listUse(
  accounts: ReadonlyMap<types.WorkspaceName, WorkspaceAccount>,
): readonly WorkspaceUse[] {
  return [...accounts.values()].map(buildUse);
}

function buildUse(account: WorkspaceAccount): WorkspaceUse {
  return {
    name: account.name,
    used: { ...account.used },
    limit: account.limit,
    unrecorded: { ...account.unrecorded },
    waitingSteps: account.waitingSteps.size,
  };
}
