/**
 * Shares of workspaces. A token bucket for each workspace decides which of its jobs are
 * excess, so that a workspace that sends many times its rate is served from what the
 * others leave. In a full pool, the use of each workspace is compared with its share
 * (dominant resource fairness, Ghodsi et al., NSDI 2011), so that jobs within the rate
 * that are large or long can't take the room of others either.
 */
import * as resources from '../types/resources.js';
import type * as states from './state.js';
import * as tables from './tables.js';
import type * as types from './types.js';

/**
 * Time of its rate for which a full bucket holds tokens, in s. Bursts of urgent jobs last a
 * few seconds, and with 5 s the usual variation of arrivals made several percent of the jobs excess.
 */
const BUCKET_SECONDS = 10;
/** Minimum number of tokens in a full bucket: workspaces of less than a job a second may submit a few jobs together. */
const MIN_BUCKET_TOKENS = 10;
/** Token bucket of a workspace, with the jobs that it has classified. */
export interface Bucket {
  tokens: number;
  /** Acceptance time up to which it has been refilled. */
  refilledMs: number;
  /** Jobs of the workspace that this owner knows or has known, restored ones included. */
  accepted: number;
  excess: number;
}

/** Use of a pool by a workspace, as shares of the pool between 0 and 1. */
export interface WorkspaceShare {
  /** Largest of its shares of the pool's cores, memory and GPUs. */
  readonly used: number;
  /** Its weight relative to those of all workspaces that use the pool or wait for it. */
  readonly entitled: number;
}

/** Shares of the workspaces in a pool. */
export interface PoolShares {
  /** Whether running tasks and waiting ones of jobs within their rate need more than the pool has. */
  readonly isFull: boolean;
  /** Whether they do so with the waiting tasks of excess jobs. */
  readonly isFullWithExcess: boolean;
  readonly workspaces: ReadonlyMap<types.WorkspaceName, WorkspaceShare>;
}

/** Jobs and shares of a workspace, for metrics. */
export interface WorkspaceSummary {
  readonly workspace: types.WorkspaceName;
  readonly accepted: number;
  readonly excess: number;
  readonly pools: ReadonlyMap<types.PoolName, WorkspaceShare>;
}

/** What the shares add to the rank of a step. */
export interface Turn {
  readonly isAboveShare: boolean;
  /** Priority of its workspace; 0 where it doesn't count. */
  readonly workspacePriority: number;
}

/** Turn of a step whose pool isn't full, or whose job has no workspace. */
export const USUAL_TURN: Turn = { isAboveShare: false, workspacePriority: 0 };

/**
 * Decides which of the jobs learned since the last round are excess, in the order of their
 * acceptance: a new owner restores jobs in the order of their ids.
 */
export function decideExcess(state: states.State, nowMs: number): void {
  const learned = state.learnedJobs;
  if (learned.length === 0) return;
  state.learnedJobs = [];
  for (const name of state.buckets.keys())
    if (!state.workspaces.has(name)) state.buckets.delete(name);
  learned.sort((a, b) => a.acceptedMs - b.acceptedMs);
  for (const job of learned) {
    const policy = findWorkspace(state, job);
    if (policy !== undefined)
      job.excess = !takeToken(state, policy, job, nowMs);
  }
}

function takeToken(
  state: states.State,
  { name, weight }: types.WorkspacePolicy,
  job: tables.JobRow,
  nowMs: number,
): boolean {
  const capacity = Math.max(MIN_BUCKET_TOKENS, weight * BUCKET_SECONDS);
  // The clock of the node that accepted the job may be ahead.
  const acceptedMs = Math.min(job.acceptedMs, nowMs);
  const bucket = state.buckets.get(name) ?? {
    tokens: capacity,
    refilledMs: acceptedMs,
    accepted: 0,
    excess: 0,
  };
  state.buckets.set(name, bucket);
  const refillMs = Math.max(0, acceptedMs - bucket.refilledMs);
  bucket.refilledMs += refillMs;
  bucket.tokens = Math.min(
    capacity,
    bucket.tokens + (refillMs * weight) / 1_000,
  );
  bucket.accepted += 1;
  if (bucket.tokens < 1) {
    bucket.excess += 1;
    return false;
  }
  bucket.tokens -= 1;
  return true;
}

/** Returns the current policy of a job's workspace; undefined when the job or the configuration names none. */
function findWorkspace(
  state: states.State,
  { job }: tables.JobRow,
): types.WorkspacePolicy | undefined {
  return job.workspace === undefined
    ? undefined
    : state.workspaces.get(job.workspace);
}

/** Measures the shares of all workspaces in all pools; empty when the configuration names no workspaces. */
export function measureShares(
  state: states.State,
  waiting: readonly tables.StepRow[],
  pools: Iterable<types.PoolName>,
): ReadonlyMap<types.PoolName, PoolShares> {
  const shares = new Map<types.PoolName, PoolShares>();
  if (state.workspaces.size === 0) return shares;
  const sums = new Map<types.PoolName, PoolSums>();
  for (const name of pools) sums.set(name, createPoolSums());
  for (const vm of state.vms.values()) addVm(state, sums, vm);
  for (const step of waiting) {
    const { job } = step.occurrence;
    const pool = sums.get(job.policy.pool);
    if (pool === undefined) continue;
    tables.addAmount(
      job.yields ? pool.waitingExcess : pool.waiting,
      tables.getNeed(step.spec),
      step.waitingCount,
    );
    const policy = findWorkspace(state, job);
    if (policy !== undefined) getUse(pool, policy.name);
  }
  for (const [name, pool] of sums) {
    tables.addAmount(pool.waiting, pool.used, 1);
    tables.addAmount(pool.waitingExcess, pool.waiting, 1);
    shares.set(name, {
      isFull: computeDominant(pool.waiting, pool.capacity) > 1,
      isFullWithExcess: computeDominant(pool.waitingExcess, pool.capacity) > 1,
      workspaces: computeShares(state, pool),
    });
  }
  return shares;
}

/** Sums of a pool's resources. */
interface PoolSums {
  readonly capacity: tables.Amount;
  readonly used: tables.Amount;
  readonly waiting: tables.Amount;
  readonly waitingExcess: tables.Amount;
  readonly useByWorkspace: Map<types.WorkspaceName, tables.Amount>;
}

function createPoolSums(): PoolSums {
  return {
    capacity: { ...resources.noResources },
    used: { ...resources.noResources },
    waiting: { ...resources.noResources },
    waitingExcess: { ...resources.noResources },
    useByWorkspace: new Map(),
  };
}

function getUse(pool: PoolSums, name: types.WorkspaceName): tables.Amount {
  const use = pool.useByWorkspace.get(name) ?? { ...resources.noResources };
  pool.useByWorkspace.set(name, use);
  return use;
}

function addVm(
  state: states.State,
  sums: ReadonlyMap<types.PoolName, PoolSums>,
  vm: tables.VmRow,
): void {
  const { entry } = vm;
  const pool = entry === undefined ? undefined : sums.get(entry.pool);
  if (entry === undefined || pool === undefined) return;
  // Runs on VMs that get no new ones are no reason to give a workspace less of the others.
  if (!vm.usable || entry.draining) return;
  tables.addAmount(pool.capacity, entry.capacity, 1);
  tables.addAmount(pool.used, vm.used, 1);
  for (const { task } of vm.runs) {
    const policy = findWorkspace(state, task.step.occurrence.job);
    if (policy !== undefined)
      tables.addAmount(
        getUse(pool, policy.name),
        tables.getNeed(task.step.spec),
        1,
      );
  }
}

function computeShares(
  state: states.State,
  pool: PoolSums,
): ReadonlyMap<types.WorkspaceName, WorkspaceShare> {
  const getWeight = (name: types.WorkspaceName): number =>
    state.workspaces.get(name)?.weight ?? 0;
  let weights = 0;
  for (const name of pool.useByWorkspace.keys()) weights += getWeight(name);
  const computed = new Map<types.WorkspaceName, WorkspaceShare>();
  for (const [name, use] of pool.useByWorkspace)
    computed.set(name, {
      used: computeDominant(use, pool.capacity),
      entitled: weights > 0 ? getWeight(name) / weights : 0,
    });
  return computed;
}

/** Computes the largest share of a capacity that an amount takes of any resource. */
function computeDominant(
  amount: resources.Resources,
  capacity: resources.Resources,
): number {
  let dominant = 0;
  for (const kind of resources.resourceNames)
    if (capacity[kind] > 0)
      dominant = Math.max(dominant, amount[kind] / capacity[kind]);
  return dominant;
}

/** Finds the share of a job's workspace in its pool as of the last round; undefined for a job without one. */
function findShare(
  state: states.State,
  job: tables.JobRow,
): WorkspaceShare | undefined {
  const { workspace } = job.job;
  return workspace === undefined
    ? undefined
    : state.shares.get(job.policy.pool)?.workspaces.get(workspace);
}

/** Finds what the shares add to the rank of a job's steps. */
export function findTurn(state: states.State, job: tables.JobRow): Turn {
  const policy = findWorkspace(state, job);
  const pool = state.shares.get(job.policy.pool);
  const isFull = job.excess ? pool?.isFullWithExcess : pool?.isFull;
  if (policy === undefined || isFull !== true) return USUAL_TURN;
  const share = findShare(state, job);
  return {
    isAboveShare: share !== undefined && share.used > share.entitled,
    workspacePriority: policy.priority,
  };
}

/** What the workspace of a job adds to its order, for operators. */
export interface WorkspaceView {
  readonly name: types.WorkspaceName;
  readonly isExcess: boolean;
  /** Use and share of its pool as of the last round, between 0 and 1. */
  readonly share: WorkspaceShare | undefined;
}

/** Builds the view of a job's workspace; empty for a job without one. */
export function buildView(
  state: states.State,
  job: tables.JobRow,
): { readonly workspace?: WorkspaceView } {
  const name = job.job.workspace;
  return name === undefined
    ? {}
    : {
        workspace: {
          name,
          isExcess: job.excess,
          share: findShare(state, job),
        },
      };
}

/** Returns whether what is reserved for a job is open to another one. */
export function isYieldedTo(job: tables.JobRow, other: tables.JobRow): boolean {
  return job.yields && !other.yields;
}

/** Summarizes the jobs of each workspace of the configuration and its shares as of the last round. */
export function listWorkspaces(state: states.State): WorkspaceSummary[] {
  return [...state.workspaces.keys()].map((workspace) => {
    const bucket = state.buckets.get(workspace);
    const pools = new Map<types.PoolName, WorkspaceShare>();
    for (const [pool, { workspaces }] of state.shares) {
      const share = workspaces.get(workspace);
      if (share !== undefined) pools.set(pool, share);
    }
    return {
      workspace,
      accepted: bucket?.accepted ?? 0,
      excess: bucket?.excess ?? 0,
      pools,
    };
  });
}
