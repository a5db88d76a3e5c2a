/** Conditional requests of the VM list: an unchanged list is not sent again, and a change is always visible. */
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
  'an unchanged list is answered without a body, and the next request shows a VM that starts leaving (guards P6)',
  async () => {
    const list = new standins.VmListStandin([vm]);
    const address = await list.start();
    const client = clients.createVmListClient({
      address,
      timers: core.createSystemTimers(),
    });
    vitest.expect((await client.readList()).vms).toEqual([vm]);
    const sentBefore = list.getTraffic().sentBytes;
    vitest.expect((await client.readList()).vms).toEqual([vm]);
    vitest
      .expect(list.getTraffic().sentBytes - sentBefore)
      .toBeLessThan(JSON.stringify(vm).length + 100);
    list.applyControl({ set: { w1: 'leaving' } });
    vitest.expect((await client.readList()).vms[0]?.state).toBe('leaving');
    await client.close();
    await list.stop();
  },
);
