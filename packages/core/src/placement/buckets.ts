/**
 * Index of workers by free capacity. Each zone has one pool of workers without GPUs
 * and one with them; a pool groups its workers into cells by the level of free cores,
 * memory and GPUs. A lookup visits the cells, whose number is bounded by the levels
 * and not by the fleet, and a few workers of the best cells.
 */
import type * as resources from '../types/resources.js';
import type * as rows from './rows.js';

/** Where the index keeps a worker. */
export interface IndexPlace {
  cell: Cell | undefined;
  position: number;
}

/** Workers with about the same free capacity. */
export interface Cell {
  readonly key: number;
  /** Least that a worker of this cell has free. */
  readonly low: resources.Resources;
  /** More than any worker of this cell has free. */
  readonly high: resources.Resources;
  readonly workers: rows.WorkerRow[];
}

/** Workers of one zone, with or without GPUs. */
export interface Pool {
  readonly zone: string;
  readonly hasGpus: boolean;
  readonly cells: Map<number, Cell>;
}

/** The index. */
export interface CapacityIndex {
  readonly pools: ReadonlyMap<string, Pool>;
  /** Puts a worker where its open capacity belongs. */
  update(worker: rows.WorkerRow): void;
  remove(worker: rows.WorkerRow): void;
}

const coreLevels = [0, 0.5, 1, 2, 3, 4, 6, 8, 12, 16, 24, 32, 48, 64, 96, 128];
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
    const { cell, position } = worker.place;
    if (cell === undefined) return;
    const last = cell.workers.pop();
    if (last !== undefined && last !== worker) {
      cell.workers[position] = last;
      last.place.position = position;
    }
    worker.place.cell = undefined;
  }

  function update(worker: rows.WorkerRow): void {
    const { open } = worker;
    const cores = findLevel(coreLevels, open.cores);
    const memory = findLevel(memoryLevelsMb, open.memoryMb);
    const gpus = Math.max(0, Math.min(63, open.gpus));
    const key = (cores * 32 + memory) * 64 + gpus;
    const pool = findPool(worker);
    let cell = pool.cells.get(key);
    if (cell !== undefined && worker.place.cell === cell) return;
    remove(worker);
    if (cell === undefined) {
      cell = buildCell(key, cores, memory, gpus);
      pool.cells.set(key, cell);
    }
    worker.place.cell = cell;
    worker.place.position = cell.workers.length;
    cell.workers.push(worker);
  }

  return { pools, update, remove };
}
