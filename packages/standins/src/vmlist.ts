/** Stand-in for the platform's VM list, which reports VMs with a configurable lag behind their actual state. */
import * as crypto from 'node:crypto';
import type * as http from 'node:http';
import type * as core from '@flamingoward/core';
import * as serving from './serve.js';

/** Control request: changes of the lag and of VM states. */
export interface VmListControl {
  /** Lag of the reported list, in ms. */
  readonly lagMs?: number;
  /** New states by VM id; `gone` removes a VM from the list. */
  readonly set?: Readonly<Record<string, core.workers.VmState | 'gone'>>;
}

export class VmListStandin {
  #history: core.workers.VmList[];
  #lagMs: number;
  #server: serving.Server | undefined;

  constructor(vms: readonly core.workers.VmRecord[], lagMs = 0) {
    this.#lagMs = lagMs;
    // Dated before any lag, so that the first list is visible at once.
    this.#history = [{ asOfMs: 0, vms }];
  }

  /** Starts listening and returns the address. */
  async start(host = '127.0.0.1', port = 0): Promise<string> {
    this.#server = await serving.serve(host, port, (incoming, response) => {
      this.handle(incoming, response);
    });
    return this.#server.address;
  }

  /** Returns the bytes of all connections since the start. */
  getTraffic(): serving.Traffic {
    return this.#server?.getTraffic() ?? { receivedBytes: 0, sentBytes: 0 };
  }

  async stop(): Promise<void> {
    await this.#server?.stop();
  }

  /** Replaces the actual list; callers see it after the lag. */
  update(vms: readonly core.workers.VmRecord[]): void {
    this.#history = [...this.#history, { asOfMs: Date.now(), vms }];
  }

  /** Applies a control request to the lag and the actual states. */
  applyControl(control: VmListControl): void {
    this.#lagMs = control.lagMs ?? this.#lagMs;
    const states = control.set ?? {};
    const { vms } = this.#findLatest(Infinity);
    this.update(
      vms
        .filter((vm) => states[vm.id] !== 'gone')
        .map((vm) => {
          const state = states[vm.id];
          return state === undefined || state === 'gone'
            ? vm
            : { ...vm, state };
        }),
    );
  }

  /** Returns the list as callers see it, delayed by the lag. */
  getList(): core.workers.VmList {
    const seenMs = Date.now() - this.#lagMs;
    const { vms } = this.#findLatest(seenMs);
    return { asOfMs: seenMs, vms };
  }

  /** Answers one request. */
  handle(incoming: serving.Incoming, response: http.ServerResponse): void {
    if (incoming.path === '/vms') {
      respondVmList(this.getList(), incoming, response);
    } else if (incoming.path === '/-/control') {
      this.applyControl(serving.parseBody(incoming) as VmListControl);
      serving.respondJson(response, 200, {});
    } else serving.respondJson(response, 404, {});
  }

  #findLatest(atMs: number): core.workers.VmList {
    const latest = this.#history.findLast((list) => list.asOfMs <= atMs);
    return latest ?? { asOfMs: 0, vms: [] };
  }
}

/** Answers with the list, or with 304 when the request's ETag shows that the caller has it already. */
export function respondVmList(
  list: core.workers.VmList,
  incoming: serving.Incoming,
  response: http.ServerResponse,
): void {
  const hash = crypto.createHash('sha1').update(JSON.stringify(list.vms));
  const etag = `"${hash.digest('base64url')}"`;
  response.setHeader('etag', etag);
  if (incoming.headers['if-none-match'] === etag) {
    response.statusCode = 304;
    response.end();
  } else serving.respondJson(response, 200, list);
}
