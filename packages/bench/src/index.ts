/** Measurements of decisions, recovery and cost. */
export {};
