/**
 * Index of workers by unclaimed capacity. Each zone has one pool of workers without
 * GPUs and one of workers with GPUs; a pool groups its workers into cells by the level
 * of unclaimed cores, memory and GPUs. A lookup visits the cells, whose number depends
 * on the levels and not on the size of the fleet, and a few workers of the best cells.
 */
import type * as resources from '../types/resources.js';
import type * as rows from './rows.js';

/** Position of a worker in the index. */
export interface IndexPosition {
  cell: Cell | undefined;
  position: number;
}

/** Workers with about the same unclaimed capacity. */
export interface Cell {
  readonly key: number;
  /** Lower bound of the unclaimed capacity, inclusive. */
  readonly low: resources.Resources;
  /** Upper bound of the unclaimed capacity: exclusive for cores and memory, inclusive for GPUs. */
  readonly high: resources.Resources;
  readonly workers: rows.WorkerRow[];
}

/** Workers of one zone, with or without GPUs. */
export interface Pool {
  readonly zone: string;
  readonly hasGpus: boolean;
  readonly cells: Map<number, Cell>;
}

/** Index of workers by unclaimed capacity. */
export interface CapacityIndex {
  readonly pools: ReadonlyMap<string, Pool>;
  /** Moves a worker to the cell for its unclaimed capacity. */
  update(worker: rows.WorkerRow): void;
  remove(worker: rows.WorkerRow): void;
}

/** Lower bounds of the levels of cores. */
const coreLevels = [0, 0.5, 1, 2, 3, 4, 6, 8, 12, 16, 24, 32, 48, 64, 96, 128];
/** Lower bounds of the levels of memory, 2,048 MB per core. */
const memoryLevelsMb = coreLevels.map((level) => level * 2048);

function findLevel(levels: readonly number[], value: number): number {
  let level = levels.length - 1;
  while (level > 0 && value < (levels[level] ?? 0)) level -= 1;
  return level;
}

function buildCell(key: number, cores: number, memory: number, gpus: number) {
  const cell: Cell = {
    key,
    low: {
      cores: coreLevels[cores] ?? 0,
      memoryMb: memoryLevelsMb[memory] ?? 0,
      gpus,
    },
    high: {
      cores: coreLevels[cores + 1] ?? Number.POSITIVE_INFINITY,
      memoryMb: memoryLevelsMb[memory + 1] ?? Number.POSITIVE_INFINITY,
      gpus,
    },
    workers: [],
  };
  return cell;
}

/** Creates an empty index. */
export function createIndex(): CapacityIndex {
  const pools = new Map<string, Pool>();

  function findPool(worker: rows.WorkerRow): Pool {
    const zone = worker.record.availabilityZone;
    const hasGpus = worker.size.gpus > 0;
    const name = `${zone}/${hasGpus ? 'gpu' : 'general'}`;
    let pool = pools.get(name);
    if (pool === undefined) {
      pool = { zone, hasGpus, cells: new Map() };
      pools.set(name, pool);
    }
    return pool;
  }

  function remove(worker: rows.WorkerRow): void {
    const { cell, position } = worker.indexPosition;
    if (cell === undefined) return;
    const last = cell.workers.pop();
    if (last !== undefined && last !== worker) {
      cell.workers[position] = last;
      last.indexPosition.position = position;
    }
    worker.indexPosition.cell = undefined;
  }

  function update(worker: rows.WorkerRow): void {
    const { unclaimed } = worker;
    const cores = findLevel(coreLevels, unclaimed.cores);
    const memory = findLevel(memoryLevelsMb, unclaimed.memoryMb);
    const gpus = Math.max(0, Math.min(63, unclaimed.gpus));
    const key = (cores * 32 + memory) * 64 + gpus;
    const pool = findPool(worker);
    let cell = pool.cells.get(key);
    if (cell !== undefined && worker.indexPosition.cell === cell) return;
    remove(worker);
    if (cell === undefined) {
      cell = buildCell(key, cores, memory, gpus);
      pool.cells.set(key, cell);
    }
    worker.indexPosition.cell = cell;
    worker.indexPosition.position = cell.workers.length;
    cell.workers.push(worker);
  }

  return { pools, update, remove };
}
