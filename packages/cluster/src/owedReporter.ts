/**
 * Reports the work that an owner owes: tasks that should run and don't, with what each
 * waits for and since when, accepted jobs that the scheduler doesn't know, ended runs of
 * service tasks, runs that count as over without a report of their end, and ends of runs
 * whose task has run again. It only logs and counts. The lines of a round are bounded,
 * because in an overload thousands of tasks are past their objective.
 */
import * as core from '@flamingoward/core';
import type * as observability from '@flamingoward/observability';
import type * as contexts from './context.js';
import type * as jobStores from './jobStore.js';

/** Time between rounds, in ms. */
const ROUND_INTERVAL_MS = 1_000;
/** Time after which an unchanged wait is logged again, in ms. */
const REPEAT_AFTER_MS = 5_000;
/** Maximum number of tasks, and of jobs, that one round logs. */
const MAX_LINES_PER_ROUND = 10;
/** Maximum number of late ends that are logged from one round to the next. */
const MAX_LATE_ENDS_PER_ROUND = 50;
/** Maximum number of VMs, runs or steps that one line names. */
const MAX_NAMES_PER_LINE = 5;
/** Gauge of the longest time for which a service task is owed. */
const OLDEST_SERVICE_GAUGE = 'tasks_owed_oldest_service_ms';

/** What the reporter reads from its owner. */
export interface OwedSources {
  readonly fence: number;
  readonly findOwed: () => readonly core.workloads.OwedTask[];
  readonly listJobs: () => Iterable<jobStores.StoredJob>;
  /** Returns whether the scheduler knows a job. */
  readonly hasJob: (id: core.ids.JobId) => boolean;
}

/** The reporter of an owner. */
export interface OwedReporter {
  /** Begins the rounds; called once the owner has restored all jobs. */
  start(): void;
  logEnds(ended: readonly core.workloads.EndedRun[]): void;
  logLateEnds(ends: readonly core.workloads.LateEnd[]): void;
  close(): void;
}

/** Last line about a task or job. */
interface LoggedLine {
  readonly why: string;
  readonly atMs: number;
}

/** Creates a reporter. */
export function createOwedReporter(
  context: contexts.NodeContext,
  sources: OwedSources,
): OwedReporter {
  const { timers, log, metrics } = context;
  const { fence } = sources;
  let loggedTasks: ReadonlyMap<string, LoggedLine> = new Map();
  let loggedJobs: ReadonlyMap<string, LoggedLine> = new Map();
  let summaryAtMs = -Infinity;
  let lateEndLines = 0;
  const reasons = new Set<string>();
  let roundTimer: core.TimerSubscription | undefined;

  function runRound(): void {
    const startedMs = timers.getNow();
    lateEndLines = 0;
    reportTasks(sources.findOwed(), startedMs);
    reportMissingJobs(startedMs);
    metrics.record('owed_round', {}, timers.getNow() - startedMs);
  }

  function reportTasks(
    found: readonly core.workloads.OwedTask[],
    nowMs: number,
  ): void {
    const logged = new Map<string, LoggedLine>();
    const counts = new Map<string, number>();
    let lines = 0;
    let skipped = 0;
    for (const owed of found) {
      const { why } = owed.cause;
      counts.set(why, (counts.get(why) ?? 0) + 1);
      const task = core.workloads.formatTask(owed.task);
      const previous = loggedTasks.get(task);
      if (previous !== undefined && isFresh(previous, why, nowMs))
        logged.set(task, previous);
      else if (lines < MAX_LINES_PER_ROUND) {
        lines += 1;
        logged.set(task, { why, atMs: nowMs });
        const isUrgent = owed.lasts || owed.gang || why === 'inconsistent';
        log.write(isUrgent ? 'warn' : 'info', 'task.owed', {
          task,
          fence,
          why,
          sinceMs: Math.round(nowMs - owed.sinceMs),
          lasts: owed.lasts,
          ...describeCause(owed.cause, nowMs),
        });
      } else skipped += 1;
    }
    loggedTasks = logged;
    setGauges(found, counts, nowMs);
    if (skipped === 0 || nowMs - summaryAtMs < REPEAT_AFTER_MS) return;
    summaryAtMs = nowMs;
    log.write('info', 'task.owed-more', {
      fence,
      owed: found.length,
      skipped,
      ...Object.fromEntries(counts),
    });
  }

  function setGauges(
    found: readonly core.workloads.OwedTask[],
    counts: ReadonlyMap<string, number>,
    nowMs: number,
  ): void {
    for (const why of counts.keys()) reasons.add(why);
    for (const why of reasons)
      metrics.set('tasks_owed', { why }, counts.get(why) ?? 0);
    let oldestServiceMs = nowMs;
    for (const { lasts, sinceMs } of found)
      if (lasts) oldestServiceMs = Math.min(oldestServiceMs, sinceMs);
    metrics.set(OLDEST_SERVICE_GAUGE, {}, Math.round(nowMs - oldestServiceMs));
  }

  /** Logs accepted jobs of the store that haven't ended and that the scheduler doesn't know. */
  function reportMissingJobs(nowMs: number): void {
    const logged = new Map<string, LoggedLine>();
    let missing = 0;
    let lines = 0;
    for (const { id, job, cancelled, final } of sources.listJobs()) {
      if (job === undefined || cancelled || final !== undefined) continue;
      if (sources.hasJob(id)) continue;
      missing += 1;
      const previous = loggedJobs.get(id);
      if (previous !== undefined && isFresh(previous, '', nowMs))
        logged.set(id, previous);
      else if (lines < MAX_LINES_PER_ROUND) {
        lines += 1;
        logged.set(id, { why: '', atMs: nowMs });
        log.write('error', 'job.missing', {
          job: id,
          fence,
          queue: job.queue,
          ageMs: Math.round(timers.getDate() - job.acceptedAtMs),
        });
      }
    }
    loggedJobs = logged;
    metrics.set('jobs_missing', {}, missing);
  }

  return {
    start() {
      roundTimer ??= timers.subscribe(
        { name: 'owner.owed', delayMs: ROUND_INTERVAL_MS, repeat: 'periodic' },
        runRound,
      );
    },
    logEnds(ended) {
      for (const { task, run, vm, how, lasts, removal } of ended) {
        const fields = {
          task: core.workloads.formatTask(task),
          run,
          vm,
          fence,
          how,
        };
        if (lasts) log.write('info', 'task.ended', fields);
        if (removal !== undefined && !isRefusedStart(removal))
          log.write('info', 'run.removed', {
            ...fields,
            ...describeRemoval(removal),
          });
      }
    },
    logLateEnds(ends) {
      for (const end of ends) {
        if (lateEndLines === MAX_LATE_ENDS_PER_ROUND) return;
        lateEndLines += 1;
        log.write('warn', 'run.ended-elsewhere', {
          task: core.workloads.formatTask(end.task),
          run: end.run,
          vm: end.vm,
          fence,
          how: end.how,
          removed: end.removal?.how,
          evidence: end.removal?.evidence,
          removedAgeMs: formatTime(end.removalAgeMs),
          taskState: end.taskState,
          latestRun: end.latestRun,
          heldRun: end.held?.run,
          heldVm: end.held?.vm,
          heldPhase: end.held?.phase,
        });
      }
    },
    close() {
      roundTimer?.end();
      // Another process owns the cluster now, and reports what is owed from there.
      for (const why of reasons) metrics.set('tasks_owed', { why }, 0);
      metrics.set(OLDEST_SERVICE_GAUGE, {}, 0);
      metrics.set('jobs_missing', {}, 0);
    },
  };
}

function isFresh(line: LoggedLine, why: string, nowMs: number): boolean {
  return line.why === why && nowMs - line.atMs < REPEAT_AFTER_MS;
}

/** Returns whether a run was removed with the answer to its start, whose `task.start` line says the same. */
function isRefusedStart({ evidence, phase }: core.workloads.Removal): boolean {
  return evidence === 'start-outcome' && phase === 'sent';
}

function describeRemoval(
  removal: core.workloads.Removal,
): observability.LogFields {
  return {
    evidence: removal.evidence,
    phase: removal.phase,
    incarnation: removal.incarnation,
    heldMs: Math.round(removal.heldMs),
    listedAgeMs: formatTime(removal.listedAgeMs),
    confirmedAgeMs: formatTime(removal.confirmedAgeMs),
    reportAgeMs: formatTime(removal.reportAgeMs),
  };
}

function formatTime(ms: number | undefined): number | undefined {
  return ms === undefined ? undefined : Math.round(ms);
}

/** Describes what decides a cause. */
function describeCause(
  cause: core.workloads.OwedCause,
  nowMs: number,
): observability.LogFields {
  switch (cause.why) {
    case 'vm-silent':
      return {
        ...cause.run,
        silentMs:
          cause.silentSinceMs === undefined
            ? 'always'
            : Math.round(nowMs - cause.silentSinceMs),
      };
    case 'inherited':
      return { ...cause.run, leftMs: Math.round(cause.untilMs - nowMs) };
    case 'start-recording':
    case 'start-sent':
      return { ...cause.run };
    case 'stopping':
      return {
        ...cause.run,
        stoppingMs: Math.round(nowMs - cause.stoppingSinceMs),
        stopsSent: cause.stopsSent,
        confirmed: cause.confirmed,
      };
    case 'stray-run':
      return { vms: formatNames(cause.vms) };
    case 'gang-ending':
      return {
        runs: formatNames(
          cause.runs.map(({ run, vm, phase }) => `${run}@${vm}:${phase}`),
        ),
      };
    case 'reports-awaited':
      return {
        silent: cause.vms.length,
        vms: formatNames(cause.vms),
        leftMs: Math.round(cause.untilMs - nowMs),
      };
    case 'no-vm':
    case 'no-room':
    case 'no-room-for-gang':
    case 'room-reserved':
    case 'advice-not-requested':
    case 'advice-pending':
    case 'no-advice-slot':
    case 'no-approved-room':
    case 'ticket-expired':
    case 'trial':
    case 'not-placed':
      return {
        ...cause.pool,
        reservedFor: formatNames(
          cause.reservedFor.map(core.workloads.formatStep),
        ),
        adviceLeftMs:
          cause.adviceUntilMs === undefined
            ? undefined
            : Math.round(cause.adviceUntilMs - nowMs),
        ...(cause.workspace && describeWorkspace(cause.workspace)),
      };
    case 'workspace-limit':
      return {
        workspace: cause.use.name,
        used: formatAmount(cause.use.used),
        unrecorded: formatAmount(cause.use.unrecorded),
        limit: formatAmount(cause.use.limit),
      };
    case 'not-examined':
      return {};
    case 'inconsistent':
      return { what: cause.what, vm: cause.vm };
  }
}

/** Describes what a workspace adds to the order of a step; shares in percent of the pool. */
function describeWorkspace({
  name,
  isExcess,
  share,
}: core.workloads.WorkspaceView): observability.LogFields {
  return {
    workspace: name,
    excess: isExcess,
    sharePercent: share && Math.round(share.used * 100),
    entitledPercent: share && Math.round(share.entitled * 100),
  };
}

/** Formats an amount of resources as cores, memory in MB and GPUs; a resource without a limit as `none`. */
function formatAmount(amount: core.resources.Resources): string {
  return core.resources.resourceNames
    .map((name) =>
      Number.isFinite(amount[name])
        ? `${name}:${Math.round(amount[name] * 1_000) / 1_000}`
        : `${name}:none`,
    )
    .join('+');
}

/** Formats names for a line; undefined when there are none. */
function formatNames(names: readonly string[]): string | undefined {
  if (names.length === 0) return undefined;
  const shown = names.slice(0, MAX_NAMES_PER_LINE).join('+');
  const left = names.length - MAX_NAMES_PER_LINE;
  return left > 0 ? `${shown}+${left}-more` : shown;
}
