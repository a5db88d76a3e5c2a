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

  let last:
    { readonly etag: string; readonly list: core.workers.VmList } | undefined;

  async function readList(): Promise<core.workers.VmList> {
    // The list seldom changes: with the entity tag of the last answer the platform
    // sends it only when it did. A platform without tags sends it whole each time.
    const headers: types.HeaderFields =
      last === undefined ? {} : { 'if-none-match': last.etag };
    const result = await pool.send(
      { method: 'GET', path: '/vms', headers },
      { timeoutMs, maxResponseBytes: pools.MAX_JSON_BYTES },
      step,
    );
    const origin = { step, peer: address };
    if (result.result !== 'answered')
      throw core.createFault(
        'peer-away',
        { ...origin, cause: result.cause },
        result.result,
      );
    if (result.status === 304 && last !== undefined) return last.list;
    if (result.status !== 200)
      throw core.createFault('peer-away', origin, `status ${result.status}`);
    const list = checkList(pools.parseJson(result.body, origin), origin);
    const { etag } = result.headers;
    last = typeof etag === 'string' ? { etag, list } : undefined;
    return list;
  }

  return {
    readList,
    close() {
      pool.close();
      return Promise.resolve();
    },
  };
}

/** An answer without a list must not read as a fleet without VMs. */
function checkList(
  json: unknown,
  origin: { readonly step: string; readonly peer: string },
): core.workers.VmList {
  const { asOfMs, vms } = json as Partial<core.workers.VmList>;
  if (asOfMs === undefined || !Array.isArray(vms))
    throw core.createFault(
      'bad-frame',
      origin,
      'the VM list has no vms or no asOfMs',
    );
  return { asOfMs, vms };
}
