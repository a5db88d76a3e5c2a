/**
 * Records of the log's streams: `releases`, `claims`, `jobs`, `tasks.<region>`, `keys`.
 * Field `type` tells the records of one stream apart.
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

/** Records of one stream from one offset on, and what the stream holds. */
export interface RecordPage<Body> {
  /** Offset of the oldest record kept; equal to `next` when none is kept. */
  readonly oldest: ids.Offset;
  /** Offset that the next append gets. */
  readonly next: ids.Offset;
  readonly records: readonly LogRecord<Body>[];
}

/** Stream `releases`. */
export type ReleaseStreamRecord = ReleaseRecord | ReleaseSnapshotRecord;

/** A published release note. */
export interface ReleaseRecord {
  readonly type: 'release';
  /** The note as INI text; every process parses it itself. */
  readonly text: string;
  readonly publisher: string;
  readonly publishedMs: number;
}

/**
 * The state after all records of stream `releases` below `upTo`. Any process writes
 * it again from time to time, so that the state outlives the retention of the log.
 * Readers that have read everything below `upTo` ignore it.
 */
export interface ReleaseSnapshotRecord {
  readonly type: 'snapshot';
  readonly upTo: ids.Offset;
  readonly current: string;
  /** Offset of the release in force, -1 before the first. */
  readonly offset: ids.Offset;
  readonly entries: readonly release.Entry[];
  /** The last adopted releases, oldest first; each is the base of the next. */
  readonly known: readonly release.KnownRelease[];
  /** Texts of the last adopted releases, for the history only. */
  readonly notes: readonly KeptNote[];
}

/** The text of an adopted release inside a snapshot. */
export interface KeptNote {
  readonly offset: ids.Offset;
  readonly text: string;
  readonly publisher: string;
  readonly publishedMs: number;
}

/** Stream `claims`. */
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

/** Stream `jobs`. */
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
  | {
      readonly type: 'carried';
      readonly job: job.Job;
      readonly epoch: ids.Epoch;
    };

/** Stream `tasks.<region>`. */
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
  /** The owner has accounted for all tasks; later records of lower epochs don't count. */
  | { readonly type: 'settled'; readonly epoch: ids.Epoch };

/** One ended task inside an `ends` record. */
export interface TaskEnd {
  readonly job: ids.JobId;
  readonly index: number;
  readonly result: job.TaskResult;
}

/** Stream `keys`. */
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

/** What became of the attempt that won a key. */
export type KeyOutcome =
  | {
      readonly outcome: 'done';
      readonly status: number;
      readonly contentType: string;
      /** Absent when larger than 4 KB. */ readonly body?: string;
    }
  | { readonly outcome: 'not-run' }
  | { readonly outcome: 'unknown' };
