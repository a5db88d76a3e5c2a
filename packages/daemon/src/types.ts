/**
 * Interfaces between the components ("parts") of the daemon. `process.ts` creates the
 * components and passes each its dependencies; tests pass fakes.
 */
import type * as most from 'most';
import type * as core from '@flamingoward/core';
import type * as clients from '@flamingoward/clients';
import type * as observability from '@flamingoward/observability';

export type {
  LogFields,
  Logger,
  LogLevel,
  Metrics,
} from '@flamingoward/observability';
export type {
  AppendOptions,
  AppendOutcome,
  StreamReader,
  Streams,
} from '@flamingoward/clients';

/** Name, instance and location of this process. */
export interface ProcessIdentity {
  readonly name: core.ids.ProcessName;
  readonly instance: core.ids.InstanceId;
  readonly region: core.ids.RegionName;
  readonly availabilityZone: core.ids.AvailabilityZone;
  /** Address to which other processes connect. */
  readonly linksAddress: core.ids.Address;
}

/** Dependencies of every component. */
export interface PartContext {
  readonly identity: ProcessIdentity;
  readonly timers: core.TimerService;
  readonly log: observability.Logger;
  readonly metrics: observability.Metrics;
}

/** Another process and its health as judged by this process. */
export interface PeerView {
  readonly name: core.ids.ProcessName;
  readonly instance: core.ids.InstanceId;
  readonly region: core.ids.RegionName;
  readonly availabilityZone: core.ids.AvailabilityZone;
  /** Monotonic time at which the last bytes of the peer arrived. */
  readonly heardMs: number;
  /** `suspect`: avoided for routing; `dead`: may lose its shards. */
  readonly health: 'live' | 'suspect' | 'dead';
  /** Whether the process is known to have ended; a silent one is dead too and may still run. */
  readonly ended: boolean;
  readonly heartbeat: core.messages.Heartbeat;
}

/** VMs, from the platform's VM list, and other processes, from their heartbeats. */
export interface Membership {
  /** Returns the VM list as last read. VMs that a peer reported as leaving have the state `leaving`. */
  listVms(): readonly core.workers.VmRecord[];
  listPeers(): readonly PeerView[];
  /** Lists the ready processes of a region that aren't dead, including this one; shard owners and relays are chosen from them. */
  listCandidates(region: core.ids.RegionName): readonly core.ids.InstanceId[];
  /** Emits when the VM list changed, or a peer's heartbeat or health. */
  readonly changes: most.Stream<'vms' | 'peers'>;
}

/** Connections to the other processes. */
export interface Links {
  /** Sends a request to a peer; rejects with `timeout`, `link-closed` or the peer's refusal. */
  ask(
    peer: core.ids.InstanceId,
    question: core.messages.Question,
    timeoutMs: number,
  ): Promise<core.messages.Answer>;
  /** Sends a one-way message; it is dropped when there is no connection. */
  notify(peer: core.ids.InstanceId, notice: core.messages.Notice): void;
  /** Sets the handler for one kind of request. */
  handle<Kind extends core.messages.Question['kind']>(
    kind: Kind,
    handler: (
      question: Extract<core.messages.Question, { kind: Kind }>,
      from: core.ids.InstanceId,
    ) => Promise<core.messages.Answer>,
  ): void;
  /** Emits the one-way messages of all peers. */
  readonly notices: most.Stream<{
    readonly from: core.ids.InstanceId;
    readonly notice: core.messages.Notice;
  }>;
  close(): Promise<void>;
}

/** Owner of a shard, as far as this process knows. */
export interface OwnerView {
  readonly shard: core.ids.ShardName;
  readonly instance: core.ids.InstanceId;
  readonly process: core.ids.ProcessName;
  readonly epoch: core.ids.Epoch;
  /** True when this process is the owner. */
  readonly self: boolean;
}

/** Event: this process gained or lost a shard. */
export interface OwnershipChange {
  readonly change: 'gained' | 'lost';
  readonly shard: core.ids.ShardName;
  readonly epoch: core.ids.Epoch;
}

/** Ownership of shards: the owner of a shard alone decides for it. */
export interface Ownership {
  getOwner(shard: core.ids.ShardName): OwnerView | undefined;
  /**
   * Epoch of this process for a shard. Undefined when it isn't the owner, or when it must
   * not decide after a pause until it has verified its ownership.
   */
  getEpoch(shard: core.ids.ShardName): core.ids.Epoch | undefined;
  /** Handles the report of a higher epoch by a worker or peer: this process gives up the shard. */
  handleHigherEpoch(shard: core.ids.ShardName, epoch: core.ids.Epoch): void;
  readonly changes: most.Stream<OwnershipChange>;
  /** Releases all shards and claims no more; for a planned stop. */
  releaseAll(): Promise<void>;
}

/** Release notes and the configuration that is in force in this process. */
export interface Releases {
  getState(): core.releases.ReleaseState;
  /** Publishes a release note; resolves with the verdict that follows from its place in the log. */
  publish(text: string, publisher: string): Promise<PublishResult>;
  /** Returns which live processes have the release at an offset in force. */
  getAcceptance(offset: core.ids.Offset): Acceptance;
  /** Returns whether this process knows the release in force; it must not serve before. */
  isReady(): boolean;
  readonly changes: most.Stream<core.releases.ReleaseHistoryItem>;
}

/** Result of publishing a release note. */
export type PublishResult =
  | {
      readonly result: 'verdict';
      readonly offset: core.ids.Offset;
      readonly verdict: core.releases.Verdict;
    }
  | { readonly result: 'not-published'; readonly reason: string }
  | { readonly result: 'unknown'; readonly reason: string };

/** Progress of a release towards being in force everywhere. */
export interface Acceptance {
  readonly accepted: boolean;
  readonly inForce: readonly core.ids.ProcessName[];
  readonly waitingFor: readonly core.ids.ProcessName[];
  /** Processes that the acceptance doesn't wait for: unresponsive for 60 s or removed from the VM list. */
  readonly without: readonly core.ids.ProcessName[];
  /** Time from publication until this process saw the release in force at all of them. */
  readonly tookMs?: number;
  /** Time for each process from publication until this process saw the release in force there. */
  readonly times?: readonly AcceptanceTime[];
}

/** Time from publication until a release was in force at one process. */
export interface AcceptanceTime {
  readonly process: core.ids.ProcessName;
  readonly tookMs: number;
}

/** Submission, cancellation and queries of jobs. */
export interface Jobs {
  submit(
    spec: core.jobs.JobSpec,
    key: string | undefined,
  ): Promise<SubmitResult>;
  cancel(
    job: core.ids.JobId,
    by: string,
  ): Promise<clients.AppendOutcome | { readonly outcome: 'unknown-job' }>;
  /** Returns a job that this process has read from the log. */
  get(job: core.ids.JobId): core.jobs.Job | undefined;
  /** Finds a job; says that there is none only after reading the log up to its head. */
  find(job: core.ids.JobId): Promise<JobLookup>;
  /** Reads the log up to its head and lists the jobs. */
  readList(): Promise<JobListing>;
  /** Fetches the states of the tasks from the owner of the shard; undefined when it doesn't answer or may not decide now. */
  fetchTasks(
    job: core.ids.JobId,
  ): Promise<readonly core.jobs.TaskState[] | undefined>;
  explain(job: core.ids.JobId): Promise<readonly string[]>;
}

/** Result of looking for a job. */
export type JobLookup =
  | {
      readonly lookup: 'found';
      readonly job: core.jobs.Job;
      /** Whether the log doesn't answer, so that a job shown as accepted may have been cancelled or have ended. */
      readonly isStale: boolean;
    }
  | { readonly lookup: 'none' }
  /** The log doesn't answer, so whether there is such a job isn't known. */
  | { readonly lookup: 'unreadable' };

/** The jobs of the cell. */
export interface JobListing {
  readonly jobs: readonly core.jobs.Job[];
  /** Whether the log doesn't answer, so that later jobs and ends may be missing. */
  readonly isIncomplete: boolean;
}

/** Result of submitting a job. */
export type SubmitResult =
  | { readonly result: 'accepted'; readonly job: core.ids.JobId }
  | {
      readonly result: 'refused';
      readonly status: 400 | 429 | 503;
      readonly reason: string;
    }
  | { readonly result: 'unknown'; readonly job: core.ids.JobId };

/** A component that can show its state to operators. */
export interface Dumpable {
  /** Returns a JSON-serializable copy of the state, without keys or secrets. */
  dump(): unknown;
}
