/** Chooses workers for tasks and gangs among the cells of the index. */
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
  /** Workers on which the job failed. */
  readonly avoid: ReadonlySet<ids.VmId>;
  readonly spread: score.Spread | undefined;
  /** Expected end of the task if it starts now, for backfill. */
  readonly endsMs: number;
  /** True when work without GPUs may use idle workers with GPUs. */
  readonly canUseGpuWorkers: boolean;
}

/** What placement knows of the whole shard. */
export interface PlaceContext {
  readonly table: fleet.Fleet;
  /** The resource that runs out first; per tick. */
  readonly scarce: resources.ResourceName;
  /** Cores and memory that work on one GPU usually takes with it. */
  readonly perGpu: resources.Resources;
  /** Workers that hold claims. */
  readonly claimed: ReadonlyMap<ids.VmId, rows.WorkerRow>;
}

const CELL_CANDIDATES = 8;
const ENOUGH_CANDIDATES = 12;

interface RankedCell {
  readonly cell: buckets.Cell;
  readonly pool: buckets.Pool;
  readonly rank: number;
}

/** Tells whether a task without GPUs leaves enough beside the free GPUs of a worker. */
function hasRoomBesideGpus(
  worker: rows.WorkerRow,
  need: resources.Resources,
  perGpu: resources.Resources,
): boolean {
  const { open } = worker;
  return (
    open.cores - need.cores >= open.gpus * perGpu.cores &&
    open.memoryMb - need.memoryMb >= open.gpus * perGpu.memoryMb
  );
}

function isAllowed(
  worker: rows.WorkerRow,
  request: PlaceRequest,
  context: PlaceContext,
): boolean {
  const { size } = request.shape;
  if (!vector.isWithin(size, worker.open)) return false;
  if (request.avoid.has(worker.id)) return false;
  if (size.gpus > 0 || worker.size.gpus === 0) return true;
  return (
    request.canUseGpuWorkers || hasRoomBesideGpus(worker, size, context.perGpu)
  );
}

function rankCells(
  request: PlaceRequest,
  context: PlaceContext,
  scoring: score.ScoreContext,
  wantsGpus: boolean,
): RankedCell[] {
  const ranked: RankedCell[] = [];
  const { shape } = request;
  for (const pool of context.table.index.pools.values()) {
    if (pool.hasGpus !== wantsGpus) continue;
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
        score.scoreFree(first.open, first.size, scoring) +
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
  let seen = 0;
  for (const { cell } of ranked) {
    if (seen >= ENOUGH_CANDIDATES) break;
    let inCell = 0;
    for (const worker of cell.workers) {
      if (!isAllowed(worker, request, context)) continue;
      const value = score.scoreWorker(worker, scoring);
      if (value < bestScore) {
        best = worker;
        bestScore = value;
      }
      seen += 1;
      inCell += 1;
      if (inCell >= CELL_CANDIDATES) break;
    }
  }
  return best;
}

/** Free capacity of a worker for a job, with its own claim and with what others don't need yet. */
export function computeOpenFor(
  worker: rows.WorkerRow,
  request: Pick<PlaceRequest, 'jobId' | 'urgency' | 'endsMs'>,
): resources.Resources {
  const own = ids.urgencies.indexOf(request.urgency);
  const open = { ...worker.open };
  for (const claim of worker.claims.values())
    if (
      claim.jobId === request.jobId ||
      request.endsMs <= claim.beginsMs ||
      own < ids.urgencies.indexOf(claim.urgency)
    )
      vector.addTo(open, claim.amount, 1);
  return open;
}

function isOpenWorker(worker: rows.WorkerRow): boolean {
  return worker.usable && !worker.quarantined && worker.record.state === 'live';
}

function pickClaimed(
  request: PlaceRequest,
  context: PlaceContext,
): rows.WorkerRow | undefined {
  const { shape } = request;
  for (const worker of context.claimed.values()) {
    if (!isOpenWorker(worker) || request.avoid.has(worker.id)) continue;
    const zone = shape.availabilityZone ?? worker.record.availabilityZone;
    if (zone !== worker.record.availabilityZone) continue;
    const open = computeOpenFor(worker, request);
    if (vector.isWithin(shape.size, open)) return worker;
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
    scarce: context.scarce,
    spread: request.spread,
    avoid: undefined,
  };
  for (const wantsGpus of need.gpus > 0 ? [true] : [false, true]) {
    const ranked = rankCells(request, context, scoring, wantsGpus);
    const found = pickFromCells(ranked, request, context, scoring);
    if (found !== undefined) return found;
  }
  return context.claimed.size > 0 ? pickClaimed(request, context) : undefined;
}

/** Workers of a rack with room for members. */
export interface RackRoom {
  readonly rack: ids.RackName;
  readonly workers: { worker: rows.WorkerRow; fits: number }[];
  fits: number;
}

/** Workers of each rack that have room for members, and for how many. */
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
  if (request.avoid.has(worker.id)) return;
  const open =
    worker.claims.size === 0 ? worker.open : computeOpenFor(worker, request);
  const fits = vector.countFits(size, open);
  if (fits === 0) return;
  if (
    size.gpus === 0 &&
    worker.size.gpus > 0 &&
    !request.canUseGpuWorkers &&
    !hasRoomBesideGpus(worker, size, context.perGpu)
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

/** Chooses the racks: the one that holds the rest with the least left over, or the largest. */
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

/** Chooses a worker for every member of a gang, in few racks; undefined when not all fit. */
export function placeGang(
  request: PlaceRequest,
  context: PlaceContext,
): readonly rows.WorkerRow[] | undefined {
  const { shape } = request;
  const picked = pickRacks(collectRacks(request, context), shape);
  if (picked === undefined) return undefined;
  const placed = collectMembers(picked, shape);
  return placed.length === shape.members ? placed : undefined;
}

/** Assigns the members to the workers of the racks, fuller workers first. */
export function collectMembers(
  picked: readonly RackRoom[],
  shape: rows.Shape,
): rows.WorkerRow[] {
  const placed: rows.WorkerRow[] = [];
  for (const room of picked) {
    // Fuller workers first, so that whole workers stay free for the next gang.
    const ordered = room.workers.sort(
      (a, b) => a.fits - b.fits || (a.worker.id < b.worker.id ? -1 : 1),
    );
    for (const { worker, fits } of ordered)
      for (let n = 0; n < fits && placed.length < shape.members; n += 1)
        placed.push(worker);
  }
  return placed;
}
