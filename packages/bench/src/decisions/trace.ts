/** What a trace holds: a fleet, jobs with their actual behaviour, and faults. */
import type * as core from '@flamingoward/core';

/** A job of a trace, with what its tasks really do. */
export interface TraceJob {
  readonly id: string;
  readonly atMs: number;
  readonly spec: core.jobs.JobSpec;
  readonly urgency: core.ids.Urgency;
  /** Actual run time of a task, in ms. */
  readonly runMs: number;
  /** True when each attempt fails after a second, wherever it runs. */
  readonly fails?: boolean;
  /** Memory at the end of the run as a share of the declared memory; it grows evenly. */
  readonly growth?: number;
  readonly cancelMs?: number;
  /** True for jobs that the comparison without the flood leaves out. */
  readonly flood?: boolean;
}

/** A change of the fleet. */
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

/** A seeded trace. */
export interface Trace {
  readonly name: string;
  readonly workers: readonly core.workers.VmRecord[];
  readonly classes: readonly core.releases.ClassEntry[];
  readonly teams: readonly core.releases.TeamEntry[];
  readonly jobs: readonly TraceJob[];
  readonly changes: readonly FleetChange[];
  readonly endMs: number;
  /** Part of the trace in which packing and floors are measured. */
  readonly window: { readonly fromMs: number; readonly toMs: number };
  /** Time between reports of the workers in ms; 0 for none. */
  readonly reportMs: number;
  readonly measures: readonly ('packing' | 'floors')[];
}
