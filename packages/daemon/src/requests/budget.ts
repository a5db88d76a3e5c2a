/** Retry budgets: retries are a bounded share of the requests of a service. */
import type * as core from '@flamingoward/core';

/** Share of requests that may be retried. */
const RETRY_SHARE = 0.1;
/** Retries that an idle service may save up. */
const MAX_SAVED = 10;
/** Retries allowed before the first requests have earned any. */
const FIRST_SAVED = 2;

/** Retry budgets of all services of one process. */
export interface RetryBudgets {
  /** Counts a request, which earns a share of a retry. */
  addRequest(service: core.ids.ServiceName): void;
  /** Takes one retry; false when the budget is used up. */
  take(service: core.ids.ServiceName): boolean;
}

/** Creates budgets. */
export function createRetryBudgets(): RetryBudgets {
  const saved = new Map<core.ids.ServiceName, number>();

  function readSaved(service: core.ids.ServiceName): number {
    return saved.get(service) ?? FIRST_SAVED;
  }

  return {
    addRequest(service) {
      saved.set(service, Math.min(MAX_SAVED, readSaved(service) + RETRY_SHARE));
    },
    take(service) {
      const left = readSaved(service);
      if (left < 1) return false;
      saved.set(service, left - 1);
      return true;
    },
  };
}
