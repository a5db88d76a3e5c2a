/** HTTP client of the platform's list of VMs. */
import * as core from '@flamingoward/core';
import * as pools from './pool.js';
import type * as types from './types.js';

/** Options of the VM list client. */
export interface VmListClientOptions {
  readonly address: core.ids.Address;
  readonly timers: core.TimerService;
  readonly timeoutMs?: number;
}

/** Creates the client of the VM list. */
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

  let cached:
    { readonly etag: string; readonly list: core.workers.VmList } | undefined;

  async function readList(): Promise<core.workers.VmList> {
    // The list seldom changes. With the entity tag of the last response, the platform sends
    // the list only when it has changed; a platform without entity tags always sends it.
    const headers: types.HeaderFields =
      cached === undefined ? {} : { 'if-none-match': cached.etag };
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
    if (result.status === 304 && cached !== undefined) return cached.list;
    if (result.status !== 200)
      throw core.createFault('peer-away', origin, `status ${result.status}`);
    const list = checkList(pools.parseJson(result.body, origin), origin);
    const { etag } = result.headers;
    cached = typeof etag === 'string' ? { etag, list } : undefined;
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

/** Rejects a response without a list, so that it isn't taken for an empty fleet. */
function checkList(
  json: unknown,
  origin: { readonly step: string; readonly peer: string },
): core.workers.VmList {
  const { asOfMs, vms } = json as Partial<core.workers.VmList>;
  if (asOfMs === undefined || !Array.isArray(vms))
    throw core.createFault(
      'bad-frame',
      origin,
      'the VM list lacks vms or asOfMs',
    );
  return { asOfMs, vms };
}
