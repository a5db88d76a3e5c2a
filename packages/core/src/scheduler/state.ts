/** The state of a scheduler. */
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

/** A task that is requeued after a delay. */
export interface DelayedTask {
  readonly dueMs: number;
  readonly job: ids.JobId;
  /** Index of the task; undefined for a whole gang. */
  readonly index: number | undefined;
}

/** Capacity kept for a starving job, or freed for a job by preemption. */
export interface Reservation {
  readonly job: ids.JobId;
  readonly why: 'starving' | 'preemption';
  readonly workers: Map<ids.VmId, placement.WorkerRow>;
  readonly madeMs: number;
  /** When the job is expected to be able to start. */
  beginsMs: number;
  /** When the reservation expires. */
  untilMs: number;
  /** Number of tasks that it has capacity for. */
  members: number;
}

/** All tables of a scheduler. */
export interface State {
  readonly options: scheduler.SchedulerOptions;
  readonly fleet: fleet.Fleet;
  readonly queue: queue.Queue;
  readonly health: health.Health;
  readonly jobs: Map<ids.JobId, rows.JobRow>;
  /** Ended jobs, oldest first; the number of those kept is bounded. */
  readonly closedJobs: Set<ids.JobId>;
  readonly attempts: Map<ids.AttemptId, placement.Attempt>;
  /** Attempts that were adopted from workers and whose job isn't known yet. */
  readonly orphanAttempts: Set<ids.AttemptId>;
  readonly teamUse: Map<ids.TeamName, vector.Amount>;
  readonly quotas: Map<ids.TeamName, resources.Resources>;
  readonly delayedTasks: heap.Heap<DelayedTask>;
  /** Jobs that even an idle fleet could not hold, with the number of their waiting tasks. */
  readonly unplaceableJobs: Map<rows.JobRow, number>;
  /** Gangs that may have live or ended members beside waiting ones, with the time since when. */
  readonly incompleteGangs: Map<rows.JobRow, number>;
  /** Number of attempts with reclaimable capacity, by worker. */
  readonly reclaimableCounts: Map<placement.WorkerRow, number>;
  /** Earliest time of the next plan for a starving job. */
  nextPlanMs: number;
  readonly reservations: Map<ids.JobId, Reservation>;
  /** Commands that the next tick returns. */
  readonly pendingCommands: scheduler.SchedulerCommand[];
  /** Moving average by class of checkpoints that saved the work (1) or did not (0). */
  readonly checkpointRetention: Map<string, number>;
  /** Moving average by class of the ratio of actual to declared run time. */
  readonly runTimeRatios: Map<string, number>;
  release: string;
  classes: ReadonlyMap<string, release.ClassEntry>;
  teams: ReadonlyMap<ids.TeamName, release.TeamEntry>;
  /** Urgencies for which this scheduler has accepted jobs that need GPUs. */
  readonly gpuUrgencies: Set<ids.Urgency>;
  floors: Readonly<Record<ids.Urgency, number>>;
  /** Shapes by key, shared between jobs to save memory and time. */
  readonly shapes: Map<string, placement.Shape>;
  /** Cache of which shapes fit only with workers that have GPUs; valid for one list version. */
  readonly gpuOnlyShapes: {
    listVersion: number;
    readonly needsGpuWorkers: Map<string, boolean>;
  };
  /** Average cores and memory that a task uses per GPU; undefined before the first GPU job. */
  averagePerGpu: resources.Resources | undefined;
  nextOrder: number;
}

/** Creates a state with empty tables. */
export function createState(options: scheduler.SchedulerOptions): State {
  return {
    options,
    fleet: fleet.createFleet(),
    queue: queue.createQueue(),
    health: health.createHealth(),
    jobs: new Map(),
    closedJobs: new Set(),
    attempts: new Map(),
    orphanAttempts: new Set(),
    teamUse: new Map(),
    quotas: new Map(),
    delayedTasks: new heap.Heap((a, b) => a.dueMs - b.dueMs),
    unplaceableJobs: new Map(),
    incompleteGangs: new Map(),
    reclaimableCounts: new Map(),
    nextPlanMs: 0,
    reservations: new Map(),
    pendingCommands: [],
    checkpointRetention: new Map(),
    runTimeRatios: new Map(),
    release: 'none',
    classes: new Map(),
    teams: new Map(),
    gpuUrgencies: new Set(),
    floors: floors.computeFloors([]),
    shapes: new Map(),
    gpuOnlyShapes: { listVersion: 0, needsGpuWorkers: new Map() },
    averagePerGpu: undefined,
    nextOrder: 0,
  };
}

/** Returns the quota of a team; undefined when it has none. */
export function getQuota(
  state: State,
  team: ids.TeamName,
): resources.Resources | undefined {
  return state.quotas.get(team) ?? state.teams.get(team)?.quota;
}

/** Returns the use of a team, to be changed in place; creates it if needed. */
export function getTeamUse(state: State, team: ids.TeamName): vector.Amount {
  let use = state.teamUse.get(team);
  if (use === undefined) {
    use = vector.createAmount();
    state.teamUse.set(team, use);
  }
  return use;
}
