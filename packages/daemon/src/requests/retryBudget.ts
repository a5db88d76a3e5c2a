/**
 * Retry budgets: retries are limited to a share of the requests of a service, so that
 * they don't multiply the load when many requests fail.
 */
import type * as core from '@flamingoward/core';

/** Retries that each request adds to the budget of its service. */
const RETRIES_PER_REQUEST = 0.1;
/** Largest budget that a service can accumulate. */
const MAX_SAVED_RETRIES = 10;
/** Budget of a service before its first request. */
const INITIAL_RETRIES = 2;

/** Retry budgets of all services of one process. */
export interface RetryBudgets {
  /** Counts a request, which adds a share of a retry to the budget. */
  addRequest(service: core.ids.ServiceName): void;
  /** Takes one retry; false when the budget is used up. */
  take(service: core.ids.ServiceName): boolean;
}

/** Creates the budgets. */
export function createRetryBudgets(): RetryBudgets {
  const saved = new Map<core.ids.ServiceName, number>();

  function getSaved(service: core.ids.ServiceName): number {
    return saved.get(service) ?? INITIAL_RETRIES;
  }

  return {
    addRequest(service) {
      saved.set(
        service,
        Math.min(MAX_SAVED_RETRIES, getSaved(service) + RETRIES_PER_REQUEST),
      );
    },
    take(service) {
      const left = getSaved(service);
      if (left < 1) return false;
      saved.set(service, left - 1);
      return true;
    },
  };
}
