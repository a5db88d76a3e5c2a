/**
 * The grown job model: jobs of steps, steps of tasks, occurrences of scheduled jobs,
 * and what the scheduler exchanges with the parts around it. A batch job is one step,
 * a gang job one step whose tasks start together, a service job one step that lasts.
 */
import type * as ids from '../types/ids.js';
import type * as resources from '../types/resources.js';

/** Name of a queue of the configuration in force. */
export type QueueName = string;

/** Set of backend VMs that run the work of one service. */
export type PoolName = string;

/** Node that asks for advice; empty for the owner's own. */
export type HelperName = string;

/** One life of a VM, in ms since 1970 at its start; a restarted VM has a later one. */
export type VmLife = number;

/** What the tasks of one step need and how they belong together. */
export interface StepSpec {
  readonly count: number;
  /** Need of each task. */
  readonly size: resources.Resources;
  /** Rough run time of a task, in ms. */
  readonly estimateMs: number;
  /** Earlier steps whose tasks must all be done first. */
  readonly after: readonly number[];
  /** The tasks save their progress and can resume from it. */
  readonly savesProgress: boolean;
  /** All tasks start together and end together. */
  readonly gang: boolean;
  /** The tasks run much slower when they span racks. */
  readonly oneRack: boolean;
  /** Label that a VM must have. */
  readonly label: string | undefined;
  /** Rack that holds the data; the tasks run much slower elsewhere. */
  readonly dataRack: ids.RackName | undefined;
  /** Most tasks of the step on one VM. */
  readonly maxPerVm: number | undefined;
  /** Copies of a task may run in parallel. */
  readonly allowsCopies: boolean;
  /** The tasks run until the job is cancelled and are replaced whenever they end. */
  readonly lasts: boolean;
  /** Tasks of one image behave alike. */
  readonly image: string | undefined;
  /** Latency tail that a lasting task must stay below, in ms. */
  readonly targetMs: number | undefined;
  /** The tasks take only the processor time that others leave unused. */
  readonly fills: boolean;
  /** Lasting tasks that the scheduler may have away at the same time. */
  readonly mayMiss: number | undefined;
}

/** When a scheduled job runs. */
export interface Schedule {
  readonly times: number;
  /** Unix ms of the first occurrence. */
  readonly firstAtMs: number;
  readonly intervalMs: number;
}

/** A job as its caller submitted it. */
export interface Job {
  readonly id: ids.JobId;
  readonly queue: QueueName;
  /** Opaque text for the VMs. */
  readonly payload: string;
  readonly steps: readonly StepSpec[];
  readonly schedule: Schedule | undefined;
  /** Version of the configuration under which it was accepted. */
  readonly configVersion: number;
  /** Unix ms at which it was accepted. */
  readonly acceptedAtMs: number;
  /** Policy of its queue when it was accepted; a newer one of the configuration goes before it. */
  readonly policy: QueuePolicy;
}

/** Cost of advice about the VMs that may run a step. */
export interface AdvicePolicy {
  readonly fixedMs: number;
  readonly perVmMs: number;
  readonly validMs: number;
}

/** What the configuration says of a queue. */
export interface QueuePolicy {
  readonly name: QueueName;
  readonly pool: PoolName;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Failed runs after which a task, and its job, has failed. */
  readonly attempts: number;
  /** Factor on the chain of work that the objective allows. */
  readonly stretch: number;
  /** Time that the objective allows on top, in ms. */
  readonly slackMs: number;
  readonly advice: AdvicePolicy | undefined;
}

/** A VM as it is announced. */
export interface VmEntry {
  readonly id: ids.VmId;
  readonly address: ids.Address;
  readonly life: VmLife | undefined;
  readonly pool: PoolName;
  readonly availabilityZone: ids.AvailabilityZone;
  readonly rack: ids.RackName | undefined;
  readonly labels: readonly string[];
  readonly capacity: resources.Resources;
  readonly draining: boolean;
}

/** Name of a task: job, occurrence, step and index. */
export interface TaskKey {
  readonly job: ids.JobId;
  readonly occurrence: number;
  readonly step: number;
  readonly index: number;
}

/** A task that a VM lists as running. */
export interface ListedRun {
  readonly task: TaskKey;
  readonly run: number;
  /** Saved progress; empty for none. */
  readonly saved: string;
  /** Progress, 0 to 100. */
  readonly percent: number;
  /** Latency tail in ms of a task that serves, cores in use of any other task. */
  readonly load: number;
}

/** How a run ended. */
export type RunEnd =
  | 'done'
  | 'failed'
  | 'stopped'
  /** Its VM's lease ran out. */
  | 'lapsed'
  /** Another member of its gang ended. */
  | 'broken'
  /** It waited too long for the other members of its gang. */
  | 'alone';

/** An end that a VM lists. */
export interface ListedEnd {
  /** Rises within one life of the VM. */
  readonly number: number;
  readonly task: TaskKey;
  readonly run: number;
  readonly how: RunEnd;
  readonly saved: string;
}

/** What a VM says when it is held. */
export interface VmReport {
  readonly life: VmLife | undefined;
  readonly running: readonly ListedRun[];
  readonly ended: readonly ListedEnd[];
  /** Monotonic time at which the question was sent. */
  readonly askedMs: number;
}

/** Answer of a VM to a start. */
export type StartOutcome =
  | 'started'
  /** A newer owner has been there. */
  | 'fenced'
  /** The run was stopped or has ended there already. */
  | 'old'
  | 'late'
  | 'no-room'
  | 'ticket'
  | 'malformed'
  /** Another life of the VM answered. */
  | 'other-life'
  | 'unhealthy'
  /** Nothing was sent. */
  | 'unreachable'
  /** It may have been carried out, or may still be. */
  | 'unknown';

/** Permission of the advice service to run a step on a VM. */
export interface Ticket {
  readonly vm: ids.VmId;
  readonly ticket: string;
}

/** State of a job as callers see it. */
export type JobState =
  'pending' | 'running' | 'completed' | 'failed' | 'cancelled';

/** A final state. */
export type FinalState = 'completed' | 'failed';

/** What the runtime has to do. */
export type Command =
  | {
      readonly command: 'start';
      readonly vm: ids.VmId;
      readonly task: TaskKey;
      readonly run: number;
      readonly payload: string;
      readonly saved: string;
      readonly ticket: string | undefined;
    }
  | {
      readonly command: 'stop';
      readonly vm: ids.VmId;
      readonly task: TaskKey;
      readonly run: number;
      readonly why: string;
    }
  /** Asks a VM at once what runs there. */
  | { readonly command: 'poll'; readonly vm: ids.VmId }
  | {
      readonly command: 'pace';
      readonly vm: ids.VmId;
      readonly task: TaskKey;
      readonly run: number;
      readonly percent: number;
    }
  | {
      readonly command: 'advise';
      readonly step: StepKey;
      readonly vms: readonly ids.VmId[];
      /** Node that asks. */
      readonly helper: HelperName;
      /** Time that the service takes for it, in ms. */
      readonly costMs: number;
      /** Time after which the answer is expected, in ms. */
      readonly expectedMs: number;
    };

/** Name of a step of one occurrence. */
export type StepKey = Omit<TaskKey, 'index'>;

/** Records that must be durable before their starts go out and their ends are noted. */
export interface RecordBatch {
  readonly number: number;
  /** Progress of jobs that are still running. */
  readonly progress: ReadonlyMap<ids.JobId, string>;
  readonly finals: ReadonlyMap<ids.JobId, FinalState>;
  /** Jobs whose progress is needed no more. */
  readonly dropped: readonly ids.JobId[];
}
