/**
 * Keeps work that fills from disturbing work that serves. Answers neighbours whose
 * use changes within seconds: when the tail of a serving task nears its target, the
 * filling tasks on its VM are slowed at once and get their share back in small steps.
 */
import type * as states from './state.js';
import * as tables from './tables.js';

/** Share of the target at which filling work is slowed, and at which it is held. */
const SLOW_AT = 0.75;
const HOLD_AT = 0.95;
/** Share of the target below which filling work gets more again. */
const RAISE_BELOW = 0.55;
const SLOWED_PERCENT = 30;
const RAISE_STEP_PERCENT = 20;
/** Time between two raises, in ms: the reported tail covers half a second. */
const RAISE_EVERY_MS = 1_500;

/** Decides the pace of filling tasks. */
export function paceRuns(state: states.State, nowMs: number): void {
  for (const vm of state.vms.values()) {
    const filling = [...vm.runs].filter(
      (run) => run.task.step.spec.fills && run.phase === 'running',
    );
    if (filling.length === 0) continue;
    const strain = readStrain(vm);
    for (const run of filling) {
      const percent = choosePace(run, strain, nowMs);
      if (percent === run.pace) continue;
      run.pace = percent;
      run.paceSentMs = nowMs;
      state.commands.push({
        command: 'pace',
        vm: vm.id,
        task: tables.readTaskKey(run.task),
        run: run.number,
        percent,
      });
    }
  }
}

/** Largest ratio of reported tail to target on a VM. */
function readStrain(vm: tables.VmRow): number {
  let strain = 0;
  for (const run of vm.runs) {
    const { targetMs } = run.task.step.spec;
    if (targetMs !== undefined && run.percent === 100)
      strain = Math.max(strain, run.load / targetMs);
  }
  return strain;
}

function choosePace(run: tables.RunRow, strain: number, nowMs: number): number {
  if (strain >= HOLD_AT) return 0;
  if (strain >= SLOW_AT) return Math.min(run.pace, SLOWED_PERCENT);
  const mayRaise = nowMs - run.paceSentMs >= RAISE_EVERY_MS;
  if (strain < RAISE_BELOW && mayRaise && run.pace < 100)
    return Math.min(100, run.pace + RAISE_STEP_PERCENT);
  return run.pace;
}
