/** VMs of the platform's list that can't be used: what is skipped, logged and counted. */
import * as core from '@flamingoward/core';
import * as vitest from 'vitest';
import * as vmRecords from '../src/membership/vmRecords.js';
import * as fakes from './context.fakes.js';

const sound: core.workers.VmRecord = {
  id: 'w1',
  role: 'worker',
  address: '10.0.0.1:80',
  availabilityZone: 'muscat-a',
  region: 'muscat',
  rack: 'r1',
  state: 'live',
  size: { cores: 4, memoryMb: 1_024, gpus: 0 },
};

function createSetup() {
  const lines: unknown[] = [];
  const counts: string[] = [];
  const context = fakes.createQuietContext(core.createVirtualTimers(), 'p1');
  const selector = vmRecords.createVmSelector({
    ...context,
    log: { write: (_, event, fields) => lines.push({ event, ...fields }) },
    metrics: {
      ...context.metrics,
      count: (name, labels) => counts.push(`${name} ${labels.reason ?? ''}`),
    },
  });
  return { selector, lines, counts };
}

vitest.it.each([
  [{ ...sound, address: '127.0.0.\ufffd:80' }, 'address'],
  [{ ...sound, address: '127.0.0.1:70000' }, 'address'],
  [{ ...sound, address: ':1' }, 'address'],
  [{ ...sound, address: 7 }, 'fields'],
  [{ ...sound, id: undefined }, 'fields'],
  [{ ...sound, role: 'other' }, 'fields'],
  [{ ...sound, size: { cores: -1, memoryMb: 1, gpus: 0 } }, 'fields'],
  [null, 'fields'],
  ['vm', 'fields'],
  [[], 'fields'],
])(
  'skips %j for its %s, once in the log, and keeps the others (guards against a list that ends or starves a process)',
  (broken, reason) => {
    const { selector, lines, counts } = createSetup();
    for (let reads = 0; reads < 3; reads += 1)
      vitest.expect(selector.select([broken, sound])).toEqual([sound]);
    vitest.expect(lines).toMatchObject([{ event: 'vm.skipped', reason }]);
    vitest
      .expect(counts)
      .toEqual(Array.from({ length: 3 }, () => `vms_skipped_total ${reason}`));
    vitest.expect(selector.select([sound])).toEqual([sound]);
    selector.select([broken]);
    vitest.expect(lines).toHaveLength(2);
  },
);
