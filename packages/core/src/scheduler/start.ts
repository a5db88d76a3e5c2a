/** Starts of tasks and gangs: checks of quota, floors and room, then the commands. */
import type * as reasons from '../types/reasons.js';
import * as resources from '../types/resources.js';
import * as health from '../health/health.js';
import * as filter from '../placement/filter.js';
import * as placer from '../placement/placer.js';
import type * as placement from '../placement/rows.js';
import * as vector from '../placement/vector.js';
import * as floors from '../queue/floors.js';
import * as ledger from './ledger.js';
import type * as rows from './rows.js';
import * as states from './state.js';
import * as waiting from './waiting.js';

/** A task is checkpointed for others at most this often. */
export const MAX_PREEMPTIONS = 2;
/** Below this share of work kept by checkpoints, work counts as not reclaimable. */
const CHECKPOINT_USEFUL = 0.3;
/** Work this short may use idle workers with GPUs. */
const SHORT_MS = 60_000;
/** Other work may use them after it waited this long while no work with GPUs waits. */
const GPU_WORKERS_AFTER_MS = 10_000;
/** Shapes for which the need of workers with GPUs is remembered. */
const GPU_SHAPES_KEPT = 10_000;
/** Attempt numbers of one scheduler begin at its seed times this. */
const ATTEMPTS_PER_SEED = 1_000_000;

/** What the decisions of one tick share. */
export interface TickContext {
  readonly nowMs: number;
  readonly placing: placer.PlaceContext;
  floors: floors.FloorTable;
  /** True while tasks that need GPUs wait. */
  readonly gpusWanted: boolean;
  /** The job accepted first of those that starve in the most urgent class. */
  starving: rows.JobRow | undefined;
}

/** Tells whether the capacity of a task can be taken back by a checkpoint. */
export function isReclaimable(
  state: states.State,
  row: rows.JobRow,
  preemptions: number,
): boolean {
  const kept = state.checkpoints.get(row.spec.jobClass) ?? 1;
  return (
    row.policy.preemptible &&
    row.policy.idempotent &&
    row.urgency !== 'urgent' &&
    row.spec.kind !== 'gang' &&
    preemptions < MAX_PREEMPTIONS &&
    kept >= CHECKPOINT_USEFUL
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
  const stretch = Math.max(1, state.stretch.get(row.spec.jobClass) ?? 1);
  return nowMs + row.spec.declaredMs * (1 - kept) * stretch;
}

/** Finds the quota that a step of a job would exceed. */
export function findQuotaReason(
  state: states.State,
  row: rows.JobRow,
): reasons.Reason | undefined {
  const quota = states.readQuota(state, row.team);
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

/** Tells whether the workers without GPUs could never hold the next step of a job. */
function wantsGpuWorkers(state: states.State, row: rows.JobRow): boolean {
  const known = state.gpuShapes;
  const listed = state.fleet.readListed();
  if (known.listed !== listed || known.needed.size >= GPU_SHAPES_KEPT) {
    known.listed = listed;
    known.needed.clear();
  }
  let needed = known.needed.get(row.shape.key);
  if (needed === undefined) {
    needed = !filter.checkEverFits(state.fleet, row.shape, 'without-gpus').fits;
    known.needed.set(row.shape.key, needed);
  }
  return needed;
}

/** Tells whether a job has waited so long that it may use any idle worker. */
export function isPatient(row: rows.JobRow, nowMs: number): boolean {
  return nowMs - row.progressMs >= GPU_WORKERS_AFTER_MS;
}

/** Tells whether work without GPUs may use idle workers that have them. */
export function canUseGpuWorkers(
  state: states.State,
  row: rows.JobRow,
  context: TickContext,
): boolean {
  if (row.spec.size.gpus > 0) return true;
  if (wantsGpuWorkers(state, row)) return true;
  if (context.gpusWanted) return false;
  const { declaredMs } = row.spec;
  return (
    row.urgency === 'urgent' ||
    isPatient(row, context.nowMs) ||
    isReclaimable(state, row, 0) ||
    (declaredMs > 0 && declaredMs <= SHORT_MS)
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
    avoid: row.avoid,
    spread: row.spec.kind === 'service' ? row.spread : undefined,
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
    return placer.placeGang(request, context.placing);
  const worker = placer.placeTask(request, context.placing);
  return worker === undefined ? undefined : [worker];
}

/** Creates an attempt for a task and holds its capacity. */
export function buildAttempt(
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
    endsMs: computeEndMs(state, row, task.kept, from.nowMs),
    urgency: row.urgency,
    team: row.team,
    reclaimable: isReclaimable(state, row, task.preemptions),
    trial: from.trial,
    reported: false,
  };
  ledger.addAttempt(state, attempt);
  task.state = 'live';
  task.attempt = attempt;
  task.reason = undefined;
  row.live += 1;
  waiting.countSpread(row, worker, 1);
  return attempt;
}

/** Uses up what the job claimed on a worker. */
function releaseClaim(
  state: states.State,
  row: rows.JobRow,
  worker: placement.WorkerRow,
): void {
  const claim = worker.claims.get(row.id);
  if (claim === undefined) return;
  const rest = { ...claim.amount };
  vector.addTo(rest, row.spec.size, -1);
  state.fleet.unclaim(worker, row.id);
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
  row.progressMs = nowMs;
  const number = state.options.seed * ATTEMPTS_PER_SEED + task.attempts;
  releaseClaim(state, row, worker);
  const id = `${row.id}.${task.index}.${number}`;
  const attempt = buildAttempt(state, row, task, worker, { id, nowMs, trial });
  state.outbox.push({
    command: 'start',
    job: row.id,
    index: task.index,
    attemptId: id,
    worker: worker.id,
    size: row.spec.size,
    atMostOnce: !row.policy.idempotent,
    work: row.spec.work,
  });
  return attempt;
}

/** How often the task that starts next was preempted. */
function readPreemptions(row: rows.JobRow): number {
  const [next] = row.again;
  return next === undefined ? 0 : (row.tasks.get(next)?.preemptions ?? 0);
}

/** Result of trying to start the next step of a job. */
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
  const reclaimable = isReclaimable(state, row, readPreemptions(row));
  const request = { urgency: row.urgency, need, times, reclaimable };
  if (!floors.isAboveFloors(request, context.floors, state.fleet))
    return {
      started: 0,
      reason: { reason: 'fair-share', ahead: state.queue.readLength() },
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
  if (!reclaimable) vector.addTo(use.kept, need, times);
  vector.addTo(use.wanted, need, -times);
  return { started: workers.length };
}

/** Starts trial tasks on quarantined workers whose next trial is due. */
export function startTrials(state: states.State, nowMs: number): void {
  for (const id of health.listTrials(state.health, nowMs)) {
    const worker = state.fleet.workers.get(id);
    if (!worker?.usable || worker.record.state !== 'live') continue;
    const row = chooseTrial(state, worker);
    if (row === undefined) continue;
    const attempt = startNext(state, row, worker, nowMs, true);
    const quarantine = state.health.quarantines.get(id);
    if (quarantine !== undefined) quarantine.trial = attempt?.id;
  }
}

function canTry(
  state: states.State,
  row: rows.JobRow | undefined,
  worker: placement.WorkerRow,
): row is rows.JobRow {
  if (row?.spec.kind !== 'batch' || !row.policy.idempotent) return false;
  const zone = row.spec.availabilityZone ?? worker.record.availabilityZone;
  return (
    zone === worker.record.availabilityZone &&
    vector.isWithin(row.spec.size, worker.open) &&
    findQuotaReason(state, row) === undefined
  );
}

/** Chooses a restartable task for a trial, the least urgent one. */
function chooseTrial(
  state: states.State,
  worker: placement.WorkerRow,
): rows.JobRow | undefined {
  for (const urgency of ['deferrable', 'normal', 'urgent'] as const)
    for (const team of state.queue.teams.get(urgency)?.values() ?? [])
      for (const shape of team.shapes.values()) {
        const head = state.queue.readHead(shape);
        if (canTry(state, head, worker)) return head;
      }
  return undefined;
}

/** Counts the workers by the filter that removes them, for one job. */
export function collectReason(
  state: states.State,
  row: rows.JobRow,
): reasons.Reason {
  const found = filter.collectCounts(state.fleet, row.shape, row.avoid);
  return {
    reason: 'no-candidate',
    total: found.total,
    counts: found.counts,
  };
}
