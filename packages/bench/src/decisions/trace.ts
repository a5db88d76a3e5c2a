/** Types of a trace: a fleet, jobs with the actual behaviour of their tasks, and failures of workers. */
import type * as core from '@flamingoward/core';

/** A job of a trace and the actual behaviour of its tasks, which the scheduler doesn't know. */
export interface TraceJob {
  readonly id: string;
  /** Time of arrival. */
  readonly atMs: number;
  readonly spec: core.jobs.JobSpec;
  readonly urgency: core.ids.Urgency;
  /** Actual run time of a task, in ms. */
  readonly runMs: number;
  /** True when each attempt fails one second after its start, on any worker. */
  readonly fails?: boolean;
  /** Memory use at the end of the run as a share of the declared memory; it grows linearly. */
  readonly finalMemoryShare?: number;
  /** Time at which the job is cancelled. */
  readonly cancelMs?: number;
  /** True for jobs of the flood, which the reference replay without a flood omits. */
  readonly flood?: boolean;
}

/** A change of the fleet: a worker is removed, or fails each attempt from then on. */
export type FleetChange =
  | {
      readonly atMs: number;
      readonly change: 'remove';
      readonly worker: string;
    }
  | {
      readonly atMs: number;
      readonly change: 'break';
      readonly worker: string;
    };

/** A trace. */
export interface Trace {
  readonly name: string;
  readonly workers: readonly core.workers.VmRecord[];
  readonly classes: readonly core.releases.ClassEntry[];
  readonly teams: readonly core.releases.TeamEntry[];
  readonly jobs: readonly TraceJob[];
  readonly fleetChanges: readonly FleetChange[];
  readonly endMs: number;
  /** Interval in which packing and floors are measured. */
  readonly window: { readonly fromMs: number; readonly toMs: number };
  /** Interval between worker reports in ms; 0 disables them. */
  readonly reportIntervalMs: number;
  readonly measures: readonly ('packing' | 'floors')[];
}
