/** Client for all workers; keeps a connection pool for each worker address in use. */
import * as core from '@flamingoward/core';
import * as clients from '@flamingoward/clients';
import type * as workers from '../workers/types.js';

/** Client for all workers that can be closed. */
export interface WorkerClients extends workers.WorkerClient {
  close(): Promise<void>;
}

/** Creates the client; it connects to a worker on the first call. */
export function createWorkerClients(timers: core.TimerService): WorkerClients {
  const byAddress = new Map<core.ids.Address, clients.WorkerClient>();

  function ensureClient(address: core.ids.Address): clients.WorkerClient {
    const known = byAddress.get(address);
    if (known !== undefined) return known;
    const client = clients.createWorkerClient({ address, timers });
    byAddress.set(address, client);
    return client;
  }

  async function start(
    address: core.ids.Address,
    request: core.workers.StartRequest,
  ): Promise<core.workers.StartAnswer> {
    const result = await ensureClient(address).start(request);
    switch (result.outcome) {
      case 'answered':
        return result.answer;
      case 'not-sent':
      case 'uncertain':
        // The shard treats both alike: a worker can't begin the start after its startByMs.
        throw result.cause;
    }
  }

  return {
    sync: (address, request) => ensureClient(address).sync(request),
    start,
    stop: (address, session, attempt) =>
      ensureClient(address).stop(session, attempt),
    checkpoint: (address, session, attempt) =>
      ensureClient(address).checkpoint(session, attempt),
    throttle: (address, session, attempt) =>
      ensureClient(address).throttle(session, attempt, THROTTLED_CORE_SHARE),
    async close() {
      const clients = [...byAddress.values()];
      byAddress.clear();
      await Promise.all(clients.map((client) => client.close()));
    },
  };
}

/** Share of its declared cores that a throttled attempt keeps; 1 is all of them. */
const THROTTLED_CORE_SHARE = 1;
