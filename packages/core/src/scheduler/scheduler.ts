/**
 * The scheduler of one workers shard. It is pure: events and the time go in, commands
 * come out, and the same events in the same order give the same commands.
 */
import type * as scheduler from '../types/scheduler.js';
import * as accept from './accept.js';
import * as apply from './apply.js';
import * as states from './state.js';
import * as tick from './tick.js';
import * as views from './views.js';

/**
 * Creates a scheduler without workers and jobs. Attempt numbers begin at `seed` times
 * a million, so every owner of a shard must pass another seed, such as its epoch.
 */
export function createScheduler(
  options: scheduler.SchedulerOptions,
): scheduler.Scheduler {
  const state = states.createState(options);
  return {
    apply(event, nowMs) {
      apply.applyEvent(state, event, nowMs);
    },
    tick: (nowMs) => tick.runTick(state, nowMs),
    check: (spec) => accept.checkSpec(state, spec),
    readTasks: (job) => views.listTaskStates(state, job),
    explain: (job) => views.explainJob(state, job),
    readTeamUse: () => state.teamUse,
    dump: () => views.buildDump(state),
  };
}
