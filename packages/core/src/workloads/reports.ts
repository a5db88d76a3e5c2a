/**
 * Updates the tables from the reports of VMs and their answers to commands. A report
 * lists all runs of its VM at the time it was made, unless the VM has more ends than it
 * lists at a time. A run that is being stopped may be in neither list, so a run that a
 * whole report doesn't list is over only if it had been over or being stopped for as long
 * as a stop takes when the report was requested.
 */
import type * as ids from '../types/ids.js';
import * as advice from './advice.js';
import * as begins from './begins.js';
import * as blame from './blame.js';
import * as crashes from './crashes.js';
import * as ends from './ends.js';
import type * as removals from './removals.js';
import * as runTimes from './runTimes.js';
import * as resizing from './resizing.js';
import * as speeds from './speed.js';
import * as states from './state.js';
import * as strays from './strays.js';
import * as tables from './tables.js';
import type * as types from './types.js';

/** Time after which an unanswered stop command is sent again, in ms. */
const STOP_RETRY_MS = 700;
/**
 * Most stray runs that are stopped after one report; the others follow after the next ones.
 * A list may have thousands of them, and each order takes time of the owner.
 */
const MAX_STRAY_STOPS = 100;

/** What a report has listed so far. */
interface Listing {
  readonly runs: Set<tables.RunRow>;
  strayStops: number;
}

/** Applies the report of a VM; returns whether it changes what can start. */
export function applyReport(
  state: states.State,
  id: ids.VmId,
  report: types.VmReport,
  nowMs: number,
): boolean {
  const vm = states.ensureVm(state, id, nowMs);
  const before = {
    usable: vm.usable,
    incarnation: vm.incarnation,
    appliedEnd: vm.appliedEnd,
    strayRuns: vm.strayRuns.size,
    runs: vm.runs.size,
    hasListedAll: vm.hasListedAll,
  };
  if (report.incarnation !== undefined) {
    // Ignore a delayed report of an earlier incarnation.
    if (vm.incarnation !== undefined && report.incarnation < vm.incarnation)
      return false;
    beginIncarnation(state, vm, report.incarnation, nowMs);
  }
  if (vm.knownEmpty) blame.removeMarks(state, vm);
  vm.usable = true;
  vm.reportedMs = nowMs;
  vm.answeredMs = nowMs;
  vm.knownEmpty = false;
  applyEnds(state, vm, report, nowMs);
  const listing: Listing = { runs: new Set(), strayStops: 0 };
  const logSpeed = speeds.estimateLastingLog(state, vm, nowMs);
  for (const entry of report.running)
    applyRunning(state, vm, entry, logSpeed, listing, nowMs);
  strays.removeEnded(state, vm, report, nowMs);
  const unlisted = [...vm.runs].filter((run) => !listing.runs.has(run));
  const isWhole = report.mayHaveMoreEnds !== true;
  if (isWhole) vm.hasListedAll = true;
  // A run whose end isn't listed yet shows no progress, but doesn't stand still.
  else for (const run of unlisted) run.progressChangedMs = nowMs;
  const over = unlisted.filter(
    (run) => isWhole && isRunOver(state, run, report),
  );
  for (const run of over)
    loseRun(state, run, 'not-reported', nowMs, {
      evidence: crashes.isOfEarlierIncarnation(run)
        ? 'restarted'
        : 'whole-report',
      reportAgeMs: nowMs - report.requestSentMs,
    });
  if (isWhole)
    for (const run of unlisted)
      if (vm.runs.has(run)) closeUnlisted(state, run, report, nowMs);
  crashes.recordCrash(
    state,
    vm,
    [...crashes.takeSilentRuns(vm), ...over].filter(
      crashes.isOfEarlierIncarnation,
    ),
    'restarted',
    nowMs,
  );
  return (
    !before.usable ||
    vm.incarnation !== before.incarnation ||
    vm.appliedEnd !== before.appliedEnd ||
    vm.strayRuns.size !== before.strayRuns ||
    vm.runs.size !== before.runs ||
    vm.hasListedAll !== before.hasListedAll
  );
}

/**
 * Resets a VM for a new incarnation. Runs of the old one aren't reported any more. A
 * start that was sent meanwhile may still reach the new one, so all stops in progress
 * are sent again.
 */
function beginIncarnation(
  state: states.State,
  vm: tables.VmRow,
  incarnation: types.VmIncarnation,
  nowMs: number,
): void {
  if (vm.incarnation === incarnation) return;
  vm.incarnation = incarnation;
  vm.incarnationKey = tables.formatIncarnationKey(vm.id, incarnation);
  vm.appliedEnd = 0;
  vm.durableEnd = 0;
  vm.recentFailures = 0;
  vm.avoidUntilMs = 0;
  strays.clearStrays(vm);
  resizing.cancelUnfitStarts(state, vm, nowMs);
  for (const run of vm.runs) {
    run.closedMs = undefined;
    if (run.phase !== 'stopping') continue;
    run.confirmedMs = undefined;
    states.sendStop(state, run, 'new-life', nowMs);
  }
}

/**
 * Removes all runs of a VM that can't run anything any more. Without evidence of a crash,
 * only its lease has expired.
 */
export function loseRuns(
  state: states.State,
  vm: tables.VmRow,
  evidence: states.CrashEvidence | undefined,
  nowMs: number,
): void {
  strays.clearStrays(vm);
  const over = [...vm.runs];
  // A VM that another one has replaced can't tell any more which runs began.
  if (evidence !== 'replaced') over.forEach(begins.recordUnheard);
  const grounds = { evidence: evidence ?? 'lease-expired' } as const;
  for (const run of over) loseRun(state, run, 'lost', nowMs, grounds);
  if (evidence === undefined) crashes.addSilentRuns(vm, over);
  else crashes.recordLoss(state, vm, over, evidence, nowMs);
}

function loseRun(
  state: states.State,
  run: tables.RunRow,
  how: states.RunRemoval,
  nowMs: number,
  grounds: removals.RemovalGrounds,
): void {
  if (run.phase !== 'stopping') states.countEvent(state, 'run.lost');
  states.removeRun(state, run, how, nowMs, grounds);
  if (run.task.step.spec.gang) ends.stopGang(state, run.task.step, nowMs);
}

function applyEnds(
  state: states.State,
  vm: tables.VmRow,
  report: types.VmReport,
  nowMs: number,
): void {
  for (const end of report.ended) {
    if (end.number <= vm.appliedEnd) continue;
    vm.appliedEnd = end.number;
    ends.applyEnd(state, vm, end, nowMs);
  }
}

function applyRunning(
  state: states.State,
  vm: tables.VmRow,
  entry: types.ReportedRun,
  logSpeed: number,
  listing: Listing,
  nowMs: number,
): void {
  begins.recordBegin(state, entry.task.job);
  const task = states.findTask(state, entry.task);
  const own = [...vm.runs].find(
    (run) => run.task === task && run.number === entry.run,
  );
  const run = own ?? adoptRun(state, vm, task, entry, listing, nowMs);
  if (run === undefined) return;
  listing.runs.add(run);
  run.listedMs = nowMs;
  run.incarnation = vm.incarnation;
  if (run.phase === 'stopping') return;
  run.phase = 'running';
  run.confirmedMs ??= nowMs;
  run.runningSinceMs ??= nowMs;
  blame.confirmRun(state, run);
  blame.settleRun(state, run, nowMs);
  if (entry.percent !== run.percent) {
    run.percent = entry.percent;
    run.progressChangedMs = nowMs;
  }
  run.load = entry.load;
  runTimes.observeProgress(state.runTimes, run, logSpeed, nowMs);
  speeds.measureSpeed(state, run, logSpeed, nowMs);
  if (entry.saved !== '' && task?.step.spec.savesProgress === true)
    task.saved = entry.saved;
}

/** Adds a reported run that isn't in the tables if its task needs it; otherwise stops it as a stray run. */
function adoptRun(
  state: states.State,
  vm: tables.VmRow,
  task: tables.TaskRow | undefined,
  entry: types.ReportedRun,
  listing: Listing,
  nowMs: number,
): tables.RunRow | undefined {
  // The previous owner started this run without a record after the recorded run had ended.
  if (task?.run?.phase === 'inherited' && task.run.number < entry.run)
    states.removeRun(state, task.run, 'superseded', nowMs, {
      evidence: 'later-run',
    });
  const canAdopt =
    task?.state === 'waiting' &&
    task.strayRunVms.size === 0 &&
    !states.isJobOver(task.step.occurrence.job) &&
    (!task.step.spec.gang ||
      task.step.gangRun === 0 ||
      task.step.gangRun === entry.run);
  if (task !== undefined && canAdopt) {
    states.countEvent(state, 'run.adopted');
    state.unrecordedStartsBatch = state.nextBatch;
    if (task.step.spec.gang) task.step.gangRun = entry.run;
    state.dirty.add(task.step.occurrence.job);
    return states.addRun(
      task,
      vm,
      { number: entry.run, phase: 'running' },
      nowMs,
    );
  }
  strays.addStray(vm, entry, task);
  if (listing.strayStops >= MAX_STRAY_STOPS) return undefined;
  listing.strayStops += 1;
  states.countEvent(state, 'stop.not-wanted');
  state.commands.push({
    command: 'stop',
    vm: vm.id,
    task: entry.task,
    run: entry.run,
    why: 'not-wanted',
  });
  return undefined;
}

/** Notes that a run is over or being stopped, as far as a whole report without it shows that. */
function closeUnlisted(
  state: states.State,
  run: tables.RunRow,
  { requestSentMs, clockMs }: types.VmReport,
  nowMs: number,
): void {
  const isSince = (atMs: number | undefined): boolean =>
    atMs !== undefined && requestSentMs > atMs;
  switch (run.phase) {
    case 'recording':
    case 'sent':
      return;
    case 'running':
      if (isSince(run.confirmedMs)) stopUnlisted(state, run, nowMs);
      return;
    case 'inherited':
      stopUnlisted(state, run, nowMs);
      return;
    case 'unknown':
    case 'stopping': {
      const isStartRefused =
        // The VM has seen this owner's fence and rejects delayed commands of the previous owner.
        run.startedEarlier ||
        (run.startUntilMs !== undefined &&
          clockMs !== undefined &&
          clockMs > run.startUntilMs);
      if (isStartRefused || isSince(run.runningSinceMs)) run.closedMs ??= nowMs;
    }
  }
}

/** Stops a run that its VM doesn't list. A late order of this owner or an earlier one may be stopping it already. */
function stopUnlisted(
  state: states.State,
  run: tables.RunRow,
  nowMs: number,
): void {
  states.stopRun(state, run, 'not-listed', nowMs);
  run.closedMs = nowMs;
  if (run.task.step.spec.gang) ends.stopGang(state, run.task.step, nowMs);
}

function isRunOver(
  state: states.State,
  run: tables.RunRow,
  report: types.VmReport,
): boolean {
  switch (run.phase) {
    case 'recording':
    case 'sent':
      return false;
    case 'running':
    case 'unknown':
    case 'stopping':
    case 'inherited':
      return (
        hasEndedWithIncarnation(run, report) ||
        states.isStopOver(state, run.closedMs, report.requestSentMs)
      );
  }
}

/** Returns whether a run began in an earlier incarnation of its VM, so that a start on its way can't reach the one that reports. */
function hasEndedWithIncarnation(
  run: tables.RunRow,
  { requestSentMs }: types.VmReport,
): boolean {
  if (!crashes.isOfEarlierIncarnation(run)) return false;
  if (run.startedEarlier || run.listedMs !== undefined) return true;
  return (
    run.phase === 'running' &&
    run.confirmedMs !== undefined &&
    requestSentMs > run.confirmedMs
  );
}

/** Applies the outcome of a start command. */
export function applyStart(
  state: states.State,
  run: tables.RunRow,
  outcome: types.StartOutcome,
  nowMs: number,
): void {
  states.countEvent(state, `start.${outcome}`);
  if (!run.vm.runs.has(run)) return;
  switch (outcome) {
    case 'started':
      if (run.phase === 'sent') {
        run.phase = 'running';
        run.runningSinceMs = nowMs;
        run.progressChangedMs = nowMs;
        run.confirmedMs = nowMs;
        run.vm.answeredMs = nowMs;
        blame.confirmRun(state, run);
      }
      return;
    case 'old':
    case 'late':
    case 'no-room':
    case 'ticket':
    case 'malformed':
    case 'unhealthy':
    case 'unreachable':
    case 'other-life':
    case 'fenced':
      if (run.phase !== 'sent' && run.phase !== 'stopping') return;
      dropStart(state, run, outcome, nowMs);
      return;
    case 'unknown':
      if (run.phase !== 'sent') return;
      run.phase = 'unknown';
      run.vm.avoidUntilMs = Math.max(
        run.vm.avoidUntilMs,
        nowMs + REFUSAL_BACKOFF_MS,
      );
      states.stopRun(state, run, 'no-answer', nowMs);
      if (run.task.step.spec.gang) ends.stopGang(state, run.task.step, nowMs);
  }
}

/** Time for which a VM gets no new runs after it refused a start or was unreachable, in ms. */
const REFUSAL_BACKOFF_MS = 1_000;

function dropStart(
  state: states.State,
  run: tables.RunRow,
  outcome: types.StartOutcome,
  nowMs: number,
): void {
  const { vm, task } = run;
  states.removeRun(state, run, outcome, nowMs, { evidence: 'start-outcome' });
  if (task.step.spec.gang) ends.stopGang(state, task.step, nowMs);
  if (outcome === 'ticket') advice.expireTicket(task.step, vm);
  if (
    outcome === 'unhealthy' ||
    outcome === 'unreachable' ||
    outcome === 'no-room'
  )
    vm.avoidUntilMs = Math.max(vm.avoidUntilMs, nowMs + REFUSAL_BACKOFF_MS);
  // A malformed start is refused on every attempt, so the VM is avoided as after a failed run.
  if (outcome === 'malformed') task.avoidedVms.add(vm.id);
}

/** Applies the outcome of a stop command. */
export function applyStop(
  state: states.State,
  run: tables.RunRow,
  answered: boolean,
  nowMs: number,
): void {
  if (run.phase !== 'stopping') return;
  if (!answered) return;
  run.confirmedMs = nowMs;
  // The VM refuses a start of the run from now on, and reports no end if the run never began there.
  run.closedMs ??= nowMs;
}

/**
 * Retries unanswered stops, and removes the runs of a previous owner whose VM hasn't
 * reported within the timeout, also those that are being stopped.
 */
export function expireRuns(state: states.State, nowMs: number): void {
  const isTimeoutOver = nowMs > state.inheritedUntilMs;
  for (const vm of state.vms.values())
    for (const run of vm.runs) {
      // A VM that answers has had its lease renewed, so the ends that it hasn't listed still count.
      const isUnheard = tables.isInherited(run) && vm.reportedMs === undefined;
      if (isTimeoutOver && isUnheard) {
        crashes.addSilentRuns(vm, [run]);
        begins.recordUnheard(run);
        loseRun(state, run, 'inherited-timeout', nowMs, {
          evidence: 'no-report',
        });
        continue;
      }
      if (run.phase !== 'stopping' || run.confirmedMs !== undefined) continue;
      if (!vm.usable) continue;
      if (nowMs - (run.stopSentMs ?? 0) > STOP_RETRY_MS)
        states.sendStop(state, run, 'again', nowMs);
    }
}

/** Requests a report from each VM as soon as it can show that runs without a listed end are over. */
export function pollUnlisted(state: states.State, nowMs: number): void {
  for (const vm of state.vms.values()) {
    if (!vm.usable || !isPollDue(state, vm, nowMs)) continue;
    vm.endsPolledMs = nowMs;
    state.commands.push({ command: 'poll', vm: vm.id });
  }
}

function isPollDue(
  state: states.State,
  vm: tables.VmRow,
  nowMs: number,
): boolean {
  const isDue = (closedMs: number | undefined): boolean =>
    states.isStopOver(state, closedMs, nowMs) &&
    !states.isStopOver(state, closedMs, vm.endsPolledMs);
  for (const { closedMs } of vm.runs) if (isDue(closedMs)) return true;
  for (const { closedMs } of vm.strayRuns.values())
    if (isDue(closedMs)) return true;
  return false;
}

/** Returns whether a VM that hasn't reported may have runs that a previous owner started without a record. */
export function isAwaitingUnrecorded(
  state: states.State,
  nowMs: number,
): boolean {
  const { vms, awaitsEntries } = states.findUnrecordedStarts(state, nowMs);
  return awaitsEntries || vms.length > 0;
}

/** Lists the VMs with runs of a previous owner that haven't reported to this one. */
export function listInheritedVms(state: states.State): readonly ids.VmId[] {
  return [...state.vms.values()]
    .filter((vm) => vm.reportedMs === undefined && vm.runs.size > 0)
    .map(({ id }) => id);
}
