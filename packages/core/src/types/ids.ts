/**
 * Identifiers. They are plain strings and numbers; the type aliases document which
 * identifier a field holds, and the compiler does not tell them apart.
 */

/** Name of a daemon on an entry VM, from its settings file, such as `muscat-a-1`. */
export type ProcessName = string;

/** Identifier of one incarnation of a daemon; a restart creates a new one. */
export type InstanceId = string;

/** Identifier of a VM in the platform's VM list. */
export type VmId = string;

/** Name of a region, such as `muscat`. */
export type RegionName = string;

/** Name of an availability zone, such as `muscat-a`. */
export type AvailabilityZone = string;

/** Name of a rack. */
export type RackName = string;

/** Name of a service in the release in force. */
export type ServiceName = string;

/** Name of a team in the release in force. */
export type TeamName = string;

/** Identifier of a job. */
export type JobId = string;

/** Identifier of one attempt to run a task: `<job>.<index>.<attempt number>`. */
export type AttemptId = string;

/**
 * Name of a shard, the unit that one process owns at a time: `workers/<region>` or
 * `service/<name>@<region>`.
 */
export type ShardName = string;

/** Position of a record in a stream of the log service. */
export type Offset = number;

/** Identifier of a log record, chosen by its writer; records with a repeated id are ignored. */
export type RecordId = string;

/** Network address in the form `ip:port`. */
export type Address = string;

/** Priority class of work; more urgent work starts first. */
export type Urgency = 'urgent' | 'normal' | 'deferrable';

/** All urgencies, most urgent first. */
export const urgencies: readonly Urgency[] = ['urgent', 'normal', 'deferrable'];

/**
 * Fencing number under which an owner acts; a higher epoch supersedes a lower one. A
 * claim in the log gives `{offset, provisional: 0}`. While the log is unreachable, a new
 * owner raises `provisional` instead. Epochs are ordered by offset, then provisional;
 * equal ones by the owner's instance.
 */
export interface Epoch {
  readonly offset: Offset;
  readonly provisional: number;
}
