/** Starts tasks and gangs: checks quota, floors and capacity, then issues the commands. */
import type * as reasons from '../types/reasons.js';
import * as resources from '../types/resources.js';
import * as health from '../health/health.js';
import * as filter from '../placement/filter.js';
import * as placer from '../placement/placer.js';
import type * as placement from '../placement/rows.js';
import * as vector from '../placement/vector.js';
import * as floors from '../queue/floors.js';
import * as heldCapacity from './heldCapacity.js';
import type * as rows from './rows.js';
import * as states from './state.js';
import * as waiting from './waiting.js';

/** Number of times that one task may be preempted. */
export const MAX_PREEMPTIONS = 2;
/** Share of successful checkpoints of a class below which its tasks are not reclaimable. */
const MIN_USEFUL_CHECKPOINT = 0.3;
/** Longest declared run time of a task without GPUs that may use idle workers with GPUs. */
const SHORT_TASK_MS = 60_000;
/**
 * Time without a start after which any task without GPUs may use idle workers with GPUs,
 * unless a GPU task waits.
 */
const GPU_WORKER_WAIT_MS = 10_000;
/** Number of cached shapes at which the cache of `isGpuWorkerNeeded` is cleared. */
const MAX_GPU_SHAPES = 10_000;
/** Range of attempt numbers per seed, so that two owners never use the same number. */
const ATTEMPTS_PER_SEED = 1_000_000;

/** Context that all decisions of one tick share. */
export interface TickContext {
  readonly nowMs: number;
  readonly placeContext: placer.PlaceContext;
  floors: floors.FloorTable;
  /** True when tasks that need GPUs wait. */
  readonly hasGpuDemand: boolean;
  /** The first accepted of the starving jobs of the most urgent urgency that has any. */
  starvingJob: rows.JobRow | undefined;
}

/** Returns whether the capacity of a task can be reclaimed by checkpointing and stopping it. */
export function isReclaimable(
  state: states.State,
  row: rows.JobRow,
  preemptions: number,
): boolean {
  const kept = state.checkpointRetention.get(row.spec.jobClass) ?? 1;
  return (
    row.classEntry.preemptible &&
    row.classEntry.idempotent &&
    row.urgency !== 'urgent' &&
    row.spec.kind !== 'gang' &&
    preemptions < MAX_PREEMPTIONS &&
    kept >= MIN_USEFUL_CHECKPOINT
  );
}

function computeEndMs(
  state: states.State,
  row: rows.JobRow,
  kept: number,
  nowMs: number,
): number {
  if (row.spec.kind === 'service' || row.spec.declaredMs <= 0)
    return Number.POSITIVE_INFINITY;
  const stretch = Math.max(1, state.runTimeRatios.get(row.spec.jobClass) ?? 1);
  return nowMs + row.spec.declaredMs * (1 - kept) * stretch;
}

/** Returns the quota that the next start of a job would exceed, if any. */
export function findQuotaReason(
  state: states.State,
  row: rows.JobRow,
): reasons.Reason | undefined {
  const quota = states.getQuota(state, row.team);
  if (quota === undefined) return undefined;
  const used = states.getTeamUse(state, row.team);
  const { need, times } = waiting.computeStep(row);
  for (const resource of resources.resourceNames)
    if (
      need[resource] > 0 &&
      used[resource] + need[resource] * times > quota[resource] + 1e-6
    )
      return {
        reason: 'quota',
        team: row.team,
        resource,
        used: used[resource],
        quota: quota[resource],
      };
  return undefined;
}

/** Returns whether the next start of a job could only ever fit with workers that have GPUs. */
function isGpuWorkerNeeded(state: states.State, row: rows.JobRow): boolean {
  const cache = state.gpuOnlyShapes;
  const listVersion = state.fleet.getListVersion();
  if (
    cache.listVersion !== listVersion ||
    cache.needsGpuWorkers.size >= MAX_GPU_SHAPES
  ) {
    cache.listVersion = listVersion;
    cache.needsGpuWorkers.clear();
  }
  let needed = cache.needsGpuWorkers.get(row.shape.key);
  if (needed === undefined) {
    needed = !filter.checkIdleFleetFit(state.fleet, row.shape, 'without-gpus')
      .fits;
    cache.needsGpuWorkers.set(row.shape.key, needed);
  }
  return needed;
}

/** Returns whether a job has waited long enough to use idle workers with GPUs. */
export function hasWaitedForGpuWorkers(
  row: rows.JobRow,
  nowMs: number,
): boolean {
  return nowMs - row.lastProgressMs >= GPU_WORKER_WAIT_MS;
}

/** Returns whether a job may use idle workers with GPUs; always true if it needs GPUs. */
export function canUseGpuWorkers(
  state: states.State,
  row: rows.JobRow,
  context: TickContext,
): boolean {
  if (row.spec.size.gpus > 0) return true;
  if (isGpuWorkerNeeded(state, row)) return true;
  if (context.hasGpuDemand) return false;
  const { declaredMs } = row.spec;
  return (
    row.urgency === 'urgent' ||
    hasWaitedForGpuWorkers(row, context.nowMs) ||
    isReclaimable(state, row, 0) ||
    (declaredMs > 0 && declaredMs <= SHORT_TASK_MS)
  );
}

function buildRequest(
  state: states.State,
  row: rows.JobRow,
  context: TickContext,
): placer.PlaceRequest {
  return {
    shape: row.shape,
    jobId: row.id,
    urgency: row.urgency,
    avoidedWorkers: row.avoidedWorkers,
    spread: row.spec.kind === 'service' ? row.replicaCounts : undefined,
    endsMs: computeEndMs(state, row, 0, context.nowMs),
    canUseGpuWorkers: canUseGpuWorkers(state, row, context),
  };
}

function findWorkers(
  state: states.State,
  row: rows.JobRow,
  context: TickContext,
): readonly placement.WorkerRow[] | undefined {
  const request = buildRequest(state, row, context);
  if (row.shape.kind === 'gang')
    return placer.placeGang(request, context.placeContext);
  const worker = placer.placeTask(request, context.placeContext);
  return worker === undefined ? undefined : [worker];
}

/** Creates the live attempt of a task and reserves its capacity. */
export function createAttempt(
  state: states.State,
  row: rows.JobRow,
  task: rows.TaskRow,
  worker: placement.WorkerRow,
  from: {
    readonly id: string;
    readonly nowMs: number;
    readonly trial: boolean;
  },
): placement.Attempt {
  const attempt: placement.Attempt = {
    id: from.id,
    jobId: row.id,
    index: task.index,
    worker,
    size: row.spec.size,
    held: row.spec.size,
    used: resources.noResources,
    state: 'starting',
    why: undefined,
    sinceMs: from.nowMs,
    endsMs: computeEndMs(state, row, task.checkpointedShare, from.nowMs),
    urgency: row.urgency,
    team: row.team,
    reclaimable: isReclaimable(state, row, task.preemptions),
    trial: from.trial,
    reported: false,
  };
  heldCapacity.addAttempt(state, attempt);
  task.state = 'live';
  task.attempt = attempt;
  task.reason = undefined;
  row.liveTasks += 1;
  waiting.updateReplicaCounts(row, worker, 1);
  return attempt;
}

/** Deducts one task from the claim of a job on a worker, where the task starts. */
function releaseClaim(
  state: states.State,
  row: rows.JobRow,
  worker: placement.WorkerRow,
): void {
  const claim = worker.claims.get(row.id);
  if (claim === undefined) return;
  const rest = { ...claim.amount };
  vector.addTo(rest, row.spec.size, -1);
  state.fleet.dropClaim(worker, row.id);
  const reservation = state.reservations.get(row.id);
  if (reservation !== undefined) reservation.members -= 1;
  const isLeft = rest.cores >= 0 && rest.memoryMb >= 0 && rest.gpus >= 0;
  if (isLeft && rest.cores + rest.memoryMb + rest.gpus > 0)
    state.fleet.claim(worker, { ...claim, amount: rest });
}

/** Starts the next task of a job on a worker. */
export function startNext(
  state: states.State,
  row: rows.JobRow,
  worker: placement.WorkerRow,
  nowMs: number,
  trial: boolean,
): placement.Attempt | undefined {
  const task = waiting.takeNext(state, row);
  if (task === undefined) return undefined;
  task.attempts += 1;
  row.lastProgressMs = nowMs;
  const number = state.options.seed * ATTEMPTS_PER_SEED + task.attempts;
  releaseClaim(state, row, worker);
  const id = `${row.id}.${task.index}.${number}`;
  const attempt = createAttempt(state, row, task, worker, { id, nowMs, trial });
  state.pendingCommands.push({
    command: 'start',
    job: row.id,
    index: task.index,
    attemptId: id,
    worker: worker.id,
    size: row.spec.size,
    atMostOnce: !row.classEntry.idempotent,
    work: row.spec.work,
  });
  return attempt;
}

/** Returns how many times the task that starts next was preempted. */
function getNextPreemptions(row: rows.JobRow): number {
  const [next] = row.requeued;
  return next === undefined ? 0 : (row.tasks.get(next)?.preemptions ?? 0);
}

/** Result of trying to start the next task of a job, or a whole gang. */
export type StartResult =
  | { readonly started: number }
  | { readonly started: 0; readonly reason: reasons.Reason };

/** Starts the next task of a job, or a whole gang. */
export function tryStart(
  state: states.State,
  row: rows.JobRow,
  context: TickContext,
): StartResult {
  const quota = findQuotaReason(state, row);
  if (quota !== undefined) return { started: 0, reason: quota };
  const { need, times } = waiting.computeStep(row);
  const reclaimable = isReclaimable(state, row, getNextPreemptions(row));
  const request = { urgency: row.urgency, need, times, reclaimable };
  if (!floors.isWithinFloors(request, context.floors, state.fleet))
    return {
      started: 0,
      reason: { reason: 'fair-share', ahead: state.queue.getLength() },
    };
  const workers = findWorkers(state, row, context);
  if (workers === undefined)
    return {
      started: 0,
      reason: {
        reason: 'no-candidate',
        total: state.fleet.workers.size,
        counts: [],
      },
    };
  for (const worker of workers)
    startNext(state, row, worker, context.nowMs, false);
  const use = context.floors[row.urgency];
  vector.addTo(use.used, need, times);
  if (!reclaimable) vector.addTo(use.nonReclaimable, need, times);
  vector.addTo(use.demand, need, -times);
  return { started: workers.length };
}

/** Starts trial tasks on quarantined workers whose next trial is due. */
export function startTrials(state: states.State, nowMs: number): void {
  for (const id of health.listTrials(state.health, nowMs)) {
    const worker = state.fleet.workers.get(id);
    if (!worker?.usable || worker.record.state !== 'live') continue;
    const row = chooseTrialJob(state, worker);
    if (row === undefined) continue;
    const attempt = startNext(state, row, worker, nowMs, true);
    const quarantine = state.health.quarantines.get(id);
    if (quarantine !== undefined) quarantine.trial = attempt?.id;
  }
}

function canRunTrial(
  state: states.State,
  row: rows.JobRow | undefined,
  worker: placement.WorkerRow,
): row is rows.JobRow {
  if (row?.spec.kind !== 'batch' || !row.classEntry.idempotent) return false;
  const zone = row.spec.availabilityZone ?? worker.record.availabilityZone;
  return (
    zone === worker.record.availabilityZone &&
    vector.isWithin(row.spec.size, worker.unclaimed) &&
    findQuotaReason(state, row) === undefined
  );
}

/** Chooses the least urgent job with an idempotent batch task that fits for a trial. */
function chooseTrialJob(
  state: states.State,
  worker: placement.WorkerRow,
): rows.JobRow | undefined {
  for (const urgency of ['deferrable', 'normal', 'urgent'] as const)
    for (const team of state.queue.teams.get(urgency)?.values() ?? [])
      for (const shape of team.shapes.values()) {
        const head = state.queue.getHead(shape);
        if (canRunTrial(state, head, worker)) return head;
      }
  return undefined;
}

/** Builds the reason for a job without a candidate: the workers that each filter removes. */
export function collectCandidateReason(
  state: states.State,
  row: rows.JobRow,
): reasons.Reason {
  const result = filter.collectCounts(
    state.fleet,
    row.shape,
    row.avoidedWorkers,
  );
  return {
    reason: 'no-candidate',
    total: result.total,
    counts: result.counts,
  };
}
