/** Chooses workers for tasks and gangs from the cells of the capacity index. */
import * as ids from '../types/ids.js';
import type * as resources from '../types/resources.js';
import type * as buckets from './buckets.js';
import type * as fleet from './fleet.js';
import type * as rows from './rows.js';
import * as score from './score.js';
import * as vector from './vector.js';

/** A request to place tasks of one shape. */
export interface PlaceRequest {
  readonly shape: rows.Shape;
  readonly jobId: ids.JobId;
  readonly urgency: ids.Urgency;
  /** Workers on which the job failed; none of them is chosen. */
  readonly avoidedWorkers: ReadonlySet<ids.VmId>;
  readonly spread: score.Spread | undefined;
  /** Expected end of the task if it starts now; lets it use claims that begin later. */
  readonly endsMs: number;
  /** True when a task without GPUs may use idle workers with GPUs. */
  readonly canUseGpuWorkers: boolean;
}

/** State of the whole shard that placement uses. */
export interface PlaceContext {
  readonly table: fleet.Fleet;
  /** The resource in highest demand relative to the fleet in this tick. */
  readonly scarceResource: resources.ResourceName;
  /** Average cores and memory that a task uses per GPU. */
  readonly averagePerGpu: resources.Resources;
  /** Workers on which jobs have claims. */
  readonly claimedWorkers: ReadonlyMap<ids.VmId, rows.WorkerRow>;
}

/** Workers that are scored per cell. */
const MAX_CANDIDATES_PER_CELL = 8;
/** Scored workers after which no further cell is visited. */
const SUFFICIENT_CANDIDATES = 12;

interface RankedCell {
  readonly cell: buckets.Cell;
  readonly pool: buckets.Pool;
  readonly rank: number;
}

/** Returns whether a task without GPUs leaves enough cores and memory for the free GPUs of a worker. */
function hasRoomBesideGpus(
  worker: rows.WorkerRow,
  need: resources.Resources,
  perGpu: resources.Resources,
): boolean {
  const { unclaimed } = worker;
  return (
    unclaimed.cores - need.cores >= unclaimed.gpus * perGpu.cores &&
    unclaimed.memoryMb - need.memoryMb >= unclaimed.gpus * perGpu.memoryMb
  );
}

function isAllowed(
  worker: rows.WorkerRow,
  request: PlaceRequest,
  context: PlaceContext,
): boolean {
  const { size } = request.shape;
  if (!vector.isWithin(size, worker.unclaimed)) return false;
  if (request.avoidedWorkers.has(worker.id)) return false;
  if (size.gpus > 0 || worker.size.gpus === 0) return true;
  return (
    request.canUseGpuWorkers ||
    hasRoomBesideGpus(worker, size, context.averagePerGpu)
  );
}

function rankCells(
  request: PlaceRequest,
  context: PlaceContext,
  scoring: score.ScoreContext,
  onGpuWorkers: boolean,
): RankedCell[] {
  const ranked: RankedCell[] = [];
  const { shape } = request;
  for (const pool of context.table.index.pools.values()) {
    if (pool.hasGpus !== onGpuWorkers) continue;
    if (
      shape.availabilityZone !== undefined &&
      shape.availabilityZone !== pool.zone
    )
      continue;
    for (const cell of pool.cells.values()) {
      const [first] = cell.workers;
      if (first === undefined) continue;
      if (
        shape.size.cores >= cell.high.cores ||
        shape.size.memoryMb >= cell.high.memoryMb ||
        shape.size.gpus > cell.low.gpus
      )
        continue;
      const zone = request.spread?.get(`zone ${pool.zone}`) ?? 0;
      const rank =
        score.scoreFree(first.unclaimed, first.size, scoring) +
        zone * score.ZONE_WEIGHT;
      ranked.push({ cell, pool, rank });
    }
  }
  return ranked.sort((a, b) => a.rank - b.rank);
}

function pickFromCells(
  ranked: readonly RankedCell[],
  request: PlaceRequest,
  context: PlaceContext,
  scoring: score.ScoreContext,
): rows.WorkerRow | undefined {
  let best: rows.WorkerRow | undefined;
  let bestScore = Number.POSITIVE_INFINITY;
  let scored = 0;
  for (const { cell } of ranked) {
    if (scored >= SUFFICIENT_CANDIDATES) break;
    let inCell = 0;
    for (const worker of cell.workers) {
      if (!isAllowed(worker, request, context)) continue;
      const value = score.scoreWorker(worker, scoring);
      if (value < bestScore) {
        best = worker;
        bestScore = value;
      }
      scored += 1;
      inCell += 1;
      if (inCell >= MAX_CANDIDATES_PER_CELL) break;
    }
  }
  return best;
}

/**
 * Computes the capacity of a worker that a task of a job may use: what is unclaimed, the
 * job's own claim, and claims that begin after the task ends or belong to less urgent jobs.
 */
export function computeAvailableFor(
  worker: rows.WorkerRow,
  request: Pick<PlaceRequest, 'jobId' | 'urgency' | 'endsMs'>,
): resources.Resources {
  const own = ids.urgencies.indexOf(request.urgency);
  const available = { ...worker.unclaimed };
  for (const claim of worker.claims.values())
    if (
      claim.jobId === request.jobId ||
      request.endsMs <= claim.beginsMs ||
      own < ids.urgencies.indexOf(claim.urgency)
    )
      vector.addTo(available, claim.amount, 1);
  return available;
}

function isSchedulable(worker: rows.WorkerRow): boolean {
  return worker.usable && !worker.quarantined && worker.record.state === 'live';
}

function pickClaimedWorker(
  request: PlaceRequest,
  context: PlaceContext,
): rows.WorkerRow | undefined {
  const { shape } = request;
  for (const worker of context.claimedWorkers.values()) {
    if (!isSchedulable(worker) || request.avoidedWorkers.has(worker.id))
      continue;
    const zone = shape.availabilityZone ?? worker.record.availabilityZone;
    if (zone !== worker.record.availabilityZone) continue;
    const available = computeAvailableFor(worker, request);
    if (vector.isWithin(shape.size, available)) return worker;
  }
  return undefined;
}

/** Chooses the worker for one task; undefined when none has room. */
export function placeTask(
  request: PlaceRequest,
  context: PlaceContext,
): rows.WorkerRow | undefined {
  const need = request.shape.size;
  const scoring: score.ScoreContext = {
    need,
    scarceResource: context.scarceResource,
    spread: request.spread,
    avoidedWorker: undefined,
  };
  for (const onGpuWorkers of need.gpus > 0 ? [true] : [false, true]) {
    const ranked = rankCells(request, context, scoring, onGpuWorkers);
    const chosen = pickFromCells(ranked, request, context, scoring);
    if (chosen !== undefined) return chosen;
  }
  return context.claimedWorkers.size > 0
    ? pickClaimedWorker(request, context)
    : undefined;
}

/** Workers of a rack with room for gang members, and for how many (`fits`). */
export interface RackRoom {
  readonly rack: ids.RackName;
  readonly workers: { worker: rows.WorkerRow; fits: number }[];
  fits: number;
}

/** Collects the workers with room for gang members, by rack. */
function collectRacks(
  request: PlaceRequest,
  context: PlaceContext,
): RackRoom[] {
  const racks = new Map<ids.RackName, RackRoom>();
  const { shape } = request;
  for (const pool of context.table.index.pools.values()) {
    if (shape.size.gpus > 0 && !pool.hasGpus) continue;
    const zone = shape.availabilityZone ?? pool.zone;
    if (zone !== pool.zone) continue;
    for (const cell of pool.cells.values())
      for (const worker of cell.workers)
        addRoom(racks, worker, request, context);
  }
  return [...racks.values()];
}

function addRoom(
  racks: Map<ids.RackName, RackRoom>,
  worker: rows.WorkerRow,
  request: PlaceRequest,
  context: PlaceContext,
): void {
  const { size } = request.shape;
  if (request.avoidedWorkers.has(worker.id)) return;
  const available =
    worker.claims.size === 0
      ? worker.unclaimed
      : computeAvailableFor(worker, request);
  const fits = vector.countFits(size, available);
  if (fits === 0) return;
  if (
    size.gpus === 0 &&
    worker.size.gpus > 0 &&
    !request.canUseGpuWorkers &&
    !hasRoomBesideGpus(worker, size, context.averagePerGpu)
  )
    return;
  const { rack } = worker.record;
  let room = racks.get(rack);
  if (room === undefined) {
    room = { rack, workers: [], fits: 0 };
    racks.set(rack, room);
  }
  room.workers.push({ worker, fits });
  room.fits += fits;
}

/**
 * Chooses racks for a gang, one by one: the smallest rack that holds all remaining
 * members, or else the rack with the most room.
 */
export function pickRacks(
  rooms: readonly RackRoom[],
  shape: rows.Shape,
): RackRoom[] | undefined {
  const bySize = [...rooms].sort(
    (a, b) => b.fits - a.fits || (a.rack < b.rack ? -1 : 1),
  );
  const picked: RackRoom[] = [];
  let missing = shape.members;
  while (missing > 0 && picked.length < shape.maxRacks) {
    const rest = bySize.filter((room) => !picked.includes(room));
    const enough = rest.filter((room) => room.fits >= missing).at(-1);
    const next = enough ?? rest[0];
    if (next === undefined) return undefined;
    picked.push(next);
    missing -= next.fits;
  }
  return missing > 0 ? undefined : picked;
}

/** Chooses a worker for every member of a gang, in few racks; undefined unless all fit. */
export function placeGang(
  request: PlaceRequest,
  context: PlaceContext,
): readonly rows.WorkerRow[] | undefined {
  const { shape } = request;
  const picked = pickRacks(collectRacks(request, context), shape);
  if (picked === undefined) return undefined;
  const placed = placeMembers(picked, shape);
  return placed.length === shape.members ? placed : undefined;
}

/** Assigns the members of a gang to the workers of the chosen racks. */
export function placeMembers(
  picked: readonly RackRoom[],
  shape: rows.Shape,
): rows.WorkerRow[] {
  const placed: rows.WorkerRow[] = [];
  for (const room of picked) {
    // Workers with the least room come first, so that whole workers stay free for the next gang.
    const ordered = room.workers.sort(
      (a, b) => a.fits - b.fits || (a.worker.id < b.worker.id ? -1 : 1),
    );
    for (const { worker, fits } of ordered)
      for (let n = 0; n < fits && placed.length < shape.members; n += 1)
        placed.push(worker);
  }
  return placed;
}
