/** The VM list is sent again only when it changed, and a change always arrives. */
import * as core from '@flamingoward/core';
import * as clients from '@flamingoward/clients';
import * as vitest from 'vitest';
import * as standins from '../src/index.js';

const vm: core.workers.VmRecord = {
  id: 'w1',
  role: 'worker',
  address: '127.0.0.1:1',
  availabilityZone: 'a',
  region: 'r',
  rack: 'k',
  state: 'live',
  size: { cores: 1, memoryMb: 1, gpus: 0 },
};

vitest.test(
  'an unchanged list costs no body, and a VM that begins to leave is seen at once (guards P6)',
  async () => {
    const list = new standins.VmListStandin([vm]);
    const address = await list.start();
    const client = clients.createVmListClient({
      address,
      timers: core.createSystemTimers(),
    });
    vitest.expect((await client.readList()).vms).toEqual([vm]);
    const sent = list.readTraffic().sentBytes;
    vitest.expect((await client.readList()).vms).toEqual([vm]);
    vitest
      .expect(list.readTraffic().sentBytes - sent)
      .toBeLessThan(JSON.stringify(vm).length + 100);
    list.set({ set: { w1: 'leaving' } });
    vitest.expect((await client.readList()).vms[0]?.state).toBe('leaving');
    await client.close();
    await list.stop();
  },
);
