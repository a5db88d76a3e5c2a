/**
 * Names and numbers that identify things. They are plain strings and numbers;
 * the aliases say which one a field holds.
 */

/** Name of an entry VM's daemon as the settings give it, such as `muscat-a-1`. */
export type ProcessName = string;

/** One run of a daemon; a restarted daemon has a new instance. */
export type InstanceId = string;

/** Identifier of a VM in the platform's list. */
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

/** Identifier of one try at running a task: `<job>.<index>.<attempt number>`. */
export type AttemptId = string;

/** Name of a unit of ownership: `workers/<region>` or `service/<name>@<region>`. */
export type ShardName = string;

/** Position of a record in a stream of the log service. */
export type Offset = number;

/** Client-chosen identifier of a log record; readers ignore repeats. */
export type RecordId = string;

/** `ip:port`. */
export type Address = string;

/** How urgent work is; urgent work starts first. */
export type Urgency = 'urgent' | 'normal' | 'deferrable';

/** All urgencies, most urgent first. */
export const urgencies: readonly Urgency[] = ['urgent', 'normal', 'deferrable'];

/**
 * Authority number of an owner. A claim in the log gives `{offset, provisional: 0}`;
 * without the log an owner raises `provisional` instead. Ordered by offset, then
 * provisional, then instance.
 */
export interface Epoch {
  readonly offset: Offset;
  readonly provisional: number;
}
