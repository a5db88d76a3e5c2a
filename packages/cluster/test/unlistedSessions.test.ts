/** Sessions of an owner with VMs whose entries come and go: when they end, and whose connections close. */
import * as core from '@flamingoward/core';
import * as vitest from 'vitest';
import * as fleets from '../src/fleet.js';
import * as jobStores from '../src/jobStore.js';
import * as owners from '../src/owner.js';
import type * as ports from '../src/ports.js';
import * as fakes from './fakes.js';

type Answer = 'held' | 'refused' | 'other-life';

/** Creates an owner; `answers` are those of VMs to holds, `held` by default. */
function createSetup(answers: Readonly<Record<string, Answer>>) {
  const context = fakes.createFakeContext();
  const { timers } = context;
  const holds: string[] = [];
  const dropped: string[] = [];
  const vmStream = fakes.createFakeStream(timers);
  const vmCalls: ports.VmCalls = {
    ...context.ports.vmCalls,
    async hold({ id }, { waitMs }) {
      holds.push(id);
      await core.waitFor(timers, 'test.hold', Math.max(1, waitMs));
      switch (answers[id] ?? 'held') {
        case 'refused':
          return { outcome: 'refused', why: 'ECONNREFUSED' };
        case 'other-life':
          return { outcome: 'other-life' };
        case 'held':
          return {
            outcome: 'held',
            clockMs: timers.getNow(),
            report: { incarnation: 1, running: [], ended: [] },
          };
      }
    },
    drop: (address) => dropped.push(address),
  };
  const nodeContext = {
    ...context,
    ports: {
      ...context.ports,
      vmCalls,
      vms: {
        ...vmStream,
        decode: ({ key, value }: ports.KeyedRecord) => ({
          readable: true as const,
          value: fakes.buildVmEntry(key, { address: value ?? '' }),
        }),
      },
    },
  };
  const jobs = jobStores.createJobStore(nodeContext);
  const fleet = fleets.createFleet(nodeContext);
  const owner = owners.createOwner(nodeContext, {
    ...fakes.ownerDependencies,
    fence: 9,
    previous: fakes.createPreviousOwner({ inactive: true }, timers.getNow()),
    jobs,
    fleet,
  });
  return {
    vmStream,
    holds,
    dropped,
    owner,
    timers: context.fakeTimers,
    close: () => {
      owner.close();
      fleet.close();
      jobs.close();
    },
  };
}

vitest.describe('an entry that is removed', () => {
  vitest.it.each(['refused', 'other-life'] as const)(
    'after its VM was lost ends the session, holds: %s (guards against calls without end, and claims that list such VMs forever)',
    async (answer) => {
      const { vmStream, holds, owner, timers, close } = createSetup({
        other: answer,
      });
      vmStream.add('sound', 'sound:1');
      vmStream.add('other', 'other:1');
      await fakes.advance(timers, 5_000);
      vitest.expect(holds).toContain('other');
      vmStream.add('other', undefined);
      await fakes.advance(timers, 2_000);
      holds.length = 0;
      await fakes.advance(timers, 5_000);
      vitest.expect(new Set(holds)).toEqual(new Set(['sound']));
      vitest.expect(owner.buildLeaseRecord().silentVms).toEqual([]);
      close();
    },
  );

  vitest.it(
    'leaves the connections to an address at which another VM is listed (guards against starts of a sound VM that are broken off)',
    async () => {
      const { vmStream, dropped, timers, close } = createSetup({
        other: 'other-life',
      });
      vmStream.add('sound', 'sound:1');
      vmStream.add('other', 'sound:1');
      await fakes.advance(timers, 5_000);
      vmStream.add('other', undefined);
      await fakes.advance(timers, 2_000);
      vitest.expect(dropped).toEqual([]);
      close();
    },
  );
});
