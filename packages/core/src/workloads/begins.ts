/**
 * Evidence that a job has begun. A decided start may still be withdrawn, refused or lost
 * on its way, so only what a VM says shows that a task was started: the answer to a start
 * command, a run that it lists, or the end of one. A new owner has only records of
 * starts until the VMs report, so for some jobs it can't tell.
 */
import type * as ids from '../types/ids.js';
import * as states from './state.js';
import * as tables from './tables.js';
import type * as types from './types.js';

/** Unscheduled jobs of a queue that haven't ended and of which no VM has shown that a task was started. */
export interface UnstartedJobs {
  /** Jobs that wait for their first start, or for a VM's word about it; unresolved ones don't count. */
  readonly waiting: number;
  /** Jobs that may have been started on a VM whose word about it is missing; see `isUnresolved`. */
  readonly unresolved: number;
  /** Age of the oldest start of the waiting jobs that is on its way, in ms: the count may have been too high since. */
  readonly sentAgeMs: number;
}

/** Unstarted jobs of a queue, and how many of them have a decided start. */
export interface StartSummary extends Omit<UnstartedJobs, 'sentAgeMs'> {
  readonly queue: types.QueueName;
  /** Jobs with a decided start, also those that are unresolved. */
  readonly unconfirmed: number;
  /** Longest time since the first of those starts was decided or restored, in ms. */
  readonly oldestMs: number;
}

const NONE: UnstartedJobs = { waiting: 0, unresolved: 0, sentAgeMs: 0 };

/**
 * Time for which a job counts as waiting while its first start is on its way, in ms. Nodes
 * keep counts for a while and may tell none that is older than two seconds.
 */
const MAX_SENT_AGE_MS = 1_000;
/** Time within which VMs that can be reached have reported to a new owner, also if an answer is lost, in ms. */
const FIRST_REPORT_MS = 2_500;

/** Records that a VM has shown that a task of a job was started. */
export function recordBegin(state: states.State, id: ids.JobId): void {
  const job = state.jobs.get(id);
  if (job !== undefined) job.hasBegun = true;
}

/** What earlier owners may have started, as far as VMs may still tell. */
export interface UnknownBegins {
  /** Whether VMs that can be reached may not have reported yet. */
  readonly awaitsReports: boolean;
  /** VMs that haven't reported and on which tasks may have been started without a record. */
  readonly unrecorded: readonly tables.VmRow[];
  /** Monotonic time until which accepted jobs may have been started so. */
  readonly acceptedUntilMs: number;
}

/** Finds what earlier owners may have started; also after their last lease the first reports of the VMs still tell. */
export function findUnknownBegins(
  state: states.State,
  nowMs: number,
): UnknownBegins {
  const awaitsReports = nowMs <= state.createdMs + FIRST_REPORT_MS;
  const { vms, acceptedUntilMs } = states.findUnrecordedStarts(state, nowMs);
  return {
    awaitsReports,
    unrecorded:
      awaitsReports && state.inheritedUnrecordedStarts
        ? [...state.vms.values()].filter((vm) => !hasReported(vm))
        : vms,
    acceptedUntilMs,
  };
}

function canHaveBegunUnrecorded(
  job: tables.JobRow,
  { unrecorded, acceptedUntilMs }: UnknownBegins,
): boolean {
  return (
    job.acceptedMs <= acceptedUntilMs &&
    unrecorded.some(
      ({ pool }) => pool === undefined || pool === job.policy.pool,
    )
  );
}

/** Records that an inherited run is over although its VM hasn't reported, which may still say that it began. */
export function recordUnheard(run: tables.RunRow): void {
  if (!hasReported(run.vm)) run.task.step.occurrence.job.unheardVms.add(run.vm);
}

function hasReported(vm: tables.VmRow): boolean {
  return vm.hasListedAll;
}

/**
 * Returns whether this owner can't know if a job has begun: an earlier owner may have
 * started it, with or without a record, on a VM that hasn't reported to this one, or a
 * start of this owner has had no answer for long. Once that VM is lost or the timeout has
 * passed, nobody can tell, and the job counts as waiting.
 */
export function isUnresolved(
  job: tables.JobRow,
  unknown: UnknownBegins,
  nowMs: number,
): boolean {
  if (job.hasBegun) return false;
  return (
    canHaveBegunUnrecorded(job, unknown) ||
    listRuns(job).some(tables.isInherited) ||
    (unknown.awaitsReports &&
      [...job.unheardVms].some((vm) => !hasReported(vm))) ||
    measureSentAge(job, nowMs) > MAX_SENT_AGE_MS
  );
}

function listRuns(job: tables.JobRow): readonly tables.RunRow[] {
  if (job.activeRuns === 0) return [];
  return job.occurrences.flatMap(({ steps }) =>
    steps.flatMap(({ tasks }) =>
      tasks.flatMap(({ run }) => (run === undefined ? [] : [run])),
    ),
  );
}

/** Returns the age of the oldest start of an unstarted job that its VM may have carried out, in ms; 0 without one. */
function measureSentAge(job: tables.JobRow, nowMs: number): number {
  const sent = listRuns(job).filter(
    ({ phase, startedEarlier, closedMs }) =>
      phase !== 'recording' &&
      // The first report without a run of an earlier owner counts as its answer.
      !(startedEarlier && closedMs !== undefined),
  );
  return Math.max(0, ...sent.map(({ addedMs }) => nowMs - addedMs));
}

/** Counts the unstarted jobs of each queue; scheduled jobs don't count. */
export function countUnstarted(
  state: states.State,
  nowMs: number,
): ReadonlyMap<types.QueueName, UnstartedJobs> {
  const unknown = findUnknownBegins(state, nowMs);
  const counts = new Map<types.QueueName, UnstartedJobs>();
  for (const job of state.jobs.values()) {
    if (job.hasBegun || states.isJobOver(job) || job.job.schedule !== undefined)
      continue;
    const { queue } = job.job;
    const count = counts.get(queue) ?? NONE;
    counts.set(
      queue,
      isUnresolved(job, unknown, nowMs)
        ? { ...count, unresolved: count.unresolved + 1 }
        : {
            ...count,
            waiting: count.waiting + 1,
            sentAgeMs: Math.max(count.sentAgeMs, measureSentAge(job, nowMs)),
          },
    );
  }
  return counts;
}

/** Returns whether a start of a job was decided that no VM has confirmed. */
function isUnconfirmed(job: tables.JobRow): boolean {
  return !job.hasBegun && job.startDecidedMs !== undefined;
}

/** Measures, for each queue with such jobs, the jobs whose decided start no VM has confirmed. */
export function measureStarts(
  state: states.State,
  nowMs: number,
): readonly StartSummary[] {
  const counts = countUnstarted(state, nowMs);
  const summaries = new Map<types.QueueName, StartSummary>();
  for (const job of state.jobs.values()) {
    if (job.job.schedule !== undefined || states.isJobOver(job)) continue;
    if (!isUnconfirmed(job)) continue;
    const { queue } = job.job;
    const previous = summaries.get(queue);
    const { waiting, unresolved } = counts.get(queue) ?? NONE;
    summaries.set(queue, {
      queue,
      waiting,
      unresolved,
      unconfirmed: (previous?.unconfirmed ?? 0) + 1,
      oldestMs: Math.max(
        previous?.oldestMs ?? 0,
        nowMs - (job.startDecidedMs ?? nowMs),
      ),
    });
  }
  return [...summaries.values()];
}
