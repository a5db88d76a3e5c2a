/** Entries that name no VM to use: how the list of VMs skips, logs and counts them. */
import * as vitest from 'vitest';
import * as fleets from '../src/fleet.js';
import type * as ports from '../src/ports.js';
import * as fakes from './fakes.js';

const vm = { id: 'vm', address: '10.0.0.1:80', pool: 'pool' };

function createSetup() {
  const context = fakes.createFakeContext();
  const stream = fakes.createFakeStream(context.timers);
  const counts: string[] = [];
  const vms: ports.VmSource = {
    read: (from, options) => stream.read(from, options),
    readNewest: (timeoutMs) => stream.readNewest(timeoutMs),
    decode: ({ key, value }) =>
      value === 'sound'
        ? {
            readable: true,
            value: {
              ...vm,
              id: key,
              incarnation: 1,
              availabilityZone: 'zone',
              rack: undefined,
              labels: [],
              capacity: { cores: 1, memoryMb: 1, gpus: 0 },
              draining: false,
            },
          }
        : { readable: false, reason: 'address', why: 'expected IP:PORT' },
  };
  const fleet = fleets.createFleet({
    ...context,
    ports: { ...context.ports, vms },
    metrics: {
      ...context.metrics,
      count: (name, labels) => counts.push(`${name} ${labels.reason ?? ''}`),
    },
  });
  const listSkipped = () =>
    context.lines.filter(({ event }) => event === 'vm.skipped');
  return { context, stream, fleet, counts, listSkipped };
}

vitest.it(
  'skips an entry that names no VM with one line and a count by reason, and keeps the sound ones (guards against a VM that counts as listed and that nobody can call)',
  async () => {
    const { stream, fleet, counts, listSkipped } = createSetup();
    stream.add('sound', 'sound');
    stream.add('other', 'unusable');
    await fleet.refresh();
    stream.add('other', 'unusable again');
    await fleet.refresh();
    vitest.expect([...fleet.list()].map(({ id }) => id)).toEqual(['sound']);
    vitest.expect(listSkipped()).toEqual([
      {
        event: 'vm.skipped',
        fields: { vm: 'other', reason: 'address', why: 'expected IP:PORT' },
      },
    ]);
    vitest
      .expect(counts)
      .toEqual(['vm_entries_skipped address', 'vm_entries_skipped address']);
    fleet.close();
  },
);

vitest.it(
  'keeps a VM listed whose entry another writer replaced until it writes again, and for 4.5 s at most (guards against a sound VM that gets no work meanwhile)',
  async () => {
    const { context, stream, fleet, listSkipped } = createSetup();
    stream.add('vm', 'sound');
    await fleet.refresh();
    for (const value of ['unusable', 'sound', 'unusable']) {
      context.fakeTimers.advance(1_500);
      stream.add('vm', value);
      await fleet.refresh();
      vitest.expect(fleet.find('vm')).toBeDefined();
    }
    vitest.expect(listSkipped()).toHaveLength(2);
    for (const isListed of [true, true, true, false]) {
      context.fakeTimers.advance(1_499);
      stream.add('vm', 'unusable again');
      await fleet.refresh();
      vitest.expect(fleet.find('vm') !== undefined).toBe(isListed);
    }
    fleet.close();
  },
);

vitest.it(
  'removes a VM whose entry is dropped after it was replaced',
  async () => {
    const { stream, fleet } = createSetup();
    for (const value of ['sound', 'unusable', undefined])
      stream.add('vm', value);
    await fleet.refresh();
    vitest.expect(fleet.find('vm')).toBeUndefined();
    fleet.close();
  },
);
