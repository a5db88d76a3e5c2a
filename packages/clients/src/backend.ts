/** HTTP client of the backend servers, with a pool of connections for each server. */
import * as core from '@flamingoward/core';
import * as pools from './pool.js';
import type * as types from './types.js';

/** Options of the backend client. */
export interface BackendClientOptions {
  readonly timers: core.TimerService;
  /** Largest number of connections to one backend server; requests and status queries share them. */
  readonly connections: number;
  readonly connectTimeoutMs?: number;
}

/** Creates the client of all backend servers; it connects to a server with its first request. */
export function createBackendClient(
  options: BackendClientOptions,
): types.BackendClient {
  const poolByAddress = new Map<core.ids.Address, pools.Pool>();

  function ensurePool(address: core.ids.Address): pools.Pool {
    const known = poolByAddress.get(address);
    if (known !== undefined) return known;
    const pool = pools.createPool({
      address,
      timers: options.timers,
      connections: options.connections,
      connectTimeoutMs: options.connectTimeoutMs ?? 1_000,
    });
    poolByAddress.set(address, pool);
    return pool;
  }

  async function readStatus(
    address: core.ids.Address,
    timeoutMs: number,
  ): Promise<types.BackendStatus> {
    const step = 'backend.status';
    const status = (await pools.requestJson(
      ensurePool(address),
      address,
      step,
      { method: 'GET', path: '/-/status', expectedStatuses: [200] },
      timeoutMs,
    )) as Partial<types.BackendStatus>;
    const { slots, busy, connections } = status;
    if (slots === undefined || busy === undefined || connections === undefined)
      throw core.createFault(
        'bad-frame',
        { step, peer: address },
        'the status response lacks slots, busy or connections',
      );
    return { slots, busy, connections };
  }

  return {
    send: (address, request, limits) =>
      ensurePool(address).send(request, limits, 'backend.send'),
    readStatus,
    drop(address) {
      const pool = poolByAddress.get(address);
      if (pool?.drain() === 0) poolByAddress.delete(address);
    },
    close() {
      for (const pool of poolByAddress.values()) pool.close();
      poolByAddress.clear();
      return Promise.resolve();
    },
  };
}
