/** Stand-in for the platform's list of VMs, which lags behind the actual state. */
import * as crypto from 'node:crypto';
import type * as http from 'node:http';
import type * as core from '@flamingoward/core';
import * as serving from './serve.js';

/** What changes the list. */
export interface VmListControl {
  /** How far the list lags, in ms. */
  readonly lagMs?: number;
  /** New state of VMs by id; `gone` removes a VM. */
  readonly set?: Readonly<Record<string, core.workers.VmState | 'gone'>>;
}

/** The list of VMs. */
export class VmListStandin {
  #history: core.workers.VmList[];
  #lagMs: number;
  #server: serving.Server | undefined;

  constructor(vms: readonly core.workers.VmRecord[], lagMs = 0) {
    this.#lagMs = lagMs;
    // The first list counts as old, so that it is visible at once.
    this.#history = [{ asOfMs: 0, vms }];
  }

  /** Starts to serve and returns the address. */
  async start(host = '127.0.0.1', port = 0): Promise<string> {
    this.#server = await serving.serve(host, port, (incoming, response) => {
      this.handle(incoming, response);
    });
    return this.#server.address;
  }

  /** Bytes of all connections since the start. */
  readTraffic(): serving.Traffic {
    return this.#server?.readTraffic() ?? { receivedBytes: 0, sentBytes: 0 };
  }

  async stop(): Promise<void> {
    await this.#server?.stop();
  }

  /** Replaces the actual list. */
  update(vms: readonly core.workers.VmRecord[]): void {
    this.#history = [...this.#history, { asOfMs: Date.now(), vms }];
  }

  /** Changes the lag and the states of VMs. */
  set(control: VmListControl): void {
    this.#lagMs = control.lagMs ?? this.#lagMs;
    const states = control.set ?? {};
    const { vms } = this.#readLatest(Infinity);
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

  /** Returns the list as callers see it. */
  read(): core.workers.VmList {
    const seenMs = Date.now() - this.#lagMs;
    const { vms } = this.#readLatest(seenMs);
    return { asOfMs: seenMs, vms };
  }

  /** Answers one request. */
  handle(incoming: serving.Incoming, response: http.ServerResponse): void {
    if (incoming.path === '/vms') {
      respondVmList(this.read(), incoming, response);
    } else if (incoming.path === '/-/control') {
      this.set(serving.parseBody(incoming) as VmListControl);
      serving.respondJson(response, 200, {});
    } else serving.respondJson(response, 404, {});
  }

  #readLatest(atMs: number): core.workers.VmList {
    const latest = this.#history.findLast((list) => list.asOfMs <= atMs);
    return latest ?? { asOfMs: 0, vms: [] };
  }
}

/** Answers with a list, or with 304 when the caller has it already. */
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
