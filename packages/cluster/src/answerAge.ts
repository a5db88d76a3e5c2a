/** How old what callers are told about jobs may be. */

/** Age from which tables, counts and cancellations aren't told any more, in ms; callers are promised answers of the last two seconds. */
export const STALE_MS = 2_000;
