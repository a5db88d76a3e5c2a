/** All tables of a scheduler, created empty. */
import * as heap from 'heap-js';
import type * as ids from '../types/ids.js';
import type * as release from '../types/release.js';
import type * as resources from '../types/resources.js';
import type * as scheduler from '../types/scheduler.js';
import * as health from '../health/health.js';
import * as fleet from '../placement/fleet.js';
import type * as placement from '../placement/rows.js';
import * as vector from '../placement/vector.js';
import * as floors from '../queue/floors.js';
import * as queue from '../queue/queue.js';
import type * as rows from './rows.js';

/** A task that may start again later. */
export interface DelayedTask {
  readonly dueMs: number;
  readonly job: ids.JobId;
  /** Undefined for a whole gang. */
  readonly index: number | undefined;
}

/** Capacity kept for a job that would starve, or that preemption freed for it. */
export interface Reservation {
  readonly job: ids.JobId;
  readonly why: 'starving' | 'preemption';
  readonly workers: Map<ids.VmId, placement.WorkerRow>;
  readonly madeMs: number;
  beginsMs: number;
  untilMs: number;
  /** Tasks that it has room for. */
  members: number;
}

/** The tables. */
export interface State {
  readonly options: scheduler.SchedulerOptions;
  readonly fleet: fleet.Fleet;
  readonly queue: queue.Queue;
  readonly health: health.Health;
  readonly jobs: Map<ids.JobId, rows.JobRow>;
  /** Ended jobs, oldest first; only the last ones are kept. */
  readonly closed: Set<ids.JobId>;
  readonly attempts: Map<ids.AttemptId, placement.Attempt>;
  /** Attempts found on workers whose job isn't known yet. */
  readonly orphans: Set<ids.AttemptId>;
  readonly teamUse: Map<ids.TeamName, vector.Amount>;
  readonly quotas: Map<ids.TeamName, resources.Resources>;
  readonly delayed: heap.Heap<DelayedTask>;
  /** Jobs that no worker of the fleet could hold, with their waiting tasks. */
  readonly unfit: Map<rows.JobRow, number>;
  /** Gangs with live members and members that wait, since when. */
  readonly brokenGangs: Map<rows.JobRow, number>;
  /** Workers with attempts whose capacity can be taken back, and how many. */
  readonly reclaimable: Map<placement.WorkerRow, number>;
  /** No plan is made before. */
  nextPlanMs: number;
  readonly reservations: Map<ids.JobId, Reservation>;
  /** Commands to return from the next ticks. */
  readonly outbox: scheduler.SchedulerCommand[];
  /** Share of the work that checkpoints of a class kept lately, 0 to 1. */
  readonly checkpoints: Map<string, number>;
  /** Ratio of actual to declared run time of a class lately. */
  readonly stretch: Map<string, number>;
  release: string;
  classes: ReadonlyMap<string, release.ClassEntry>;
  teams: ReadonlyMap<ids.TeamName, release.TeamEntry>;
  /** Urgencies of which jobs with GPUs were accepted here. */
  readonly withGpus: Set<ids.Urgency>;
  floors: Readonly<Record<ids.Urgency, number>>;
  /** Shapes by key, shared by jobs to save memory and time. */
  readonly shapes: Map<string, placement.Shape>;
  /** Whether shapes fit only on workers with GPUs, for one list of workers. */
  readonly gpuShapes: { listed: number; readonly needed: Map<string, boolean> };
  /** Cores and memory that work on one GPU takes with it; undefined before the first. */
  perGpu: resources.Resources | undefined;
  nextOrder: number;
}

/** Creates empty tables. */
export function createState(options: scheduler.SchedulerOptions): State {
  return {
    options,
    fleet: fleet.createFleet(),
    queue: queue.createQueue(),
    health: health.createHealth(),
    jobs: new Map(),
    closed: new Set(),
    attempts: new Map(),
    orphans: new Set(),
    teamUse: new Map(),
    quotas: new Map(),
    delayed: new heap.Heap((a, b) => a.dueMs - b.dueMs),
    unfit: new Map(),
    brokenGangs: new Map(),
    reclaimable: new Map(),
    nextPlanMs: 0,
    reservations: new Map(),
    outbox: [],
    checkpoints: new Map(),
    stretch: new Map(),
    release: 'none',
    classes: new Map(),
    teams: new Map(),
    withGpus: new Set(),
    floors: floors.computeFloors([]),
    shapes: new Map(),
    gpuShapes: { listed: 0, needed: new Map() },
    perGpu: undefined,
    nextOrder: 0,
  };
}

/** Reads the quota of a team; undefined when it has none. */
export function readQuota(
  state: State,
  team: ids.TeamName,
): resources.Resources | undefined {
  return state.quotas.get(team) ?? state.teams.get(team)?.quota;
}

/** Returns the use of a team for changing it. */
export function getTeamUse(state: State, team: ids.TeamName): vector.Amount {
  let use = state.teamUse.get(team);
  if (use === undefined) {
    use = vector.createAmount();
    state.teamUse.set(team, use);
  }
  return use;
}
