/**
 * Record formats of the streams `jobs` and `claims`. An accepted job, its cancellation
 * and its final state have separate keys, so that a retried or late append of one never
 * replaces another as the newest record of its key.
 */
import type * as core from '@flamingoward/core';
import type * as observability from '@flamingoward/observability';
import * as zod from 'zod';
import type * as access from './access.js';
import type * as ports from './ports.js';

/** Format version of job records; records of other versions are skipped and logged. */
const RECORD_VERSION = 1;

/** A change of a job. */
export type JobChange =
  | { readonly change: 'accepted'; readonly job: core.workloads.Job }
  | {
      readonly change: 'cancelled';
      readonly id: core.ids.JobId;
      /** Who has cancelled it; absent in records of earlier builds and where requests need no key. */
      readonly caller?: core.clusterMessages.JobCaller;
    }
  | {
      readonly change: 'final';
      readonly id: core.ids.JobId;
      readonly state: core.workloads.FinalState;
    }
  /** The record of the job itself has been dropped; its end or cancellation is still known. */
  | {
      readonly change: 'body-dropped';
      readonly id: core.ids.JobId;
      /** Kept for a job of a workspace. */
      readonly origin?: access.JobOrigin;
    }
  /** All records of the job have been dropped. */
  | { readonly change: 'forgotten'; readonly id: core.ids.JobId };

type Prefix = 'job' | 'cancel' | 'final';

function formatKey(prefix: Prefix, id: core.ids.JobId): string {
  return `${prefix}:${id}`;
}

/** Builds the record of an accepted job. */
export function buildAccepted(job: core.workloads.Job): ports.NewRecord {
  return {
    key: formatKey('job', job.id),
    value: JSON.stringify({ version: RECORD_VERSION, job }),
  };
}

/** Builds the record of a cancellation, which holds only for a job that `caller` may cancel. */
export function buildCancelled(
  id: core.ids.JobId,
  caller?: core.clusterMessages.JobCaller,
): ports.NewRecord {
  return {
    key: formatKey('cancel', id),
    // Earlier builds take any value as a cancellation.
    value: caller === undefined ? '1' : JSON.stringify(caller),
  };
}

/**
 * Builds the records of a final state. The record of the job itself is dropped, so that
 * the data a new owner reads doesn't grow with the number of ended jobs. Of a job of a
 * workspace its origin is kept, without which any workspace could read how it ended.
 */
export function buildFinal(
  id: core.ids.JobId,
  state: core.workloads.FinalState,
  origin?: access.JobOrigin,
): readonly ports.NewRecord[] {
  return [
    { key: formatKey('final', id), value: state },
    origin?.workspace === undefined
      ? buildBodyDropped(id)
      : {
          key: formatKey('job', id),
          value: JSON.stringify({ version: RECORD_VERSION, ended: origin }),
        },
  ];
}

/** Builds the record that drops the job itself but keeps its end or cancellation. */
export function buildBodyDropped(id: core.ids.JobId): ports.NewRecord {
  return { key: formatKey('job', id), value: undefined };
}

/** Parses a record of the stream `jobs`; undefined when it is malformed or of another version. */
export function parseJobChange(
  record: ports.KeyedRecord,
): JobChange | undefined {
  const id = getJobId(record.key);
  const prefix = record.key.slice(0, record.key.indexOf(':'));
  if (record.value === undefined)
    return { change: prefix === 'job' ? 'body-dropped' : 'forgotten', id };
  switch (prefix) {
    case 'job':
      return parseAccepted(id, record.value);
    case 'cancel':
      return parseCancelled(id, record.value);
    case 'final':
      return record.value === 'completed' || record.value === 'failed'
        ? { change: 'final', id, state: record.value }
        : undefined;
    default:
      return undefined;
  }
}

/** What the scheduler relies on in a job; further fields are optional or added by later releases. */
const acceptedJob = zod.looseObject({
  version: zod.literal(RECORD_VERSION),
  job: zod.looseObject({
    id: zod.string(),
    queue: zod.string(),
    workspace: zod.string().optional(),
    submitter: zod.string().optional(),
    acceptedAtMs: zod.number(),
    steps: zod.array(
      zod.looseObject({
        count: zod.number(),
        size: zod.looseObject({
          cores: zod.number(),
          memoryMb: zod.number(),
          gpus: zod.number(),
        }),
        estimateMs: zod.number(),
        after: zod.array(zod.number()),
      }),
    ),
    schedule: zod
      .looseObject({
        times: zod.number(),
        firstAtMs: zod.number(),
        intervalMs: zod.number(),
      })
      .optional(),
    policy: zod.looseObject({
      name: zod.string(),
      pool: zod.string(),
      priority: zod.number(),
      attempts: zod.number(),
      stretch: zod.number(),
      slackMs: zod.number(),
    }),
  }),
});

const endedJob = zod.object({
  version: zod.literal(RECORD_VERSION),
  ended: zod.object({
    queue: zod.string().optional(),
    workspace: zod.string().optional(),
    submitter: zod.string().optional(),
  }),
});
const caller = zod.object({
  workspace: zod.string().optional(),
  submitter: zod.string().optional(),
  publicQueue: zod.string().optional(),
});

function parseAccepted(
  id: core.ids.JobId,
  value: string,
): JobChange | undefined {
  const stored = parseJson(value);
  const ended = endedJob.safeParse(stored);
  if (ended.success)
    return {
      change: 'body-dropped',
      id,
      origin: ended.data.ended as access.JobOrigin,
    };
  return acceptedJob.safeParse(stored).success
    ? {
        change: 'accepted',
        job: (stored as { readonly job: core.workloads.Job }).job,
      }
    : undefined;
}

function parseCancelled(id: core.ids.JobId, value: string): JobChange {
  const parsed = caller.safeParse(parseJson(value));
  return parsed.success
    ? {
        change: 'cancelled',
        id,
        caller: parsed.data as core.clusterMessages.JobCaller,
      }
    : { change: 'cancelled', id };
}

function parseJson(value: string): unknown {
  try {
    return JSON.parse(value) as unknown;
  } catch {
    return undefined;
  }
}

/** Returns the job of a key of the stream `jobs`. */
export function getJobId(key: string): core.ids.JobId {
  return key.slice(key.indexOf(':') + 1);
}

/** Builds the records that drop every key of an ended job. */
export function buildForgotten(id: core.ids.JobId): readonly ports.NewRecord[] {
  return (['job', 'cancel', 'final'] as const).map((prefix) => ({
    key: formatKey(prefix, id),
    value: undefined,
  }));
}

/** Assumed size of a record beyond its key and value, in bytes. */
export const RECORD_OVERHEAD_BYTES = 16;

/** Splits records into groups of at most a total size, in their order. A larger record is a group of its own. */
export function splitBySize(
  newRecords: readonly ports.NewRecord[],
  maxBytes: number,
): readonly (readonly ports.NewRecord[])[] {
  const groups: ports.NewRecord[][] = [];
  let group: ports.NewRecord[] = [];
  let groupBytes = 0;
  for (const record of newRecords) {
    const bytes = measureRecord(record);
    if (group.length > 0 && groupBytes + bytes > maxBytes) {
      groups.push(group);
      group = [];
      groupBytes = 0;
    }
    group.push(record);
    groupBytes += bytes;
  }
  if (group.length > 0) groups.push(group);
  return groups;
}

/** Returns an upper bound of the size of a record in an append, in bytes. */
export function measureRecord({ key, value = '' }: ports.NewRecord): number {
  return (
    Buffer.byteLength(key) + Buffer.byteLength(value) + RECORD_OVERHEAD_BYTES
  );
}

/** Describes an append that the store rejects for good, for the log; a single record is the one at fault. */
export function describeRejected(
  stream: ports.StreamName,
  newRecords: readonly ports.NewRecord[],
  why: string,
): observability.LogFields {
  return {
    stream,
    records: newRecords.length,
    key: newRecords[0]?.key,
    bytes: newRecords.reduce((sum, record) => sum + measureRecord(record), 0),
    why,
  };
}

/** A claim of ownership, its renewal or its release. */
export interface ClaimRecord {
  readonly node: core.ids.ProcessName;
  readonly instance: core.ids.InstanceId;
  readonly address: core.ids.Address;
  /** Fence of the renewed or released claim; absent in the claim itself. */
  readonly fence?: number;
  /** The owner has released ownership. */
  readonly released?: boolean;
  /** Starts of the owner, or of one before it, may not be durably recorded. */
  readonly unrecorded?: boolean;
  /** The owner sends no start before its record is durable; absent in records of earlier builds. */
  readonly recordsStarts?: boolean;
  /** Absent in records of earlier builds. */
  readonly leases?: LeaseRecord | undefined;
}

/** VMs, each with the time until a lease ends there, in ms. */
export type LeaseEnds = readonly (readonly [core.ids.VmId, number])[];

/** What an owner records about leases, so that a successor waits for no longer than runs may last. */
export interface LeaseRecord {
  /** Longest lease that the owner grants, in ms; 0 when it releases ownership before it could grant any. */
  readonly leaseMs: number;
  /** Earlier owners whose leases may not have ended. */
  readonly owners: readonly {
    readonly node: core.ids.ProcessName;
    readonly instance: core.ids.InstanceId;
    readonly leaseMs: number;
    /** Time until its last order at the latest, in ms; negative when that is past. */
    readonly ordersLeftMs: number;
    /** Time until its leases end by its last confirmed claim, in ms; absent when its build doesn't bound them. */
    readonly claimLeftMs?: number;
  }[];
  /**
   * VMs that don't answer, each with the time until its lease ends, in ms. The owner
   * grants them no lease until a later record without them is confirmed.
   */
  readonly silentVms: LeaseEnds;
  /**
   * VMs with the time until the last lease of any owner ends there, in ms. In the record
   * of a release, after which the owner grants no lease, and in the claim that follows
   * it, whose owner may have granted further ones.
   */
  readonly lastEnds?: LeaseEnds;
}

const leaseEnds = zod.array(zod.tuple([zod.string(), zod.number()]));
const claimRecord = zod.object({
  node: zod.string(),
  instance: zod.string(),
  address: zod.string(),
  fence: zod.number().optional(),
  released: zod.boolean().optional(),
  unrecorded: zod.boolean().optional(),
  recordsStarts: zod.boolean().optional(),
  // Leases that can't be read count as those of a build that doesn't record them, which is waited for longer.
  leases: zod
    .object({
      leaseMs: zod.number(),
      owners: zod.array(
        zod.object({
          node: zod.string(),
          instance: zod.string(),
          leaseMs: zod.number(),
          ordersLeftMs: zod.number(),
          claimLeftMs: zod.number().optional(),
        }),
      ),
      silentVms: leaseEnds,
      lastEnds: leaseEnds.optional(),
    })
    .optional()
    .catch(undefined),
});

/** Parses a claim; undefined when it is malformed. */
export function parseClaim(value: string): ClaimRecord | undefined {
  const parsed = claimRecord.safeParse(parseJson(value));
  return parsed.success ? (parsed.data as ClaimRecord) : undefined;
}
