/**
 * The scheduler of one workers shard. It is deterministic and does no I/O: it takes
 * events and the current time and returns commands, and the same events in the same
 * order give the same commands.
 */
import type * as scheduler from '../types/scheduler.js';
import * as accept from './accept.js';
import * as apply from './apply.js';
import * as states from './state.js';
import * as tick from './tick.js';
import * as views from './views.js';

/**
 * Creates a scheduler without workers and jobs. Attempt numbers begin at `seed` times
 * a million, so each owner of a shard must pass a different seed, such as its epoch,
 * for attempt ids to be unique.
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
    listTaskStates: (job) => views.listTaskStates(state, job),
    explain: (job) => views.explainJob(state, job),
    getTeamUse: () => state.teamUse,
    dump: () => views.buildDump(state),
  };
}
