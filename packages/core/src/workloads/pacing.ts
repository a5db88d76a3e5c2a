/**
 * Paces filler tasks so that they don't disturb service tasks on the same VM, whose load
 * can change within seconds. When the tail latency of a service task approaches its
 * target, the fillers on its VM are slowed at once and sped up again in small steps.
 */
import type * as states from './state.js';
import * as tables from './tables.js';

/** Ratio of tail latency to target at which fillers are slowed, and at which they are paused. */
const SLOW_RATIO = 0.75;
const PAUSE_RATIO = 0.95;
/** Ratio of tail latency to target below which the pace of fillers is raised again. */
const RAISE_RATIO = 0.55;
const SLOWED_PACE_PERCENT = 30;
const RAISE_STEP_PERCENT = 20;
/** Time between two raises, in ms; longer than the 500 ms that the reported tail latency covers. */
const RAISE_INTERVAL_MS = 1_500;

/** Sets the pace of filler tasks. */
export function paceRuns(state: states.State, nowMs: number): void {
  for (const vm of state.vms.values()) {
    const fillers = listFillers(vm);
    if (fillers.length === 0) continue;
    const latencyRatio = computeLatencyRatio(vm);
    for (const run of fillers) {
      const percent = choosePace(run, latencyRatio, nowMs);
      if (percent === run.pace) continue;
      run.pace = percent;
      run.paceSentMs = nowMs;
      state.commands.push({
        command: 'pace',
        vm: vm.id,
        task: tables.getTaskKey(run.task),
        run: run.number,
        percent,
      });
    }
  }
}

function listFillers({ runs }: tables.VmRow): readonly tables.RunRow[] {
  const fillers: tables.RunRow[] = [];
  for (const run of runs)
    if (run.task.step.spec.fills && run.phase === 'running') fillers.push(run);
  return fillers;
}

/** Returns the highest ratio of reported tail latency to target on a VM. */
function computeLatencyRatio(vm: tables.VmRow): number {
  let latencyRatio = 0;
  for (const run of vm.runs) {
    const { targetMs } = run.task.step.spec;
    if (targetMs !== undefined && run.percent === 100)
      latencyRatio = Math.max(latencyRatio, run.load / targetMs);
  }
  return latencyRatio;
}

function choosePace(
  run: tables.RunRow,
  latencyRatio: number,
  nowMs: number,
): number {
  const { pace = 100 } = run;
  if (latencyRatio >= PAUSE_RATIO) return 0;
  if (latencyRatio >= SLOW_RATIO) return Math.min(pace, SLOWED_PACE_PERCENT);
  const mayRaise = nowMs - run.paceSentMs >= RAISE_INTERVAL_MS;
  if (latencyRatio < RAISE_RATIO && mayRaise && pace < 100)
    return Math.min(100, pace + RAISE_STEP_PERCENT);
  return pace;
}
