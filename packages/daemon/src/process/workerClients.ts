/** One client for all workers, with a connection pool for each address in use. */
import * as core from '@flamingoward/core';
import * as clients from '@flamingoward/clients';
import type * as workers from '../workers/types.js';

/** The client and its end. */
export interface WorkerClients extends workers.WorkerClient {
  close(): Promise<void>;
}

/** Creates the client; it connects to a worker with the first call to it. */
export function createWorkerClients(timers: core.TimerService): WorkerClients {
  const byAddress = new Map<core.ids.Address, clients.WorkerClient>();

  function ensure(address: core.ids.Address): clients.WorkerClient {
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
    const result = await ensure(address).start(request);
    switch (result.outcome) {
      case 'answered':
        return result.answer;
      case 'not-sent':
      case 'uncertain':
        // The shard treats both alike: the start is over after its startByMs.
        throw result.cause;
    }
  }

  return {
    sync: (address, request) => ensure(address).sync(request),
    start,
    stop: (address, session, attempt) => ensure(address).stop(session, attempt),
    checkpoint: (address, session, attempt) =>
      ensure(address).checkpoint(session, attempt),
    throttle: (address, session, attempt) =>
      ensure(address).throttle(session, attempt, THROTTLE_SHARE),
    async close() {
      const clients = [...byAddress.values()];
      byAddress.clear();
      await Promise.all(clients.map((client) => client.close()));
    },
  };
}

/** Share of its declared cores that a throttled attempt keeps. */
const THROTTLE_SHARE = 1;
