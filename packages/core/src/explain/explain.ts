/** Describes reasons in sentences for callers and operators. */
import type * as reasons from '../types/reasons.js';

/** Predicates for the workers that each filter removed. */
const filterTexts: Readonly<Record<reasons.FilterName, string>> = {
  size: 'are too small even when idle',
  location: 'are in another availability zone than the job asks for',
  quarantine:
    'are quarantined because tasks failed there, or the job failed there before',
  leaving: 'are leaving',
  authority:
    "can't be given tasks now, because they don't answer or this process doesn't hold authority over them yet",
  cores: 'have too few free cores',
  memory: 'have too little free memory',
  gpus: 'have too few free GPUs',
  racks: 'are in racks that together hold too few members',
};

/** What would let the job start, by the last filter that removed workers. */
const remedies: Readonly<Record<reasons.FilterName, string>> = {
  size: 'Declare a smaller size, or add larger workers.',
  location: 'Leave out the availability zone, or add workers there.',
  quarantine:
    'A trial task every 30 s ends the quarantine of a repaired worker.',
  leaving: 'New workers would let it start.',
  authority: 'It starts when the workers answer again.',
  cores: 'It starts when enough cores on one worker become free.',
  memory: 'It starts when enough memory on one worker becomes free.',
  gpus: 'It starts when enough GPUs on one worker become free.',
  racks: 'Allow more racks, or use fewer members.',
};

/** Describes the counts of the filters, one sentence each, and then a remedy. */
export function describeCounts(
  total: number,
  counts: readonly reasons.FilterCount[],
): string[] {
  const lines = counts.map(
    ({ filter, removed }) =>
      `${removed} of ${total} workers ${filterTexts[filter]}.`,
  );
  const last = counts.at(-1);
  if (last !== undefined) lines.push(remedies[last.filter]);
  return lines;
}

/** Describes a reason in sentences. */
export function describeReason(reason: reasons.Reason): string[] {
  switch (reason.reason) {
    case 'no-candidate':
      return [
        'No worker has room now.',
        ...describeCounts(reason.total, reason.counts),
      ];
    case 'never-fits':
      return [
        'It can never run on the workers listed now.',
        ...describeCounts(reason.total, reason.counts),
      ];
    case 'quota':
      return [
        `Team ${reason.team} uses ${reason.used} of its quota of ${reason.quota} ${reason.resource}.`,
        'It starts when other work of the team ends, or when a release raises the quota.',
      ];
    case 'fair-share':
      return [
        `Capacity that is free now is kept for the floor of another urgency; ${reason.ahead} tasks wait in all.`,
        'It starts when its own share frees up, or when a release changes the floors.',
      ];
    case 'floor':
      return [
        `Work that can't be taken back may use ${reason.left} ${reason.resource} here, because the rest is kept for ${reason.urgency} work; ${reason.needed} are needed.`,
        'Make its class preemptible, lower the floor in a release, or declare less.',
      ];
    case 'expected-wait':
      return [
        `The expected wait of ${Math.round(reason.expectedMs)} ms is longer than the limit of ${reason.limitMs} ms of its class.`,
        'Submit it later, or raise max_wait_ms of the class.',
      ];
    case 'queue-full':
      return [
        `${reason.length} tasks wait, and the limit is ${reason.limit}.`,
        'Submit it later.',
      ];
    case 'no-owner':
      return [`Shard ${reason.shard} has no owner at the moment.`];
    case 'log-away':
      return ["The log service doesn't answer."];
    case 'preempted':
      return [`It was stopped to make room for job ${reason.by}.`];
    case 'worker-lost':
      return [`Worker ${reason.worker} was lost.`];
    case 'waiting-for-lease':
      return [
        `It may still run on worker ${reason.worker}, which doesn't answer.`,
        'It starts again when its lease there has certainly ended.',
      ];
    case 'reserved-for-gang':
      return [
        `Capacity is reserved for job ${reason.job}, which waits longer.`,
      ];
    case 'unknown-service':
      return [`Service ${reason.service} isn't in the release in force.`];
    case 'deadline':
      return [`Its deadline passed after ${reason.waitedMs} ms.`];
    case 'draining':
      return ['The process is shutting down.'];
    case 'cancelled':
      return [`It was cancelled by ${reason.by}.`];
  }
}
