/**
 * Bounds the outgoing connections of all clients of a process: when there are more than the
 * limit, the connections to addresses without a call are closed early, the least recently
 * used first. It has no input or output; clients report their calls and connections.
 */

/** A pool of connections to one address, of one client. */
export interface BudgetedPool {
  /** Closes the pool; only called while it has no call. */
  close(): void;
}

/** The outgoing connections of a process. */
export interface ConnectionBudget {
  beginCall(pool: BudgetedPool): void;
  endCall(pool: BudgetedPool): void;
  /** Adds a connection that was opened; may close other pools. */
  addConnection(pool: BudgetedPool): void;
  removeConnection(pool: BudgetedPool): void;
  /** Removes a pool that its client closes. */
  removePool(pool: BudgetedPool): void;
  countConnections(): number;
}

interface Entry {
  calls: number;
  connections: number;
}

/** Creates the budget of at most `maxConnections`, unless more have calls. */
export function createConnectionBudget(
  maxConnections: number,
): ConnectionBudget {
  /** Pools in the order of their last call. */
  const entries = new Map<BudgetedPool, Entry>();
  let connections = 0;
  /** Number of pools with connections and no call. */
  let unusedPools = 0;

  function isUnused({ calls, connections: count }: Entry): boolean {
    return calls === 0 && count > 0;
  }

  /** Applies a change to a pool. */
  function applyChange(entry: Entry, by: Partial<Entry>): void {
    if (isUnused(entry)) unusedPools -= 1;
    entry.calls += by.calls ?? 0;
    entry.connections += by.connections ?? 0;
    connections += by.connections ?? 0;
    if (isUnused(entry)) unusedPools += 1;
  }

  function removePool(pool: BudgetedPool): void {
    const entry = entries.get(pool);
    if (entry === undefined) return;
    applyChange(entry, { connections: -entry.connections });
    entries.delete(pool);
  }

  function closeUnused(): void {
    // With thousands of pools that all have calls, a search at each call would keep an owner busy.
    if (unusedPools === 0 || connections <= maxConnections) return;
    for (const [pool, entry] of entries) {
      if (!isUnused(entry)) continue;
      removePool(pool);
      pool.close();
      if (unusedPools === 0 || connections <= maxConnections) return;
    }
  }

  return {
    beginCall(pool) {
      const entry = entries.get(pool) ?? { calls: 0, connections: 0 };
      applyChange(entry, { calls: 1 });
      entries.delete(pool);
      entries.set(pool, entry);
    },
    endCall(pool) {
      const entry = entries.get(pool);
      if (entry === undefined) return;
      applyChange(entry, { calls: -1 });
      closeUnused();
    },
    addConnection(pool) {
      const entry = entries.get(pool);
      if (entry === undefined) return;
      applyChange(entry, { connections: 1 });
      closeUnused();
    },
    removeConnection(pool) {
      const entry = entries.get(pool);
      if (entry === undefined) return;
      applyChange(entry, { connections: -1 });
    },
    removePool,
    countConnections: () => connections,
  };
}
