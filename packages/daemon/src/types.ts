/**
 * The parts of the daemon and what each offers to the others. `process.ts` creates
 * the parts and hands each the ones it needs; tests hand in fakes.
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

/** Who this process is. */
export interface ProcessIdentity {
  readonly name: core.ids.ProcessName;
  readonly instance: core.ids.InstanceId;
  readonly region: core.ids.RegionName;
  readonly availabilityZone: core.ids.AvailabilityZone;
  /** Address at which other processes reach this one. */
  readonly linksAddress: core.ids.Address;
}

/** What every part needs. */
export interface PartContext {
  readonly identity: ProcessIdentity;
  readonly timers: core.TimerService;
  readonly log: observability.Logger;
  readonly metrics: observability.Metrics;
}

/** A peer as this process sees it. */
export interface PeerView {
  readonly name: core.ids.ProcessName;
  readonly instance: core.ids.InstanceId;
  readonly region: core.ids.RegionName;
  readonly availabilityZone: core.ids.AvailabilityZone;
  /** Monotonic time of the last heartbeat. */
  readonly heardMs: number;
  /** `suspect`: avoid for routing; `dead`: may lose its shards. */
  readonly health: 'live' | 'suspect' | 'dead';
  readonly heartbeat: core.messages.Heartbeat;
}

/** VMs from the platform's list and processes from heartbeats. */
export interface Membership {
  /** Last list read; VMs that a peer knows to be leaving are marked so. */
  readVms(): readonly core.workers.VmRecord[];
  readPeers(): readonly PeerView[];
  /** Ready processes of a region that aren't dead, this one included when it is ready; for ranking. */
  listCandidates(region: core.ids.RegionName): readonly core.ids.InstanceId[];
  /** Pushes whenever a list or a peer's health changed. */
  readonly changes: most.Stream<'vms' | 'peers'>;
}

/** Connections to the other processes. */
export interface Links {
  /** Asks a peer; rejects with `timeout`, `link-closed` or the peer's refusal. */
  ask(
    peer: core.ids.InstanceId,
    question: core.messages.Question,
    timeoutMs: number,
  ): Promise<core.messages.Answer>;
  /** Sends a notice; dropped when there is no connection. */
  notify(peer: core.ids.InstanceId, notice: core.messages.Notice): void;
  /** Sets the handler for one kind of question. */
  handle<Kind extends core.messages.Question['kind']>(
    kind: Kind,
    handler: (
      question: Extract<core.messages.Question, { kind: Kind }>,
      from: core.ids.InstanceId,
    ) => Promise<core.messages.Answer>,
  ): void;
  readonly notices: most.Stream<{
    readonly from: core.ids.InstanceId;
    readonly notice: core.messages.Notice;
  }>;
  close(): Promise<void>;
}

/** The owner of a shard as this process knows it. */
export interface OwnerView {
  readonly shard: core.ids.ShardName;
  readonly instance: core.ids.InstanceId;
  readonly process: core.ids.ProcessName;
  readonly epoch: core.ids.Epoch;
  /** True when this process is the owner. */
  readonly self: boolean;
}

/** A shard was gained or lost by this process. */
export interface OwnershipChange {
  readonly change: 'gained' | 'lost';
  readonly shard: core.ids.ShardName;
  readonly epoch: core.ids.Epoch;
}

/** Who decides for which shard. */
export interface Ownership {
  readOwner(shard: core.ids.ShardName): OwnerView | undefined;
  /** Epoch of this process for a shard; undefined when it isn't the owner or holds its decisions after a pause. */
  readEpoch(shard: core.ids.ShardName): core.ids.Epoch | undefined;
  /** Tells that a worker or peer reported a higher epoch; this process steps down. */
  noteHigherEpoch(shard: core.ids.ShardName, epoch: core.ids.Epoch): void;
  readonly changes: most.Stream<OwnershipChange>;
  /** Releases all shards and takes no more; for a planned stop. */
  releaseAll(): Promise<void>;
}

/** The configuration in force in this process. */
export interface Releases {
  readState(): core.releases.ReleaseState;
  /** Publishes a note; resolves with the verdict that the log gave. */
  publish(text: string, publisher: string): Promise<PublishResult>;
  /** Which live processes have the release of an offset in force. */
  readAcceptance(offset: core.ids.Offset): Acceptance;
  /** True when this process may serve: it knows the release in force. */
  isReady(): boolean;
  readonly changes: most.Stream<core.releases.ReleaseHistoryItem>;
}

/** Answer to a publication. */
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
  /** Silent for 60 s or gone from the VM list. */
  readonly without: readonly core.ids.ProcessName[];
  /** Time from publication until this process saw all of them in force, in ms. */
  readonly tookMs?: number;
  /** Time from publication until this process saw it in force at each process. */
  readonly times?: readonly AcceptanceTime[];
}

/** When one process had a release in force. */
export interface AcceptanceTime {
  readonly process: core.ids.ProcessName;
  readonly tookMs: number;
}

/** Jobs as this process knows them. */
export interface Jobs {
  submit(
    spec: core.jobs.JobSpec,
    key: string | undefined,
  ): Promise<SubmitResult>;
  cancel(
    job: core.ids.JobId,
    by: string,
  ): Promise<clients.AppendOutcome | { readonly outcome: 'unknown-job' }>;
  read(job: core.ids.JobId): core.jobs.Job | undefined;
  list(): readonly core.jobs.Job[];
  /** States of the tasks, from the owner. */
  readTasks(
    job: core.ids.JobId,
  ): Promise<readonly core.jobs.TaskState[] | undefined>;
  explain(job: core.ids.JobId): Promise<readonly string[]>;
}

/** Answer to a submission. */
export type SubmitResult =
  | { readonly result: 'accepted'; readonly job: core.ids.JobId }
  | {
      readonly result: 'refused';
      readonly status: 400 | 429 | 503;
      readonly reason: string;
    }
  | { readonly result: 'unknown'; readonly job: core.ids.JobId };

/** A part that can show its state. */
export interface Dumpable {
  /** Plain JSON-ready copy of the state, without keys or secrets. */
  dump(): unknown;
}
