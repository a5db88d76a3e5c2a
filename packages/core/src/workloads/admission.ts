/**
 * Which jobs are refused at once. Answers jobs that no VM of their pool could run even
 * if all were idle: accepted, they would wait until their caller gives up. A long
 * queue is no reason to refuse: an earlier try whose answer was lost may still become
 * durable, and a refusal must stay true.
 */
import * as tables from './tables.js';
import type * as states from './state.js';
import type * as types from './types.js';

/** Time after a change of the owner before VMs count as missing, in ms: entries come back within two seconds. */
const SETTLED_MS = 5_000;

/** Why a job can't be run by the VMs that are listed; undefined when it can or when they aren't known yet. */
export function checkAdmission(
  state: states.State,
  steps: readonly types.StepSpec[],
  pool: types.PoolName,
  nowMs: number,
): string | undefined {
  if (nowMs - state.createdMs < SETTLED_MS) return undefined;
  const entries = [...state.vms.values()]
    .map(({ entry }) => entry)
    .filter((entry) => entry?.pool === pool)
    .filter((entry) => entry !== undefined);
  if (entries.length === 0) return undefined;
  for (const [index, spec] of steps.entries()) {
    const places = entries.reduce(
      (sum, entry) => sum + countPlaces(entry, spec),
      0,
    );
    if (places === 0)
      return `no VM of the pool is large enough for a task of step ${index}, or has its label`;
    if (spec.gang && places < spec.count)
      return `the VMs of the pool hold ${places} of the ${spec.count} tasks of step ${index}, which start together`;
  }
  return undefined;
}

/** Tasks of a step that an idle VM holds. */
function countPlaces(entry: types.VmEntry, spec: types.StepSpec): number {
  if (spec.label !== undefined && !entry.labels.includes(spec.label)) return 0;
  const need = tables.readNeed(spec);
  const free = { ...entry.capacity };
  const most = Math.min(spec.count, spec.maxPerVm ?? Infinity);
  let places = 0;
  while (places < most && tables.hasRoom(free, need)) {
    tables.addAmount(free, need, -1);
    places += 1;
  }
  return places;
}
