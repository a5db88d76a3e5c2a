/** The owner's contact with a VM: leases, silence, and when nothing can run there any more. */
import * as vitest from 'vitest';
import * as contacts from '../src/vmSessions.js';
import * as patiences from '../src/timeouts.js';
import type * as ports from '../src/ports.js';
import * as fakes from './fakes.js';

type Hold = Parameters<ports.VmCalls['hold']>[1];

function createSetup(answer: ports.HoldResult | undefined, inheritedForMs = 0) {
  const context = fakes.createFakeContext();
  const patience = patiences.createHoldPatience();
  const holds: Hold[] = [];
  const told: string[] = [];
  const setup = {
    context,
    holds,
    told,
    patience,
    durableEnd: 0,
    answer,
  };
  const { timers } = context;
  const vmCalls: ports.VmCalls = {
    ...context.ports.vmCalls,
    async hold(_, call, timeoutMs) {
      holds.push(call);
      const { answer } = setup;
      await new Promise<void>((resolve) => {
        timers.subscribe(
          {
            name: 'test.hold',
            delayMs:
              answer === undefined ? timeoutMs : Math.max(1, call.waitMs),
            repeat: 'once',
          },
          () => {
            resolve();
          },
        );
      });
      return answer ?? { outcome: 'failed', why: 'no answer' };
    },
  };
  const contact = contacts.createContact(
    { ...context, ports: { ...context.ports, vmCalls } },
    { id: 'vm', address: 'vm:1' },
    {
      fence: 7,
      inheritedUntilMs: timers.readNow() + inheritedForMs,
      patience,
    },
    {
      onReport: () => told.push('report'),
      onSilent: () => told.push('silent'),
      onLost: (_, why) => told.push(`lost: ${why}`),
      onFenced: () => told.push('fenced'),
      readDurableEnd: () => setup.durableEnd,
      waitForDurable: async () => {
        told.push('blocked');
        await new Promise<void>((resolve) => {
          timers.subscribe(
            { name: 'test.durable', delayMs: 100, repeat: 'once' },
            () => {
              resolve();
            },
          );
        });
      },
    },
  );
  return { ...setup, setup, contact, timers: context.fakeTimers };
}

function buildHeld(clockMs: number, endNumber?: number): ports.HoldResult {
  const task = { job: 'j', occurrence: 0, step: 0, index: 0 };
  return {
    outcome: 'held',
    clockMs,
    report: {
      life: 1,
      running: [],
      ended:
        endNumber === undefined
          ? []
          : [{ number: endNumber, task, run: 1, how: 'done', saved: '' }],
    },
  };
}

vitest.describe('a contact', () => {
  vitest.it('learns the clock before it extends the lease', async () => {
    const { holds, timers, contact } = createSetup(buildHeld(50_000));
    await fakes.advance(timers, 1_700);
    vitest.expect(holds[0]!.untilMs).toBeUndefined();
    vitest.expect(holds[1]!.untilMs).toBeGreaterThanOrEqual(55_900);
    vitest.expect(holds[1]!.untilMs).toBeLessThanOrEqual(56_100);
    contact.close();
  });

  vitest.it(
    'gives up a silent VM only after its lease on a slow clock (guards against a second run)',
    async () => {
      const { setup, told, timers, contact } = createSetup(buildHeld(50_000));
      // The last hold before the silence goes out at about 1.6 s.
      await fakes.advance(timers, 1_600);
      setup.answer = undefined;
      await fakes.advance(timers, 6_000);
      vitest.expect(told).toContain('silent');
      vitest.expect(told).not.toContain('lost: lease over');
      await fakes.advance(timers, 6_000);
      vitest.expect(told).toContain('lost: lease over');
      contact.close();
    },
  );

  vitest.it(
    'waits for leases of a previous owner at a VM that never answered',
    async () => {
      const { told, timers, contact } = createSetup(undefined, 8_000);
      await fakes.advance(timers, 7_900);
      vitest.expect(told).not.toContain('lost: lease over');
      await fakes.advance(timers, 2_500);
      vitest.expect(told).toContain('lost: lease over');
      contact.close();
    },
  );

  vitest.it(
    'does not ask again at once for ends that are not durable yet (guards against a storm of holds while the store is away)',
    async () => {
      const { holds, told, timers, contact } = createSetup(
        buildHeld(50_000, 3),
      );
      await fakes.advance(timers, 1_000);
      vitest.expect(told).toContain('blocked');
      vitest.expect(holds.length).toBeLessThan(15);
      vitest.expect(holds.every(({ lastSeen }) => lastSeen === 0)).toBe(true);
      contact.close();
    },
  );

  vitest.it(
    'asks beside the hold that waits and ignores an older answer (guards against a run that is seen again after its end)',
    async () => {
      const { setup, holds, told, timers, contact } = createSetup(
        buildHeld(50_000),
      );
      await fakes.advance(timers, 100);
      const reports = told.filter((what) => what === 'report').length;
      setup.answer = buildHeld(50_090);
      contact.poll();
      await fakes.advance(timers, 20);
      vitest.expect(holds.at(-1)).toMatchObject({ waitMs: 0 });
      vitest
        .expect(told.filter((what) => what === 'report'))
        .toHaveLength(reports + 1);
      // The hold that was asked before is answered with the state of before.
      await fakes.advance(timers, 1_450);
      vitest
        .expect(told.filter((what) => what === 'report'))
        .toHaveLength(reports + 1);
      contact.close();
    },
  );

  vitest.it(
    'believes a clock that is far behind (guards against a VM that tells no life and is ignored after it started again)',
    async () => {
      const { setup, told, timers, contact } = createSetup(buildHeld(50_000));
      await fakes.advance(timers, 100);
      setup.answer = buildHeld(200);
      const reports = told.filter((what) => what === 'report').length;
      contact.poll();
      await fakes.advance(timers, 20);
      vitest
        .expect(told.filter((what) => what === 'report'))
        .toHaveLength(reports + 1);
      contact.close();
    },
  );

  vitest.it(
    'asks again at once when one answer is lost (guards against ends that stay unseen for seconds)',
    async () => {
      const { setup, holds, told, timers, contact } = createSetup(
        buildHeld(50_000),
      );
      setup.patience.noteSilence(timers.readNow());
      await fakes.advance(timers, 300);
      setup.answer = undefined;
      // The waiting hold was asked before and is answered; the next one is lost.
      await fakes.advance(timers, 300);
      setup.answer = buildHeld(51_000);
      const reports = told.filter((what) => what === 'report').length;
      await fakes.advance(timers, 1_000);
      vitest
        .expect(told.filter((what) => what === 'report').length)
        .toBeGreaterThan(reports);
      vitest.expect(told).not.toContain('silent');
      const again = holds.findIndex(({ waitMs }, at) => at > 1 && waitMs === 0);
      vitest.expect(holds[again]?.untilMs).toBeUndefined();
      contact.close();
    },
  );

  vitest.it('tells that a later owner has been there', async () => {
    const { told, timers, contact } = createSetup({ outcome: 'fenced' });
    await fakes.advance(timers, 100);
    vitest.expect(told[0]).toBe('fenced');
    contact.close();
  });
});
