/**
 * Brings the tables in line with what a VM reports. A report tells the whole truth
 * about its VM at the time it was made; a run that it doesn't list is over only if
 * the question was asked after the run's order had been answered.
 */
import type * as ids from '../types/ids.js';
import * as advice from './advice.js';
import * as ends from './ends.js';
import * as speeds from './speed.js';
import * as states from './state.js';
import * as tables from './tables.js';
import type * as types from './types.js';

/** Time after which an unanswered stop is sent again, in ms. */
const STOP_AGAIN_MS = 700;

/** Applies a report. */
export function applyReport(
  state: states.State,
  id: ids.VmId,
  report: types.VmReport,
  nowMs: number,
): void {
  const vm = states.ensureVm(state, id, nowMs);
  if (report.life !== undefined) {
    // A report of an earlier life that arrives late says nothing of this one.
    if (vm.life !== undefined && report.life < vm.life) return;
    beginLife(state, vm, report.life, nowMs);
  }
  vm.usable = true;
  applyEnds(state, vm, report, nowMs);
  const listed = new Set<tables.RunRow>();
  clearStrangers(vm);
  for (const entry of report.running)
    applyRunning(state, vm, entry, listed, nowMs);
  for (const run of [...vm.runs])
    if (!listed.has(run) && isOver(run, report.askedMs))
      loseRun(state, run, nowMs);
}

/**
 * Starts a new life of a VM. What ran in the old one isn't listed any more; an order
 * that was sent meanwhile may still reach the new one, so unsettled stops go out again.
 */
function beginLife(
  state: states.State,
  vm: tables.VmRow,
  life: types.VmLife,
  nowMs: number,
): void {
  if (vm.life === life) return;
  vm.life = life;
  vm.lifeKey = tables.formatLifeKey(vm.id, life);
  vm.appliedEnd = 0;
  vm.durableEnd = 0;
  vm.recentFailures = 0;
  vm.avoidUntilMs = 0;
  for (const run of vm.runs) {
    if (run.phase !== 'stopping') continue;
    run.settledMs = undefined;
    states.sendStop(state, run, 'new-life', nowMs);
  }
}

/** Removes all runs of a VM that is known to run nothing more. */
export function loseRuns(
  state: states.State,
  vm: tables.VmRow,
  nowMs: number,
): void {
  clearStrangers(vm);
  for (const run of [...vm.runs]) loseRun(state, run, nowMs);
}

function loseRun(state: states.State, run: tables.RunRow, nowMs: number): void {
  if (run.phase !== 'stopping') states.countEvent(state, 'run.lost');
  states.removeRun(state, run);
  if (run.task.step.spec.gang) ends.clearGang(state, run.task.step, nowMs);
}

function clearStrangers(vm: tables.VmRow): void {
  vm.strangers = 0;
  for (const task of vm.strangerTasks) task.elsewhere.delete(vm);
  vm.strangerTasks.clear();
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
  entry: types.ListedRun,
  listed: Set<tables.RunRow>,
  nowMs: number,
): void {
  const task = states.findTask(state, entry.task);
  const own = [...vm.runs].find(
    (run) => run.task === task && run.number === entry.run,
  );
  const run = own ?? adoptRun(state, vm, task, entry, nowMs);
  if (run === undefined) return;
  listed.add(run);
  if (run.phase === 'stopping') return;
  if (run.phase !== 'running') {
    run.phase = 'running';
    run.settledMs = nowMs;
  }
  run.runningSinceMs ??= nowMs;
  if (entry.percent !== run.percent) {
    run.percent = entry.percent;
    run.movedMs = nowMs;
  }
  run.load = entry.load;
  speeds.measureSpeed(run, nowMs);
  if (entry.saved !== '' && task?.step.spec.savesProgress === true)
    task.saved = entry.saved;
}

/** Takes over a run that isn't in the tables, or stops it if it has no place there. */
function adoptRun(
  state: states.State,
  vm: tables.VmRow,
  task: tables.TaskRow | undefined,
  entry: types.ListedRun,
  nowMs: number,
): tables.RunRow | undefined {
  // A previous owner started this run without a record, after the recorded one had ended.
  if (task?.run?.phase === 'inherited' && task.run.number < entry.run)
    states.removeRun(state, task.run);
  const wanted =
    task?.state === 'waiting' &&
    task.elsewhere.size === 0 &&
    !states.isJobOver(task.step.occurrence.job) &&
    (!task.step.spec.gang ||
      task.step.gangRun === 0 ||
      task.step.gangRun === entry.run);
  if (task !== undefined && wanted) {
    states.countEvent(state, 'run.adopted');
    if (task.step.spec.gang) task.step.gangRun = entry.run;
    state.dirty.add(task.step.occurrence.job);
    return states.addRun(
      task,
      vm,
      { number: entry.run, phase: 'running' },
      nowMs,
    );
  }
  // Its size may be unknown, so nothing else is placed there until it has ended.
  vm.strangers += 1;
  if (task !== undefined) {
    task.elsewhere.add(vm);
    vm.strangerTasks.add(task);
  }
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

function isOver(run: tables.RunRow, askedMs: number): boolean {
  switch (run.phase) {
    case 'recording':
    case 'sent':
      return false;
    case 'inherited':
      // The fence of this owner shuts out late orders of the previous one.
      return true;
    case 'running':
    case 'unknown':
    case 'stopping':
      return run.settledMs !== undefined && askedMs > run.settledMs;
  }
}

/** Applies the answer to a start. */
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
        run.movedMs = nowMs;
        run.settledMs = nowMs;
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
        nowMs + AVOID_REFUSING_MS,
      );
      states.stopRun(state, run, 'no-answer', nowMs);
      if (run.task.step.spec.gang) ends.clearGang(state, run.task.step, nowMs);
  }
}

/** Time for which a VM that refused or couldn't be reached gets no new work, in ms. */
const AVOID_REFUSING_MS = 1_000;

function dropStart(
  state: states.State,
  run: tables.RunRow,
  outcome: types.StartOutcome,
  nowMs: number,
): void {
  const { vm, task } = run;
  states.removeRun(state, run);
  if (task.step.spec.gang) ends.clearGang(state, task.step, nowMs);
  if (outcome === 'ticket') advice.expireTicket(task.step, vm);
  if (
    outcome === 'unhealthy' ||
    outcome === 'unreachable' ||
    outcome === 'no-room'
  )
    vm.avoidUntilMs = Math.max(vm.avoidUntilMs, nowMs + AVOID_REFUSING_MS);
  // A malformed start would be refused everywhere and for ever.
  if (outcome === 'malformed') task.avoided.add(vm.id);
}

/** Applies the answer to a stop. */
export function applyStop(
  state: states.State,
  run: tables.RunRow,
  answered: boolean,
  nowMs: number,
): void {
  if (run.phase !== 'stopping') return;
  if (!answered) return;
  run.settledMs = nowMs;
  // A run that never was there has no end that the VM could list: only a report tells.
  if (run.runningSinceMs === undefined)
    state.commands.push({ command: 'poll', vm: run.vm.id });
}

/** Sends stops again that weren't answered, and drops runs that a silent VM inherited. */
export function expireRuns(state: states.State, nowMs: number): void {
  const inheritedOver = nowMs > state.createdMs + state.bounds.inheritMs;
  for (const vm of state.vms.values())
    for (const run of [...vm.runs]) {
      if (run.phase === 'inherited' && inheritedOver)
        loseRun(state, run, nowMs);
      if (run.phase !== 'stopping' || run.settledMs !== undefined) continue;
      if (!vm.usable) continue;
      if (nowMs - (run.stopSentMs ?? 0) > STOP_AGAIN_MS)
        states.sendStop(state, run, 'again', nowMs);
    }
}
