/**
 * Types of the job model (jobs, their occurrences, steps and tasks) and of the commands,
 * reports and records that the scheduler exchanges with its callers. A batch job has one
 * step, a gang job has one step whose tasks start together, and a service job has one
 * step whose tasks run until the job is cancelled.
 */
import type * as ids from '../types/ids.js';
import type * as resources from '../types/resources.js';

/** Name of a queue in the current configuration. */
export type QueueName = string;

/** Name of a pool: the backend VMs that run the work of one service. */
export type PoolName = string;

/** Name of a node that sends advice requests on behalf of the owner; empty for the owner itself. */
export type HelperName = string;

/** Name of a workspace in the current configuration. */
export type WorkspaceName = string;

/** Incarnation of a VM: the Unix time of its start in ms. A restart gives a later one. */
export type VmIncarnation = number;

/** Resources and placement rules of the tasks of one step. */
export interface StepSpec {
  readonly count: number;
  /** Resources that each task needs. */
  readonly size: resources.Resources;
  /** Estimated run time of a task, in ms. */
  readonly estimateMs: number;
  /** Indexes of the earlier steps that must be done before this one starts. */
  readonly after: readonly number[];
  /** Whether the tasks save their progress and can resume from it. */
  readonly savesProgress: boolean;
  /** Whether all tasks start together and end together. */
  readonly gang: boolean;
  /** Whether the tasks run much slower when they span racks. */
  readonly oneRack: boolean;
  /** Label that a VM must have to run the tasks. */
  readonly label: string | undefined;
  /** Rack that holds the input data; the tasks run much slower on other racks. */
  readonly dataRack: ids.RackName | undefined;
  /** Maximum number of tasks of the step on one VM. */
  readonly maxPerVm: number | undefined;
  /** Whether copies of a task may run in parallel. */
  readonly allowsCopies: boolean;
  /** Whether the tasks run until the job is cancelled (service tasks); one that ends is replaced. */
  readonly lasts: boolean;
  /** Image of the tasks; tasks of the same image have similar run times and load. */
  readonly image: string | undefined;
  /** Tail latency that a service task must stay below, in ms. */
  readonly targetMs: number | undefined;
  /** Whether the tasks use only the processor time that others leave idle (filler tasks). */
  readonly fills: boolean;
  /** Maximum number of service tasks that the scheduler may interrupt at the same time. */
  readonly mayMiss: number | undefined;
}

/** When a scheduled job runs. */
export interface Schedule {
  /** Number of occurrences. */
  readonly times: number;
  /** Unix time of the first occurrence, in ms. */
  readonly firstAtMs: number;
  readonly intervalMs: number;
}

/** A job as submitted by its caller. */
export interface Job {
  readonly id: ids.JobId;
  readonly queue: QueueName;
  /** Opaque text that is passed to the VMs. */
  readonly payload: string;
  readonly steps: readonly StepSpec[];
  readonly schedule: Schedule | undefined;
  /** Version of the configuration when the job was accepted. */
  readonly configVersion: number;
  /** Unix time at which the job was accepted, in ms. */
  readonly acceptedAtMs: number;
  /** Policy of the queue when the job was accepted; the policy in the current configuration takes precedence. */
  readonly policy: QueuePolicy;
  /** Workspace whose key the submission carried; absent for a public route and in records of earlier builds. */
  readonly workspace?: WorkspaceName;
  /** Fingerprint of the key of the submission, with which its caller finds the job after the key has moved to another workspace; absent as `workspace` is. */
  readonly submitter?: string;
}

/** Service time of an advice request for a step, and validity of the tickets in its answer. */
export interface AdvicePolicy {
  /** Service time of every request, in ms. */
  readonly fixedMs: number;
  /** Additional service time for each VM in the request, in ms. */
  readonly perVmMs: number;
  /** Time for which a ticket is valid, in ms. */
  readonly validMs: number;
}

/** Settings of a queue. */
export interface QueuePolicy {
  readonly name: QueueName;
  readonly pool: PoolName;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Number of failed runs after which a task, and with it the job, fails. */
  readonly attempts: number;
  /** Factor on the job's longest chain of steps in the completion-time objective. */
  readonly stretch: number;
  /** Time that the objective adds to that, in ms. */
  readonly slackMs: number;
  readonly advice: AdvicePolicy | undefined;
}

/** Share and limit of a workspace. */
export interface WorkspacePolicy {
  readonly name: WorkspaceName;
  /** Jobs a second that are served ahead of the excess of other workspaces, and the share of a full pool relative to theirs. */
  readonly weight: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Most that its tasks may use at the same time, over all pools; Infinity for a resource without a limit. */
  readonly limit: resources.Resources;
}

/** A VM as it appears in the VM list. */
export interface VmEntry {
  readonly id: ids.VmId;
  readonly address: ids.Address;
  readonly incarnation: VmIncarnation | undefined;
  readonly pool: PoolName;
  readonly availabilityZone: ids.AvailabilityZone;
  readonly rack: ids.RackName | undefined;
  readonly labels: readonly string[];
  readonly capacity: resources.Resources;
  readonly draining: boolean;
}

/** Identifies a task by job, occurrence, step and index. */
export interface TaskKey {
  readonly job: ids.JobId;
  readonly occurrence: number;
  readonly step: number;
  readonly index: number;
}

/** A run that a VM reports as running. */
export interface ReportedRun {
  readonly task: TaskKey;
  readonly run: number;
  /** Saved progress; empty for none. */
  readonly saved: string;
  /** Progress in percent, 0 to 100. */
  readonly percent: number;
  /** Tail latency in ms for a service task; cores in use for any other task. */
  readonly load: number;
}

/** How a run ended. */
export type RunEnd =
  | 'done'
  | 'failed'
  | 'stopped'
  /** The VM's lease expired. */
  | 'lapsed'
  /** Another member of the gang ended. */
  | 'broken'
  /** The other members of the gang didn't start in time. */
  | 'alone';

/** The end of a run, as reported by its VM. */
export interface ReportedEnd {
  /** Sequence number; rises within one incarnation of the VM. */
  readonly number: number;
  readonly task: TaskKey;
  readonly run: number;
  readonly how: RunEnd;
  readonly saved: string;
}

/** What a VM reports in its answer to a poll or lease renewal. */
export interface VmReport {
  readonly incarnation: VmIncarnation | undefined;
  readonly running: readonly ReportedRun[];
  readonly ended: readonly ReportedEnd[];
  /** Whether the VM may have ends after the listed ones, so that a run in neither list may have ended in any way. */
  readonly mayHaveMoreEnds?: boolean;
  /** Monotonic time at which the request for the report was sent. */
  readonly requestSentMs: number;
  /** Time on the VM's clock at which the report was made; absent if unknown. */
  readonly clockMs?: number;
}

/** Outcome of a start command. */
export type StartOutcome =
  | 'started'
  /** The VM has seen a newer owner's fence. */
  | 'fenced'
  /** The run has already been stopped or has ended on the VM. */
  | 'old'
  /** The command arrived after its deadline. */
  | 'late'
  | 'no-room'
  /** The VM refused the ticket, for example as expired. */
  | 'ticket'
  | 'malformed'
  /** Another incarnation of the VM answered. */
  | 'other-life'
  | 'unhealthy'
  /** The command wasn't sent. */
  | 'unreachable'
  /** No answer; the command may have been carried out or may still be. */
  | 'unknown';

/** Permission of the advice service to run a step on a VM, valid for a limited time. */
export interface Ticket {
  readonly vm: ids.VmId;
  readonly ticket: string;
}

/** State of a job as reported to callers. */
export type JobState =
  'pending' | 'running' | 'completed' | 'failed' | 'cancelled';

/** Final state of a job that wasn't cancelled. */
export type FinalState = 'completed' | 'failed';

/** A command of the scheduler that the runtime carries out. */
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
  /** Requests a report from a VM without waiting for the next one. */
  | { readonly command: 'poll'; readonly vm: ids.VmId }
  | {
      readonly command: 'pace';
      readonly vm: ids.VmId;
      readonly task: TaskKey;
      readonly run: number;
      /** Share of its full processor time that the run may use, in percent. */
      readonly percent: number;
    }
  | {
      readonly command: 'advise';
      readonly step: StepKey;
      readonly vms: readonly ids.VmId[];
      /** Node that sends the request. */
      readonly helper: HelperName;
      /** Service time of the request, in ms. */
      readonly costMs: number;
      /** Expected time until the answer, in ms. */
      readonly expectedMs: number;
    };

/** Identifies a step of one occurrence. */
export type StepKey = Omit<TaskKey, 'index'>;

/** Key of a record of a job's progress. */
export type ProgressKey = string;

/** Texts of the stored records of one job's progress, in the order of the tasks that they cover. */
export type ProgressRecords = ReadonlyMap<ProgressKey, string>;

/** Records that must be durable before their starts are sent and their ends are acknowledged. */
export interface RecordBatch {
  readonly number: number;
  /** Encoded progress of jobs that haven't ended; to be written in this order, before `dropped`. */
  readonly progress: ReadonlyMap<ProgressKey, string>;
  readonly finals: ReadonlyMap<ids.JobId, FinalState>;
  /** Progress records that can be deleted. */
  readonly dropped: readonly ProgressKey[];
}
