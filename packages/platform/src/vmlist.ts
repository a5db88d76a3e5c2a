/** Client for the platform's list of VMs. */
import * as core from '@flamingoward/core';
import * as pools from './pool.js';
import type * as types from './types.js';

/** What the client of the VM list needs. */
export interface VmListClientOptions {
  readonly address: core.ids.Address;
  readonly timers: core.TimerService;
  readonly timeoutMs?: number;
}

/** Creates a client for the VM list. */
export function createVmListClient(
  options: VmListClientOptions,
): types.VmListClient {
  const { address, timers } = options;
  const timeoutMs = options.timeoutMs ?? 2_000;
  const step = 'vms.read';
  const pool = pools.createPool({
    address,
    timers,
    connections: 1,
    connectTimeoutMs: timeoutMs,
  });

  async function readList(): Promise<core.workers.VmList> {
    const list = (await pools.askJson(
      pool,
      address,
      step,
      { method: 'GET', path: '/vms', expect: [200] },
      timeoutMs,
    )) as Partial<core.workers.VmList>;
    // An answer without a list must not read as a fleet without VMs.
    if (list.asOfMs === undefined || !Array.isArray(list.vms))
      throw core.createFault(
        'bad-frame',
        { step, peer: address },
        'the VM list has no vms or no asOfMs',
      );
    return { asOfMs: list.asOfMs, vms: list.vms };
  }

  return {
    readList,
    close() {
      pool.close();
      return Promise.resolve();
    },
  };
}
