/**
 * Adds accepted jobs to the scheduler, checks submitted ones, and applies what a new
 * owner of the shard finds out about their tasks: held, released and adopted ones.
 */
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
import * as heldCapacity from './heldCapacity.js';
import type * as rows from './rows.js';
import * as start from './start.js';
import * as states from './state.js';
import * as waiting from './waiting.js';

/** Number of shared shapes at which the cache of shapes is cleared. */
const MAX_SHARED_SHAPES = 10_000;
/** Weight of the newest job in the running average of cores and memory per GPU. */
const PER_GPU_AVERAGE_WEIGHT = 0.1;

/**
 * Builds the entry used for a class that the release in force doesn't contain: neither
 * idempotent nor preemptible, so that none of its tasks runs twice.
 */
function buildFallbackClass(
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

/** Computes the properties that all tasks of a job share for placement. */
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
  if (state.shapes.size >= MAX_SHARED_SHAPES) state.shapes.clear();
  state.shapes.set(shape.key, shape);
  return shape;
}

function updatePerGpuAverage(state: states.State, spec: job.JobSpec): void {
  const { cores, memoryMb, gpus } = spec.size;
  if (gpus === 0) return;
  const each = { cores: cores / gpus, memoryMb: memoryMb / gpus, gpus: 0 };
  const before = state.averagePerGpu ?? each;
  state.averagePerGpu = {
    cores: before.cores + PER_GPU_AVERAGE_WEIGHT * (each.cores - before.cores),
    memoryMb:
      before.memoryMb +
      PER_GPU_AVERAGE_WEIGHT * (each.memoryMb - before.memoryMb),
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
    classEntry:
      state.classes.get(spec.jobClass) ??
      buildFallbackClass(spec.jobClass, accepted.urgency),
    tasks: new Map(),
    nextFreshIndex: 0,
    requeued: [],
    waitingTasks: 0,
    liveTasks: 0,
    endedTasks: 0,
    doneTasks: 0,
    failedTasks: 0,
    unknownTasks: 0,
    restarting: false,
    failedWorkers: new Set(),
    avoidedWorkers: new Set(),
    replicaCounts: new Map(),
    sinceMs: 0,
    lastProgressMs: 0,
    reason: undefined,
    ending: undefined,
    closed: false,
    isUnplaceable: false,
    history: [],
  };
}

/** Attaches attempts that were adopted from workers before their job was known. */
function attachOrphans(
  state: states.State,
  row: rows.JobRow,
  nowMs: number,
): void {
  for (const attempt of state.attempts.values())
    if (attempt.jobId === row.id) attachAttempt(state, row, attempt, nowMs);
}

/** Applies `job.accepted`; a repeated event is ignored. */
export function addJob(
  state: states.State,
  accepted: job.Job,
  ended: readonly scheduler.EndedTask[],
  nowMs: number,
): void {
  if (state.jobs.has(accepted.id) || accepted.state !== 'accepted') return;
  const row = buildRow(state, accepted);
  row.sinceMs = nowMs;
  row.lastProgressMs = nowMs;
  state.jobs.set(row.id, row);
  for (const { index, result } of ended) {
    const task = waiting.ensureTaskRow(row, index);
    if (task.state !== 'ended') ends.endTask(row, task, result);
  }
  updatePerGpuAverage(state, row.spec);
  if (row.spec.size.gpus > 0) state.gpuUrgencies.add(row.urgency);
  const team = state.queue.getTeam(row.urgency, row.team);
  team.weight = state.teams.get(row.team)?.weight ?? 1;
  waiting.updateReadyCount(state, row, row.spec.count - row.tasks.size);
  if (state.attempts.size > 0 && state.orphanAttempts.size > 0)
    attachOrphans(state, row, nowMs);
  if (row.spec.kind === 'gang' && row.endedTasks > 0)
    state.incompleteGangs.set(row, nowMs);
  if (row.job.cancelRequested)
    ends.beginJobEnd(state, row, { state: 'cancelled', reason: 'cancelled' });
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
  ends.beginJobEnd(state, row, {
    state: 'cancelled',
    reason: `cancelled by ${by}`,
  });
}

/** Applies `task.held`: the task must not start until it is released. */
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
    const task = waiting.ensureTaskRow(row, event.index);
    task.state = 'held';
    task.reason = event.reason;
    task.sinceMs = nowMs;
  }
}

/** Applies `task.freed`: a held task may start again. */
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
  else waiting.requeueTask(state, row, task, nowMs);
}

/**
 * Makes an attempt the live attempt of its task, or stops it when the task already has
 * one or has ended.
 */
function attachAttempt(
  state: states.State,
  row: rows.JobRow,
  attempt: placement.Attempt,
  nowMs: number,
): void {
  state.orphanAttempts.delete(attempt.id);
  if (attempt.index >= row.spec.count) {
    ends.stopAttempt(state, attempt, 'withdrawn', false);
    return;
  }
  const task = waiting.ensureTaskRow(row, attempt.index);
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
    // Takes the task out of the queue; a fresh task got its row above and is covered too.
    row.requeued = row.requeued.filter((other) => other !== task.index);
    waiting.updateReadyCount(state, row, -1);
  }
  task.state = 'live';
  task.attempt = attempt;
  task.reason = undefined;
  row.liveTasks += 1;
  waiting.updateReplicaCounts(row, attempt.worker, 1);
  heldCapacity.moveAttempt(state, attempt, {
    urgency: row.urgency,
    team: row.team,
    reclaimable: start.isReclaimable(state, row, start.MAX_PREEMPTIONS),
  });
  if (row.ending !== undefined)
    ends.stopAttempt(state, attempt, 'cancelled', false);
  if (row.spec.kind === 'gang') state.incompleteGangs.set(row, nowMs);
}

/** Applies `task.adopted`: an attempt of an earlier owner was found on a worker. */
export function adoptAttempt(
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
  heldCapacity.addAttempt(state, attempt);
  if (row === undefined) state.orphanAttempts.add(attempt.id);
  else attachAttempt(state, row, attempt, nowMs);
}

function findSpecQuotaReason(
  state: states.State,
  spec: job.JobSpec,
): reasons.Reason | undefined {
  const quota = states.getQuota(state, spec.team);
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
  const { floors: shares, gpuUrgencies, fleet } = state;
  const excess = floors.findFloorExcess(
    request,
    shares,
    gpuUrgencies,
    fleet.total,
  );
  return excess === undefined ? undefined : { reason: 'floor', ...excess };
}

/** Decides whether a submitted job is admitted, and estimates its wait. */
export function checkSpec(
  state: states.State,
  spec: job.JobSpec,
): scheduler.AdmissionVerdict {
  const shape = computeShape(spec);
  const fit = filter.checkIdleFleetFit(state.fleet, shape);
  if (!fit.fits) {
    const { total, counts } = fit;
    const reason: reasons.Reason = { reason: 'never-fits', total, counts };
    return { admitted: false, reason };
  }
  const quota = findSpecQuotaReason(state, spec);
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
    runTimeRatio: state.runTimeRatios.get(spec.jobClass) ?? 1,
  });
  const reason = admission.findWaitReason(
    state.queue.getLength(),
    expectedWaitMs,
    entry?.maxWaitMs ?? Number.POSITIVE_INFINITY,
  );
  if (reason !== undefined) return { admitted: false, reason };
  return { admitted: true, expectedWaitMs };
}

/** Returns whether the fleet could hold the next start of a job if it were idle. */
export function canFitIdleFleet(
  state: states.State,
  row: rows.JobRow,
): boolean {
  return filter.checkIdleFleetFit(state.fleet, row.shape).fits;
}

/** Clears the workers that a job avoids when the other workers can't hold it. */
export function updateAvoidedWorkers(
  state: states.State,
  row: rows.JobRow,
): void {
  if (row.avoidedWorkers.size === 0) return;
  if (!filter.canAvoid(state.fleet, row.shape, row.avoidedWorkers))
    row.avoidedWorkers.clear();
}

/** Computes the part of a team's demand that its quota still allows. */
export function computeAllowedDemand(
  state: states.State,
  team: { readonly team: string; readonly demand: vector.Amount },
): resources.Resources {
  const { demand } = team;
  if (demand.cores + demand.memoryMb + demand.gpus <= 0) return demand;
  const quota = states.getQuota(state, team.team);
  if (quota === undefined) return demand;
  const used = states.getTeamUse(state, team.team);
  const limit = (name: resources.ResourceName) =>
    Math.max(0, Math.min(team.demand[name], quota[name] - used[name]));
  return {
    cores: limit('cores'),
    memoryMb: limit('memoryMb'),
    gpus: limit('gpus'),
  };
}
