/**
 * Records of the log's streams: `releases`, `claims`, `jobs`, `tasks.<region>`, `keys`.
 * Field `type` discriminates the records of one stream.
 */
import type * as ids from './ids.js';
import type * as job from './job.js';
import type * as release from './release.js';

/** A record as the log service returns it. */
export interface LogRecord<Body> {
  readonly offset: ids.Offset;
  readonly id: ids.RecordId;
  readonly body: Body;
}

/** A page of records of one stream, and the range of offsets that the stream holds. */
export interface RecordPage<Body> {
  /** Offset of the oldest record that the log still keeps; equal to `next` if there is none. */
  readonly oldest: ids.Offset;
  /** Offset of the next record to be appended. */
  readonly next: ids.Offset;
  readonly records: readonly LogRecord<Body>[];
}

/** Record of stream `releases`. */
export type ReleaseStreamRecord = ReleaseRecord | ReleaseSnapshotRecord;

/** A published release note. */
export interface ReleaseRecord {
  readonly type: 'release';
  /** The note as INI text; each process parses it itself. */
  readonly text: string;
  readonly publisher: string;
  readonly publishedMs: number;
}

/**
 * The state after all records of stream `releases` below `upTo`. Processes append a new
 * one from time to time, because the log drops old records. Readers that have read all
 * records below `upTo` ignore it.
 */
export interface ReleaseSnapshotRecord {
  readonly type: 'snapshot';
  readonly upTo: ids.Offset;
  readonly current: string;
  /** Offset of the release in force; -1 before the first. */
  readonly offset: ids.Offset;
  readonly entries: readonly release.Entry[];
  /** The most recently adopted releases, oldest first; each is the base of the next. */
  readonly known: readonly release.KnownRelease[];
  /** Notes of the most recently adopted releases; used only for the history. */
  readonly notes: readonly KeptNote[];
}

/** The note of an adopted release in a snapshot. */
export interface KeptNote {
  readonly offset: ids.Offset;
  readonly text: string;
  readonly publisher: string;
  readonly publishedMs: number;
}

/**
 * Record of stream `claims`: a process claims a shard, renews its claim or releases it.
 * The offset of a `claim` record becomes the epoch of the owner.
 */
export type ClaimRecord =
  | {
      readonly type: 'claim';
      readonly shard: ids.ShardName;
      readonly instance: ids.InstanceId;
      readonly process: ids.ProcessName;
      readonly address: ids.Address;
    }
  | {
      readonly type: 'renew';
      readonly shard: ids.ShardName;
      readonly instance: ids.InstanceId;
      readonly process: ids.ProcessName;
      readonly address: ids.Address;
      readonly epoch: ids.Epoch;
    }
  | {
      readonly type: 'release';
      readonly shard: ids.ShardName;
      readonly instance: ids.InstanceId;
      readonly epoch: ids.Epoch;
    };

/** Record of stream `jobs`. */
export type JobRecord =
  | {
      readonly type: 'accepted';
      readonly job: ids.JobId;
      readonly spec: job.JobSpec;
      readonly urgency: ids.Urgency;
      readonly shard: ids.ShardName;
      readonly release: string;
      readonly acceptedMs: number;
    }
  | { readonly type: 'cancel'; readonly job: ids.JobId; readonly by: string }
  | {
      readonly type: 'ended';
      readonly job: ids.JobId;
      readonly state: Exclude<job.JobState, 'accepted'>;
      readonly reason: string;
      readonly epoch: ids.Epoch;
    }
  /** Copy of a job that has not ended, appended again before the log drops its older record. */
  | {
      readonly type: 'carried';
      readonly job: job.Job;
      readonly epoch: ids.Epoch;
    };

/** Record of stream `tasks.<region>`. */
export type TaskRecord =
  | {
      readonly type: 'ends';
      readonly epoch: ids.Epoch;
      readonly ends: readonly TaskEnd[];
    }
  | {
      readonly type: 'intent';
      readonly epoch: ids.Epoch;
      readonly job: ids.JobId;
      readonly index: number;
      readonly attempt: ids.AttemptId;
    }
  /** The owner knows the state of all tasks; later records with a lower epoch are ignored. */
  | { readonly type: 'settled'; readonly epoch: ids.Epoch };

/** One ended task in an `ends` record. */
export interface TaskEnd {
  readonly job: ids.JobId;
  readonly index: number;
  readonly result: job.TaskResult;
}

/** Record of stream `keys`: the intent or the outcome of an attempt to send a request. */
export type KeyRecord =
  | {
      readonly type: 'intent';
      readonly key: string;
      readonly service: ids.ServiceName;
      readonly attempt: string;
      readonly instance: ids.InstanceId;
    }
  | {
      readonly type: 'outcome';
      readonly key: string;
      readonly attempt: string;
      readonly outcome: KeyOutcome;
    };

/**
 * Outcome of an attempt. `not-run` withdraws the intent, and nothing was sent; `unknown`:
 * the request may have been sent, but no answer is known.
 */
export type KeyOutcome =
  | {
      readonly outcome: 'done';
      readonly status: number;
      readonly contentType: string;
      /** Response body; absent if it was larger than 4 KB. */ readonly body?: string;
    }
  | { readonly outcome: 'not-run' }
  | { readonly outcome: 'unknown' };
