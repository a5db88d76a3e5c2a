/** The owner's session with a VM: leases, missing answers, and the time after which no run can be left there. */
import * as vitest from 'vitest';
import * as knownRed from '../../standins/test/cell/knownRed.js';
import * as vmSessions from '../src/vmSessions.js';
import * as timeouts from '../src/timeouts.js';
import type * as ports from '../src/ports.js';
import * as fakes from './fakes.js';

type Hold = Parameters<ports.VmCalls['hold']>[1];

function createSetup(
  answer: ports.HoldResult | undefined,
  inheritedLeaseMs = 0,
) {
  const context = fakes.createFakeContext();
  const holdWait = timeouts.createHoldWait();
  const holds: Hold[] = [];
  const events: string[] = [];
  const setup = {
    context,
    holds,
    events,
    holdWait,
    durableEnd: 0,
    leaseLimitMs: 10_000,
    failsReports: false,
    answer,
  };
  const { timers } = context;
  const earlierLeaseEndMs = timers.getNow() + inheritedLeaseMs;
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
  const session = vmSessions.createVmSession(
    { ...context, ports: { ...context.ports, vmCalls } },
    { id: 'vm', address: 'vm:1' },
    {
      fence: 7,
      silentBefore: false,
      getEarlierLeaseEnd: () => earlierLeaseEndMs,
      canExtendLease: () => true,
      getLeaseLimit: () => setup.leaseLimitMs,
      draining: false,
      holdWait,
    },
    {
      onReport() {
        events.push('report');
        if (setup.failsReports) throw new Error('broken report');
      },
      onUnresponsive: () => events.push('unresponsive'),
      onLost: (_, why) => events.push(`lost: ${why}`),
      onFenced: () => events.push('fenced'),
      getDurableEnd: () => setup.durableEnd,
      waitForDurable: async () => {
        events.push('blocked');
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
  return { ...setup, setup, session, timers: context.fakeTimers };
}

function buildHeld(clockMs: number, endNumber?: number): ports.HoldResult {
  const task = { job: 'j', occurrence: 0, step: 0, index: 0 };
  return {
    outcome: 'held',
    clockMs,
    report: {
      incarnation: 1,
      running: [],
      ended:
        endNumber === undefined
          ? []
          : [{ number: endNumber, task, run: 1, how: 'done', saved: '' }],
    },
  };
}

vitest.describe('a session', () => {
  vitest.it(
    'goes on after a report that could not be applied (guards against leases that end because of one error)',
    async () => {
      const { setup, holds, session, timers, context } = createSetup(
        buildHeld(1),
      );
      setup.failsReports = true;
      await fakes.advance(timers, 50);
      setup.failsReports = false;
      const before = holds.length;
      await fakes.advance(timers, 4_000);
      vitest.expect(holds.length).toBeGreaterThan(before);
      vitest
        .expect(context.lines.map(({ event }) => event))
        .toContain('vm.session-failed');
      session.close();
    },
  );

  vitest.it(
    'logs errors in a row once, and again after a report that was applied (guards against a log that is full of one VM)',
    async () => {
      const { setup, session, timers, context } = createSetup(buildHeld(1));
      const countLines = () =>
        context.lines.filter(({ event }) => event === 'vm.session-failed')
          .length;
      for (const lines of [1, 2]) {
        setup.failsReports = true;
        await fakes.advance(timers, 10_000);
        vitest.expect(countLines()).toBe(lines);
        setup.failsReports = false;
        await fakes.advance(timers, 4_000);
      }
      session.close();
    },
  );

  vitest.it(
    'calls a server whose answers are no reports ever less often (guards against an owner that only reads long answers)',
    async () => {
      const { setup, holds, session, timers } = createSetup({
        outcome: 'failed',
        why: 'the answer exceeds 2097152 bytes',
        unreadable: true,
      });
      await fakes.advance(timers, 60_000);
      vitest.expect(holds.length).toBeLessThan(13);
      setup.answer = buildHeld(1);
      await fakes.advance(timers, 10_000);
      const before = holds.length;
      setup.answer = { outcome: 'failed', why: 'status 503' };
      await fakes.advance(timers, 4_000);
      vitest.expect(holds.length - before).toBeGreaterThan(5);
      session.close();
    },
  );

  vitest.it(
    'reads the clock of the VM before it extends the lease',
    async () => {
      const { holds, timers, session } = createSetup(buildHeld(50_000));
      await fakes.advance(timers, 1_700);
      vitest.expect(holds[0]!.untilMs).toBeUndefined();
      vitest.expect(holds[1]!.untilMs).toBeGreaterThanOrEqual(55_900);
      vitest.expect(holds[1]!.untilMs).toBeLessThanOrEqual(56_100);
      session.close();
    },
  );

  vitest.it(
    'reports an unresponsive VM as lost only after its lease has expired on the slowest clock (guards against a second run while the first one continues)',
    async () => {
      const { setup, events, timers, session } = createSetup(buildHeld(50_000));
      // The last hold before the VM becomes unresponsive is sent at about 1.6 s.
      await fakes.advance(timers, 1_600);
      setup.answer = undefined;
      await fakes.advance(timers, 6_000);
      vitest.expect(events).toContain('unresponsive');
      vitest.expect(events).not.toContain('lost: lease expired');
      await fakes.advance(timers, 6_000);
      vitest.expect(events).toContain('lost: lease expired');
      session.close();
    },
  );

  vitest.it(
    'grants no lease that outlasts the claim of its owner (guards against LOST: a successor waits for the leases of an owner that it can never hear from)',
    async () => {
      const { setup, holds, timers, session } = createSetup(buildHeld(50_000));
      await fakes.advance(timers, 1_700);
      setup.leaseLimitMs = 2_000;
      const sent = holds.length;
      await fakes.advance(timers, 2_000);
      vitest.expect(holds.length).toBeGreaterThan(sent);
      for (const { untilMs } of holds.slice(sent))
        vitest.expect(untilMs).toBeLessThanOrEqual(50_000 + 2_000);
      session.close();
    },
  );

  vitest.it(
    'does not extend the lease while the claim of its owner is unconfirmed for too long (guards against orders of an owner that was paused until its successor had started its tasks again)',
    async () => {
      const { setup, holds, timers, session } = createSetup(buildHeld(50_000));
      await fakes.advance(timers, 1_700);
      setup.leaseLimitMs = -1;
      vitest.expect(session.computeStartUntil()).toBeUndefined();
      const sent = holds.length;
      await fakes.advance(timers, 2_000);
      vitest.expect(holds.length).toBeGreaterThan(sent);
      for (const { untilMs } of holds.slice(sent))
        vitest.expect(untilMs).toBeUndefined();
      session.close();
    },
  );

  vitest.it.each([8_000, 8_200, 8_400])(
    'reports a silent VM as lost when its lease ends after %d ms (guards against a restart that waits for the next call without an answer)',
    async (leaseMs) => {
      const { events, timers, session } = createSetup(undefined, leaseMs);
      await fakes.advance(timers, leaseMs);
      vitest.expect(events).not.toContain('lost: lease expired');
      await fakes.advance(timers, 100);
      vitest.expect(events).toContain('lost: lease expired');
      session.close();
    },
  );

  vitest.it(
    'waits for the leases of a previous owner to expire on a VM that never answered (guards against a second run after a change of the owner)',
    async () => {
      const { events, timers, session } = createSetup(undefined, 8_000);
      await fakes.advance(timers, 7_900);
      vitest.expect(events).not.toContain('lost: lease expired');
      await fakes.advance(timers, 2_500);
      vitest.expect(events).toContain('lost: lease expired');
      session.close();
    },
  );

  vitest.it(
    'reports a VM that refuses connections as lost only once its lease has expired (guards against TWICE: a cut that resets connections counts as the end of all runs)',
    async () => {
      const { events, timers, session } = createSetup(
        { outcome: 'refused', why: 'ECONNREFUSED' },
        20_700,
      );
      await fakes.advance(timers, 1_000);
      vitest.expect(events).toEqual(['unresponsive']);
      await fakes.advance(timers, 19_600);
      vitest.expect(events).toEqual(['unresponsive']);
      await fakes.advance(timers, 500);
      vitest
        .expect(events)
        .toEqual(['unresponsive', 'lost: process terminated']);
      session.close();
    },
  );

  const red =
    'reports a VM that refuses connections after its lease has expired in silence (guards against a task that crashes VMs and is never given up)';
  vitest.it(red, () =>
    knownRed.runKnownRed(red, async () => {
      const { setup, events, timers, session } = createSetup(undefined, 5_000);
      await fakes.advance(timers, 6_000);
      vitest.expect(events).toEqual(['unresponsive', 'lost: lease expired']);
      setup.answer = { outcome: 'refused', why: 'ECONNREFUSED' };
      await fakes.advance(timers, 3_000);
      vitest.expect(events).toContain('lost: process terminated');
      session.close();
    }),
  );

  vitest.it(
    'reports no crash of a VM whose refusal is followed by silence until its lease has expired (guards against tasks that are blamed for a lost connection)',
    async () => {
      const { setup, events, timers, session } = createSetup(
        { outcome: 'refused', why: 'ECONNREFUSED' },
        20_700,
      );
      await fakes.advance(timers, 100);
      setup.answer = undefined;
      await fakes.advance(timers, 3_000);
      vitest.expect(events).toEqual(['unresponsive']);
      await fakes.advance(timers, 19_000);
      vitest.expect(events).toEqual(['unresponsive', 'lost: lease expired']);
      session.close();
    },
  );

  vitest.it(
    'does not repeat holds at once while reported ends are not durable (guards against a storm of holds while the store is unavailable)',
    async () => {
      const { holds, events, timers, session } = createSetup(
        buildHeld(50_000, 3),
      );
      await fakes.advance(timers, 1_000);
      vitest.expect(events).toContain('blocked');
      vitest.expect(holds.length).toBeLessThan(15);
      vitest.expect(holds.every(({ lastSeen }) => lastSeen === 0)).toBe(true);
      session.close();
    },
  );

  vitest.it(
    'polls in parallel with the waiting hold and ignores an older answer (guards against a run that reappears after its end)',
    async () => {
      const { setup, holds, events, timers, session } = createSetup(
        buildHeld(50_000),
      );
      await fakes.advance(timers, 100);
      const reports = events.filter((what) => what === 'report').length;
      setup.answer = buildHeld(50_090);
      session.poll();
      await fakes.advance(timers, 20);
      vitest.expect(holds.at(-1)).toMatchObject({ waitMs: 0 });
      vitest
        .expect(events.filter((what) => what === 'report'))
        .toHaveLength(reports + 1);
      // The hold that was sent earlier is answered with the earlier state.
      await fakes.advance(timers, 1_450);
      vitest
        .expect(events.filter((what) => what === 'report'))
        .toHaveLength(reports + 1);
      session.close();
    },
  );

  vitest.it(
    'accepts a clock that is far behind (guards against ignoring a restarted VM that reports no incarnation)',
    async () => {
      const { setup, events, timers, session } = createSetup(buildHeld(50_000));
      await fakes.advance(timers, 100);
      setup.answer = buildHeld(200);
      const reports = events.filter((what) => what === 'report').length;
      session.poll();
      await fakes.advance(timers, 20);
      vitest
        .expect(events.filter((what) => what === 'report'))
        .toHaveLength(reports + 1);
      session.close();
    },
  );

  vitest.it(
    'sends the next hold at once when one answer is lost (guards against ends that stay unseen for seconds)',
    async () => {
      const { setup, holds, events, timers, session } = createSetup(
        buildHeld(50_000),
      );
      setup.holdWait.recordNoAnswer(timers.getNow());
      await fakes.advance(timers, 300);
      setup.answer = undefined;
      // The waiting hold was sent earlier and is answered; the answer to the next one is lost.
      await fakes.advance(timers, 300);
      setup.answer = buildHeld(51_000);
      const reports = events.filter((what) => what === 'report').length;
      await fakes.advance(timers, 1_000);
      vitest
        .expect(events.filter((what) => what === 'report').length)
        .toBeGreaterThan(reports);
      vitest.expect(events).not.toContain('unresponsive');
      const again = holds.findIndex(({ waitMs }, at) => at > 1 && waitMs === 0);
      vitest.expect(holds[again]?.untilMs).toBeUndefined();
      session.close();
    },
  );

  vitest.it(
    'logs for how long a lost VM has been silent (guards against a wait for a lease that no line shows)',
    async () => {
      const { setup, context, timers, session } = createSetup(
        buildHeld(50_000),
      );
      await fakes.advance(timers, 1_600);
      const answeredMs = timers.getNow();
      setup.answer = undefined;
      while (!context.lines.some(({ event }) => event === 'vm.lost'))
        await fakes.advance(timers, 10);
      const line = context.lines.find(({ event }) => event === 'vm.lost');
      const silentMs = Number(line?.fields.silentMs);
      const passedMs = timers.getNow() - answeredMs;
      vitest.expect(silentMs).toBeLessThanOrEqual(passedMs);
      vitest.expect(silentMs).toBeGreaterThan(passedMs - 1_600);
      vitest.expect(line?.fields.leaseEndedMs).toBeGreaterThanOrEqual(50);
      session.close();
    },
  );

  vitest.it(
    'lets starts extend a lease of which little is left (guards against starts that are refused as late)',
    async () => {
      const { setup, timers, session } = createSetup(buildHeld(50_000));
      await fakes.advance(timers, 200);
      setup.answer = undefined;
      await fakes.advance(timers, 2_000);
      const startUntilMs = session.computeStartUntil();
      // The lease was last extended at about 1.5 s.
      await fakes.advance(timers, 3_000);
      vitest.expect(session.computeStartUntil()).toBeGreaterThan(startUntilMs!);
      session.close();
    },
  );

  vitest.it(
    'does not use what was granted on the clock of an earlier incarnation (guards against a computed end of the lease that is hours away)',
    async () => {
      const { setup, timers, session } = createSetup(buildHeld(50_000));
      await fakes.advance(timers, 200);
      for (const clockMs of [200, 900_000]) {
        setup.answer = buildHeld(clockMs);
        session.poll();
        await fakes.advance(timers, 20);
        const leftMs = session.computeStartUntil()! - clockMs;
        vitest.expect(leftMs).toBeGreaterThan(2_900);
        vitest.expect(leftMs).toBeLessThan(6_100);
      }
      session.close();
    },
  );

  vitest.it('reports that the VM has seen a later owner', async () => {
    const { events, timers, session } = createSetup({ outcome: 'fenced' });
    await fakes.advance(timers, 100);
    vitest.expect(events[0]).toBe('fenced');
    session.close();
  });
});

vitest.describe('an acknowledgement of ends', () => {
  vitest.it(
    'is sent until it is answered and not again, so that no hold that waits carries it (guards against TWICE: a restarted VM carries it out late and forgets the first ends of its new incarnation)',
    async () => {
      const { setup, holds, timers, session } = createSetup(
        buildHeld(50_000, 3),
      );
      await fakes.advance(timers, 20);
      setup.durableEnd = 3;
      setup.answer = buildHeld(50_200);
      const sent = holds.length;
      await fakes.advance(timers, 4_000);
      const acknowledged = holds.slice(sent).map(({ lastSeen }) => lastSeen);
      vitest.expect(acknowledged.length).toBeGreaterThan(2);
      vitest
        .expect(acknowledged.filter((number) => number === 3))
        .toHaveLength(1);
      vitest.expect(acknowledged.at(-1)).toBe(0);
      session.close();
    },
  );

  vitest.it(
    'is not sent to a VM that left a hold unanswered, nor with a poll, since it may have been restarted',
    async () => {
      const { setup, holds, timers, session } = createSetup(
        buildHeld(50_000, 3),
      );
      await fakes.advance(timers, 20);
      setup.answer = undefined;
      // The hold in flight is answered; the next ones are not.
      await fakes.advance(timers, 300);
      setup.durableEnd = 3;
      const sent = holds.length;
      await fakes.advance(timers, 4_000);
      session.poll();
      vitest.expect(holds.length).toBeGreaterThan(sent + 1);
      for (const { lastSeen } of holds.slice(sent))
        vitest.expect(lastSeen).toBe(0);
      setup.answer = buildHeld(55_000, 3);
      await fakes.advance(timers, 1_500);
      vitest.expect(holds.map(({ lastSeen }) => lastSeen)).toContain(3);
      session.close();
    },
  );
});
