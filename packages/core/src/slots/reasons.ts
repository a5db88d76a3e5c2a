/** Explains to callers and operators why a request waits, was refused or was stopped. */
import type * as reasons from '../types/reasons.js';

/** Describes a reason in one sentence, without a capital letter or full stop. */
export function describeRequestReason(reason: reasons.Reason): string {
  switch (reason.reason) {
    case 'no-candidate':
    case 'never-fits':
      return describeObstacles(reason.total, reason.counts);
    case 'quota':
      return `team ${reason.team} uses ${reason.used} of its ${reason.quota} ${reason.resource}`;
    case 'fair-share':
      return `${reason.ahead} teams that used less for their weight are served first`;
    case 'floor':
      return `the floor of ${reason.urgency} work leaves ${reason.left} ${reason.resource}, but ${reason.needed} are needed`;
    case 'expected-wait':
      return `the expected wait is ${Math.round(reason.expectedMs)} ms and the service allows ${Math.round(reason.limitMs)} ms`;
    case 'queue-full':
      return `${reason.length} requests are waiting already and the limit is ${reason.limit}`;
    case 'no-owner':
      return `no process owns ${reason.shard} at the moment`;
    case 'log-away':
      return `the log service has not answered for ${Math.round(reason.sinceMs)} ms`;
    case 'preempted':
      return `preempted by the more urgent job ${reason.by}`;
    case 'worker-lost':
      return `worker ${reason.worker} was lost`;
    case 'waiting-for-lease':
      return `waiting until the lease on worker ${reason.worker} ends`;
    case 'reserved-for-gang':
      return `the capacity is reserved for gang job ${reason.job}`;
    case 'unknown-service':
      return `the release in force has no service ${reason.service}`;
    case 'deadline':
      return `no slot became free within ${Math.round(reason.waitedMs)} ms`;
    case 'draining':
      return 'this process is stopping and takes no new requests';
    case 'cancelled':
      return `cancelled by ${reason.by}`;
  }
}

function describeObstacles(
  total: number,
  counts: readonly reasons.FilterCount[],
): string {
  if (total === 0) return 'the service has no backend server in this region';
  const removed = counts
    .filter((count) => count.removed > 0)
    .map((count) => `${count.removed} ${count.filter}`)
    .join(', ');
  return `none of ${total} backend servers can be used (${removed === '' ? 'all busy' : removed})`;
}
