/** Acceptance of jobs, and what a new owner learns about their tasks. */
import type * as job from '../types/job.js';
import type * as reasons from '../types/reasons.js';
import type * as release from '../types/release.js';
import * as resources from '../types/resources.js';
import type * as scheduler from '../types/scheduler.js';
import * as filter from '../placement/filter.js';
import type * as placement from '../placement/rows.js';
import type * as vector from '../placement/vector.js';
import * as floors from '../queue/floors.js';
import * as admission from '../queue/admission.js';
import * as ends from './ends.js';
import * as ledger from './ledger.js';
import type * as rows from './rows.js';
import * as start from './start.js';
import * as states from './state.js';
import * as waiting from './waiting.js';

/** Shapes that are shared; more start over. */
const SHAPES_KEPT = 10_000;
/** Weight of the newest job in the running average of cores and memory per GPU. */
const PER_GPU_WEIGHT = 0.1;

/** A class that isn't in force any more is handled as if nothing might be repeated. */
function buildUnknownClass(
  name: string,
  urgency: job.Job['urgency'],
): release.ClassEntry {
  return {
    kind: 'class',
    name,
    urgency,
    floor: 0,
    idempotent: false,
    preemptible: false,
    maxWaitMs: Number.POSITIVE_INFINITY,
  };
}

/** Computes what tasks of a job have in common for placement. */
export function computeShape(spec: job.JobSpec): placement.Shape {
  const { kind, size, availabilityZone } = spec;
  const isGang = kind === 'gang';
  const members = isGang ? spec.count : 1;
  const maxRacks = isGang
    ? (spec.maxRacks ?? Number.MAX_SAFE_INTEGER)
    : Number.MAX_SAFE_INTEGER;
  const zone = availabilityZone ?? '';
  const key = `${kind} ${spec.jobClass} ${size.cores} ${size.memoryMb} ${size.gpus} ${zone} ${members} ${maxRacks}`;
  return { key, kind, size, availabilityZone, members, maxRacks };
}

function findShape(state: states.State, spec: job.JobSpec): placement.Shape {
  const shape = computeShape(spec);
  const known = state.shapes.get(shape.key);
  if (known !== undefined) return known;
  if (state.shapes.size >= SHAPES_KEPT) state.shapes.clear();
  state.shapes.set(shape.key, shape);
  return shape;
}

function notePerGpu(state: states.State, spec: job.JobSpec): void {
  const { cores, memoryMb, gpus } = spec.size;
  if (gpus === 0) return;
  const each = { cores: cores / gpus, memoryMb: memoryMb / gpus, gpus: 0 };
  const before = state.perGpu ?? each;
  state.perGpu = {
    cores: before.cores + PER_GPU_WEIGHT * (each.cores - before.cores),
    memoryMb:
      before.memoryMb + PER_GPU_WEIGHT * (each.memoryMb - before.memoryMb),
    gpus: 0,
  };
}

function buildRow(state: states.State, accepted: job.Job): rows.JobRow {
  const { spec } = accepted;
  const order = state.nextOrder;
  state.nextOrder += 1;
  return {
    id: accepted.id,
    job: accepted,
    spec,
    shape: findShape(state, spec),
    urgency: accepted.urgency,
    team: spec.team,
    order,
    policy:
      state.classes.get(spec.jobClass) ??
      buildUnknownClass(spec.jobClass, accepted.urgency),
    tasks: new Map(),
    nextFresh: 0,
    again: [],
    waiting: 0,
    live: 0,
    ended: 0,
    done: 0,
    failed: 0,
    unknown: 0,
    restarting: false,
    failedOn: new Set(),
    avoid: new Set(),
    spread: new Map(),
    sinceMs: 0,
    progressMs: 0,
    reason: undefined,
    ending: undefined,
    closed: false,
    unfit: false,
    history: [],
  };
}

/** Takes over attempts that were found before the job was known. */
function attachKnown(
  state: states.State,
  row: rows.JobRow,
  nowMs: number,
): void {
  for (const attempt of state.attempts.values())
    if (attempt.jobId === row.id) attachAttempt(state, row, attempt, nowMs);
}

/** Applies `job.accepted`; a repeat does nothing. */
export function addJob(
  state: states.State,
  accepted: job.Job,
  ended: readonly scheduler.EndedTask[],
  nowMs: number,
): void {
  if (state.jobs.has(accepted.id) || accepted.state !== 'accepted') return;
  const row = buildRow(state, accepted);
  row.sinceMs = nowMs;
  row.progressMs = nowMs;
  state.jobs.set(row.id, row);
  for (const { index, result } of ended) {
    const task = waiting.touchTask(row, index);
    if (task.state !== 'ended') ends.endTask(row, task, result);
  }
  notePerGpu(state, row.spec);
  if (row.spec.size.gpus > 0) state.withGpus.add(row.urgency);
  const team = state.queue.getTeam(row.urgency, row.team);
  team.weight = state.teams.get(row.team)?.weight ?? 1;
  waiting.applyReady(state, row, row.spec.count - row.tasks.size);
  if (state.attempts.size > 0 && state.orphans.size > 0)
    attachKnown(state, row, nowMs);
  if (row.spec.kind === 'gang' && row.ended > 0)
    state.brokenGangs.set(row, nowMs);
  if (row.job.cancelRequested)
    ends.beginEnd(state, row, { state: 'cancelled', reason: 'cancelled' });
  else ends.finishJob(state, row);
}

/** Applies `job.cancelled`. */
export function cancelJob(
  state: states.State,
  id: job.Job['id'],
  by: string,
): void {
  const row = state.jobs.get(id);
  if (row === undefined) return;
  ends.beginEnd(state, row, {
    state: 'cancelled',
    reason: `cancelled by ${by}`,
  });
}

/** Applies `task.held`. */
export function holdTask(
  state: states.State,
  event: Extract<scheduler.SchedulerEvent, { event: 'task.held' }>,
  nowMs: number,
): void {
  const row = state.jobs.get(event.job);
  if (row === undefined || row.closed) return;
  const known = row.tasks.get(event.index);
  if (known?.state === 'held') known.reason = event.reason;
  else if (waiting.takeTask(state, row, event.index)) {
    const task = waiting.touchTask(row, event.index);
    task.state = 'held';
    task.reason = event.reason;
    task.sinceMs = nowMs;
  }
}

/** Applies `task.freed`. */
export function releaseTask(
  state: states.State,
  event: Extract<scheduler.SchedulerEvent, { event: 'task.freed' }>,
  nowMs: number,
): void {
  const row = state.jobs.get(event.job);
  const task = row?.tasks.get(event.index);
  if (row === undefined || task?.state !== 'held') return;
  task.reason = undefined;
  if (row.closed || row.ending !== undefined) task.state = 'delayed';
  else waiting.putBack(state, row, task, nowMs);
}

/** Makes an attempt the live one of its task, or stops it when there is another or the task ended. */
function attachAttempt(
  state: states.State,
  row: rows.JobRow,
  attempt: placement.Attempt,
  nowMs: number,
): void {
  state.orphans.delete(attempt.id);
  if (attempt.index >= row.spec.count) {
    ends.stopAttempt(state, attempt, 'withdrawn', false);
    return;
  }
  const task = waiting.touchTask(row, attempt.index);
  if (task.attempt === attempt) return;
  const isFree =
    task.state === 'held' ||
    task.state === 'waiting' ||
    task.state === 'delayed';
  if (row.closed || !isFree) {
    ends.stopAttempt(state, attempt, 'withdrawn', false);
    return;
  }
  if (task.state === 'waiting') {
    // A fresh task has just got its row, so it is taken here.
    row.again = row.again.filter((other) => other !== task.index);
    waiting.applyReady(state, row, -1);
  }
  task.state = 'live';
  task.attempt = attempt;
  task.reason = undefined;
  row.live += 1;
  waiting.countSpread(row, attempt.worker, 1);
  ledger.moveAttempt(state, attempt, {
    urgency: row.urgency,
    team: row.team,
    reclaimable: start.isReclaimable(state, row, start.MAX_PREEMPTIONS),
  });
  if (row.ending !== undefined)
    ends.stopAttempt(state, attempt, 'cancelled', false);
  if (row.spec.kind === 'gang') state.brokenGangs.set(row, nowMs);
}

/** Applies `task.adopted`. */
export function attachFound(
  state: states.State,
  event: Extract<scheduler.SchedulerEvent, { event: 'task.adopted' }>,
  nowMs: number,
): void {
  const worker = state.fleet.workers.get(event.worker);
  if (worker === undefined || state.attempts.has(event.attemptId)) return;
  const row = state.jobs.get(event.job);
  const attempt: placement.Attempt = {
    id: event.attemptId,
    jobId: event.job,
    index: event.index,
    worker,
    size: event.size,
    held: event.size,
    used: resources.noResources,
    state: 'running',
    why: undefined,
    sinceMs: nowMs,
    endsMs: Number.POSITIVE_INFINITY,
    urgency: row?.urgency ?? 'normal',
    team: row?.team ?? '',
    reclaimable: false,
    trial: false,
    reported: false,
  };
  ledger.addAttempt(state, attempt);
  if (row === undefined) state.orphans.add(attempt.id);
  else attachAttempt(state, row, attempt, nowMs);
}

function findSpecQuota(
  state: states.State,
  spec: job.JobSpec,
): reasons.Reason | undefined {
  const quota = states.readQuota(state, spec.team);
  if (quota === undefined) return undefined;
  const times = spec.kind === 'batch' ? 1 : spec.count;
  for (const resource of resources.resourceNames)
    if (spec.size[resource] * times > quota[resource] + 1e-6)
      return {
        reason: 'quota',
        team: spec.team,
        resource,
        used: states.getTeamUse(state, spec.team)[resource],
        quota: quota[resource],
      };
  return undefined;
}

function findFloorReason(
  state: states.State,
  spec: job.JobSpec,
): reasons.Reason | undefined {
  const entry = state.classes.get(spec.jobClass);
  const request = {
    urgency: entry?.urgency ?? 'normal',
    need: spec.size,
    times: spec.kind === 'gang' ? spec.count : 1,
    reclaimable:
      spec.kind !== 'gang' && entry?.preemptible === true && entry.idempotent,
  };
  const { floors: shares, withGpus, fleet } = state;
  const excess = floors.findFloorExcess(request, shares, withGpus, fleet.total);
  return excess === undefined ? undefined : { reason: 'floor', ...excess };
}

/** Checks a job that was submitted. */
export function checkSpec(
  state: states.State,
  spec: job.JobSpec,
): scheduler.AdmissionVerdict {
  const shape = computeShape(spec);
  const ever = filter.checkEverFits(state.fleet, shape);
  if (!ever.fits) {
    const { total, counts } = ever;
    const reason: reasons.Reason = { reason: 'never-fits', total, counts };
    return { admitted: false, reason };
  }
  const quota = findSpecQuota(state, spec);
  if (quota !== undefined) return { admitted: false, reason: quota };
  const floor = findFloorReason(state, spec);
  if (floor !== undefined) return { admitted: false, reason: floor };
  const entry = state.classes.get(spec.jobClass);
  const urgency = entry?.urgency ?? 'normal';
  const expectedWaitMs = admission.computeWait(state.queue, {
    urgency,
    team: spec.team,
    need: spec.size,
    total: state.fleet.total,
    floors: state.floors,
    stretch: state.stretch.get(spec.jobClass) ?? 1,
  });
  const reason = admission.findWaitReason(
    state.queue.readLength(),
    expectedWaitMs,
    entry?.maxWaitMs ?? Number.POSITIVE_INFINITY,
  );
  if (reason !== undefined) return { admitted: false, reason };
  return { admitted: true, expectedWaitMs };
}

/** Checks that a shape still fits on some worker of the fleet. */
export function isFitting(state: states.State, row: rows.JobRow): boolean {
  return filter.checkEverFits(state.fleet, row.shape).fits;
}

/** Lets a job use workers that it avoids when the others can't hold it. */
export function updateAvoid(state: states.State, row: rows.JobRow): void {
  if (row.avoid.size === 0) return;
  if (!filter.canAvoid(state.fleet, row.shape, row.avoid)) row.avoid.clear();
}

/** Shares of each urgency's wanted capacity that quotas allow. */
export function computeWanted(
  state: states.State,
  team: { readonly team: string; readonly wanted: vector.Amount },
): resources.Resources {
  const { wanted } = team;
  if (wanted.cores + wanted.memoryMb + wanted.gpus <= 0) return wanted;
  const quota = states.readQuota(state, team.team);
  if (quota === undefined) return wanted;
  const used = states.getTeamUse(state, team.team);
  const limit = (name: resources.ResourceName) =>
    Math.max(0, Math.min(team.wanted[name], quota[name] - used[name]));
  return {
    cores: limit('cores'),
    memoryMb: limit('memoryMb'),
    gpus: limit('gpus'),
  };
}
