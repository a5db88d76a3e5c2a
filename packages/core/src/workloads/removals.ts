/**
 * Removals of runs without a report of their end. The scheduler concludes that such a run
 * is over, and the conclusion may be wrong, so what it rests on is kept: an end of the
 * run that is reported later shows that its task may have run twice.
 */
import type * as ids from '../types/ids.js';
import type * as states from './state.js';
import * as tables from './tables.js';
import type * as types from './types.js';

/** Time for which a removed run is remembered, in ms; a VM that was cut off may report its end as late. */
const REMEMBERED_MS = 60_000;
/** Maximum number of removed runs that are remembered. */
const MAX_REMEMBERED = 10_000;

/** What shows that a run without a reported end is over. */
export type RemovalEvidence =
  | states.CrashEvidence
  /** The lease of its VM has ended. */
  | 'lease-expired'
  /** Its VM reports all its runs and ends without it, later than a stop of it can end. */
  | 'whole-report'
  /** Its VM hasn't reported before the leases of earlier owners ended. */
  | 'no-report'
  /** A VM reports a later run of the task. */
  | 'later-run'
  /** The outcome of its start. */
  | 'start-outcome';

/** Evidence of a removal, with the age of the report that it comes from. */
export interface RemovalGrounds {
  readonly evidence: RemovalEvidence;
  /** Time since the report was requested, in ms; absent for other evidence. */
  readonly reportAgeMs?: number;
}

/** A removal of a run that may have begun, without a report of its end. */
export interface Removal extends RemovalGrounds {
  readonly run: number;
  readonly how: states.RunRemoval;
  readonly removedMs: number;
  readonly phase: tables.RunPhase;
  readonly incarnation: types.VmIncarnation | undefined;
  /** Time for which the run was in the tables, in ms. */
  readonly heldMs: number;
  /** Time since the last report that listed the run, in ms; undefined when none did. */
  readonly listedAgeMs: number | undefined;
  /** Time since the VM confirmed the run or its stop, in ms; undefined when it didn't. */
  readonly confirmedAgeMs: number | undefined;
}

/** A removed run and its task, which may have left the tables since. */
export interface RemovedRun {
  readonly task: tables.TaskRow;
  readonly removal: Removal;
}

/** Run of a task that the tables hold. */
export interface HeldRun {
  readonly run: number;
  readonly vm: ids.VmId;
  readonly phase: tables.RunPhase;
}

/** Reported end of a run that isn't in the tables, of a task that has run again. */
export interface LateEnd {
  readonly task: types.TaskKey;
  readonly run: number;
  readonly vm: ids.VmId;
  readonly how: types.RunEnd;
  /** State of the task; its job may have left the tables. */
  readonly taskState: tables.TaskRow['state'];
  /** Number of the last run of the task whose start was sent. */
  readonly latestRun: number;
  readonly held: HeldRun | undefined;
  /** How the run left the tables, unless its end was reported before or another owner removed it. */
  readonly removal: Removal | undefined;
  /** Time since the run left the tables, in ms; undefined where its removal isn't known. */
  readonly removalAgeMs: number | undefined;
}

/** Describes the removal of a run; undefined when its start hasn't been sent. */
export function buildRemoval(
  run: tables.RunRow,
  how: states.RunRemoval,
  grounds: RemovalGrounds,
  nowMs: number,
): Removal | undefined {
  if (run.phase === 'recording') return undefined;
  const measureAge = (atMs: number | undefined): number | undefined =>
    atMs === undefined ? undefined : nowMs - atMs;
  return {
    ...grounds,
    run: run.number,
    how,
    removedMs: nowMs,
    phase: run.phase,
    incarnation: run.incarnation,
    heldMs: nowMs - run.addedMs,
    listedAgeMs: measureAge(run.listedMs),
    confirmedAgeMs: measureAge(run.confirmedMs),
  };
}

/** Drops the removed runs that are remembered for too long, or are too many. */
export function expireRemovedRuns(
  removedRuns: Map<string, RemovedRun>,
  nowMs: number,
): void {
  for (const [key, { removal }] of removedRuns) {
    const isRecent = nowMs - removal.removedMs < REMEMBERED_MS;
    if (isRecent && removedRuns.size <= MAX_REMEMBERED) return;
    removedRuns.delete(key);
  }
}

/** Finds out whether the end of a run that isn't in the tables belongs to a task that has run again. */
export function findLateEnd(reported: {
  /** Task in the tables, if it is there. */
  readonly task: tables.TaskRow | undefined;
  readonly removed: RemovedRun | undefined;
  readonly vm: tables.VmRow;
  readonly end: types.ReportedEnd;
  readonly nowMs: number;
}): LateEnd | undefined {
  const { removed, vm, end, nowMs } = reported;
  const task = reported.task ?? removed?.task;
  if (task === undefined) return undefined;
  const { latestRun, run: held } = task;
  if (latestRun === undefined || latestRun === end.run) return undefined;
  const removal = removed?.removal;
  return {
    task: tables.getTaskKey(task),
    run: end.run,
    vm: vm.id,
    how: end.how,
    taskState: task.state,
    latestRun,
    held: held && { run: held.number, vm: held.vm.id, phase: held.phase },
    removal,
    removalAgeMs: removal && nowMs - removal.removedMs,
  };
}

/** Returns whether a run ended as its removal assumed: with the lease of its VM. */
export function isEndExpected({ how, removal }: LateEnd): boolean {
  if (how !== 'lapsed' || removal === undefined) return false;
  switch (removal.evidence) {
    case 'lease-expired':
    case 'terminated':
    case 'no-report':
      return true;
    case 'replaced':
    case 'restarted':
    case 'whole-report':
    case 'later-run':
    case 'start-outcome':
      return false;
  }
}
