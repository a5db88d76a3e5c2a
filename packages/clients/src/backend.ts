/** Client for the backend servers. */
import * as core from '@flamingoward/core';
import * as pools from './pool.js';
import type * as types from './types.js';

/** What the client of the backend servers needs. */
export interface BackendClientOptions {
  readonly timers: core.TimerService;
  /** Largest number of connections to one backend server, for requests and status together. */
  readonly connections: number;
  readonly connectTimeoutMs?: number;
}

/** Creates a client for all backend servers. */
export function createBackendClient(
  options: BackendClientOptions,
): types.BackendClient {
  const byAddress = new Map<core.ids.Address, pools.Pool>();

  function ensurePool(address: core.ids.Address): pools.Pool {
    const known = byAddress.get(address);
    if (known !== undefined) return known;
    const pool = pools.createPool({
      address,
      timers: options.timers,
      connections: options.connections,
      connectTimeoutMs: options.connectTimeoutMs ?? 1_000,
    });
    byAddress.set(address, pool);
    return pool;
  }

  async function readStatus(
    address: core.ids.Address,
    timeoutMs: number,
  ): Promise<types.BackendStatus> {
    const step = 'backend.status';
    const status = (await pools.askJson(
      ensurePool(address),
      address,
      step,
      { method: 'GET', path: '/-/status', expect: [200] },
      timeoutMs,
    )) as Partial<types.BackendStatus>;
    const { slots, busy, connections } = status;
    if (slots === undefined || busy === undefined || connections === undefined)
      throw core.createFault(
        'bad-frame',
        { step, peer: address },
        'the status lacks slots, busy or connections',
      );
    return { slots, busy, connections };
  }

  return {
    send: (address, request, limits) =>
      ensurePool(address).send(request, limits, 'backend.send'),
    readStatus,
    drop(address) {
      const pool = byAddress.get(address);
      if (pool?.drain() === 0) byAddress.delete(address);
    },
    close() {
      for (const pool of byAddress.values()) pool.close();
      byAddress.clear();
      return Promise.resolve();
    },
  };
}
