/** An owner of an earlier build, which sends starts before their records are durable. */
import type * as core from '../../src/index.js';
import * as batches from '../../src/workloads/batch.js';
import * as blame from '../../src/workloads/blame.js';
import type * as states from '../../src/workloads/state.js';
import type * as tables from '../../src/workloads/tables.js';

/** Sends all decided starts whose records aren't durable, as that build did in an outage of the store. */
export function sendUnrecorded(
  state: states.State,
): readonly core.workloads.Command[] {
  const { batch } = state;
  // A successor would count none of the crashes that follow starts without a record.
  const isHeld = ({ task }: tables.RunRow): boolean =>
    blame.countSuspicions(task) > 0;
  const waiting = state.newStarts.filter((run) => !isHeld(run));
  const open = (batch?.starts ?? []).filter((run) => !isHeld(run));
  state.newStarts = state.newStarts.filter(isHeld);
  if (batch !== undefined)
    state.batch = { ...batch, starts: batch.starts.filter(isHeld) };
  if (waiting.length > 0) state.unrecordedStartsBatch = state.nextBatch;
  else if (batch !== undefined && open.length > 0)
    state.unrecordedStartsBatch = Math.max(
      state.unrecordedStartsBatch ?? 0,
      batch.number,
    );
  for (const run of [...open, ...waiting]) {
    run.vm.waitingStarts.push(run);
    batches.sendWaitingStarts(state, run.vm);
  }
  const sent = state.commands;
  state.commands = [];
  return sent;
}
