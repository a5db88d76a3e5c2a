/**
 * Records of the streams `jobs` and `claims`. Accepted jobs, cancellations and final
 * states have keys of their own, so that the newest record of a key is never an
 * older fact about another one.
 */
import type * as core from '@flamingoward/core';
import type * as ports from './ports.js';

/** Version of the records; a reader skips others and says so. */
const RECORD_VERSION = 1;

/** A change of a job. */
export type JobChange =
  | { readonly change: 'accepted'; readonly job: core.workloads.Job }
  | { readonly change: 'cancelled'; readonly id: core.ids.JobId }
  | {
      readonly change: 'final';
      readonly id: core.ids.JobId;
      readonly state: core.workloads.FinalState;
    }
  /** The job's own text is needed no more. */
  | { readonly change: 'body-dropped'; readonly id: core.ids.JobId }
  /** Nothing is known of the job any more. */
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

/** Builds the record of a cancellation. */
export function buildCancelled(id: core.ids.JobId): ports.NewRecord {
  return { key: formatKey('cancel', id), value: '1' };
}

/**
 * Builds the records of a final state. The job itself is dropped, so that what a new
 * owner reads doesn't grow with the jobs that have ended.
 */
export function buildFinal(
  id: core.ids.JobId,
  state: core.workloads.FinalState,
): readonly ports.NewRecord[] {
  return [{ key: formatKey('final', id), value: state }, buildBodyDropped(id)];
}

/** Builds the record that drops a job's own text; its end or cancellation stays known. */
export function buildBodyDropped(id: core.ids.JobId): ports.NewRecord {
  return { key: formatKey('job', id), value: undefined };
}

/** Reads a record of the stream `jobs`; undefined when it isn't one of this version. */
export function parseJobChange(
  record: ports.KeyedRecord,
): JobChange | undefined {
  const at = record.key.indexOf(':');
  const id = record.key.slice(at + 1);
  const prefix = record.key.slice(0, at);
  if (record.value === undefined)
    return { change: prefix === 'job' ? 'body-dropped' : 'forgotten', id };
  switch (prefix) {
    case 'job':
      return parseAccepted(record.value);
    case 'cancel':
      return { change: 'cancelled', id };
    case 'final':
      return record.value === 'completed' || record.value === 'failed'
        ? { change: 'final', id, state: record.value }
        : undefined;
    default:
      return undefined;
  }
}

function parseAccepted(value: string): JobChange | undefined {
  try {
    const stored = JSON.parse(value) as {
      version: number;
      job: core.workloads.Job;
    };
    return stored.version === RECORD_VERSION
      ? { change: 'accepted', job: stored.job }
      : undefined;
  } catch {
    return undefined;
  }
}

/** Builds the records that drop all that is stored of an ended job. */
export function buildForgotten(id: core.ids.JobId): readonly ports.NewRecord[] {
  return (['job', 'cancel', 'final'] as const).map((prefix) => ({
    key: formatKey(prefix, id),
    value: undefined,
  }));
}

/** A claim of ownership, and its renewals. */
export interface ClaimRecord {
  readonly node: core.ids.ProcessName;
  readonly instance: core.ids.InstanceId;
  readonly address: core.ids.Address;
  /** Fence of the claim that is renewed; absent in the claim itself. */
  readonly fence?: number;
  /** The owner has given up. */
  readonly released?: boolean;
  /** It gave up without a record of all its starts. */
  readonly unrecorded?: boolean;
}

/** Reads a claim; undefined when it isn't one. */
export function parseClaim(value: string): ClaimRecord | undefined {
  try {
    const claim = JSON.parse(value) as ClaimRecord;
    return typeof claim.instance === 'string' &&
      typeof claim.address === 'string'
      ? claim
      : undefined;
  } catch {
    return undefined;
  }
}
