/**
 * Rules of the slot scheduler that the property test does not check: the order of
 * urgencies and teams, the choice of the server, and how status reports free slots.
 */
import * as vitest from 'vitest';
import type * as core from '@flamingoward/core';
import * as flamingoward from '@flamingoward/core';

const { expect, test } = vitest;

function createShard(
  slots: number,
  serverCount: number,
  policy: Partial<core.slots.SlotPolicy> = {},
) {
  const scheduler = flamingoward.createSlotScheduler({
    shard: 'service/desk@muscat',
    epoch: { offset: 1, provisional: 0 },
    policy: {
      termMs: 60_000,
      maxWaitMs: 1_000_000,
      floors: flamingoward.defaultFloors,
      weights: new Map([['gold', 3]]),
      maxProcesses: 1,
      ...policy,
    },
    maxWaiting: 100_000,
  });
  for (let index = 0; index < serverCount; index += 1)
    scheduler.apply(
      {
        event: 'server.listed',
        server: {
          id: `b${index}`,
          address: '',
          availabilityZone: index === 0 ? 'near' : 'far',
          slots,
          connections: 64,
          leaving: false,
        },
      },
      0,
    );
  let next = 0;
  const ask = (nowMs: number, fields: Partial<core.slots.SlotAsk> = {}) => {
    next += 1;
    const id = `p:${next}`;
    const full: core.slots.SlotAsk = {
      id,
      holder: 'p',
      availabilityZone: 'near',
      urgency: 'normal',
      team: 'default',
      deadlineMs: 1_000_000,
      avoid: [],
      ...fields,
    };
    scheduler.apply({ event: 'ask', ask: full }, nowMs);
    return id;
  };
  const returnTicket = (
    ticket: string,
    result: core.slots.TicketResult,
    nowMs: number,
  ) => {
    scheduler.apply(
      { event: 'ticket.returned', ticket, result, tookMs: 0 },
      nowMs,
    );
  };
  return { scheduler, ask, returnTicket };
}

/**
 * Submits more asks of each kind than the slots can serve, for 5 s of virtual time, and
 * counts the grants of each kind.
 */
function countGrants(
  kinds: readonly Pick<core.slots.SlotAsk, 'urgency' | 'team'>[],
): readonly number[] {
  const { scheduler, ask, returnTicket } = createShard(10, 1);
  const kindOf = new Map<string, number>();
  const counts = kinds.map(() => 0);
  const running: { id: string; endMs: number }[] = [];
  for (let nowMs = 0; nowMs < 5_000; nowMs += 10) {
    for (const [index, kind] of kinds.entries())
      for (let copy = 0; copy < 2; copy += 1)
        kindOf.set(ask(nowMs, kind), index);
    while (running[0] !== undefined && running[0].endMs <= nowMs)
      returnTicket(running.shift()!.id, 'ok', nowMs);
    for (const decision of scheduler.tick(nowMs)) {
      if (decision.decision === 'refused') continue;
      counts[kindOf.get(decision.ask)!]! += 1;
      running.push({ id: decision.ticket.id, endMs: nowMs + 100 });
    }
  }
  return counts;
}

test('under overload each urgency gets its floor, and urgent work gets the remaining slots', () => {
  const [urgent, normal, deferrable] = countGrants([
    { urgency: 'urgent', team: 'default' },
    { urgency: 'normal', team: 'default' },
    { urgency: 'deferrable', team: 'default' },
  ]);
  // 500 rounds of 10 ms on 10 slots of 100 ms: about 500 grants.
  expect(normal).toBeGreaterThanOrEqual(95);
  expect(deferrable).toBeGreaterThanOrEqual(45);
  expect(urgent).toBeGreaterThanOrEqual(340);
});

test('under overload teams of one urgency share its slots in proportion to their weights', () => {
  const [gold, plain] = countGrants([
    { urgency: 'normal', team: 'gold' },
    { urgency: 'normal', team: 'plain' },
  ]);
  expect(gold! / plain!).toBeGreaterThan(2.8);
  expect(gold! / plain!).toBeLessThan(3.2);
});

test('refuses an ask whose expected wait exceeds the limit, and still queues an ask of another team', () => {
  const { scheduler, ask } = createShard(1, 1, {
    termMs: 2_000,
    maxWaitMs: 1_000,
  });
  for (let index = 0; index < 50; index += 1) ask(0, { team: 'loud' });
  const own = ask(0, { team: 'loud' });
  const other = ask(0, { team: 'quiet' });
  const decisions = scheduler.tick(0);
  expect(decisions.find((one) => one.ask === own)).toMatchObject({
    decision: 'refused',
    reason: { reason: 'expected-wait', limitMs: 1_000 },
  });
  expect(decisions.some((one) => one.ask === other)).toBe(false);
  expect(scheduler.explain(other, 0)).toBeDefined();
});

test('prefers a server in the same availability zone until another one is clearly less loaded', () => {
  const { scheduler, ask } = createShard(8, 2);
  for (let index = 0; index < 6; index += 1) ask(0);
  const used = scheduler
    .tick(0)
    .map((one) =>
      one.decision === 'granted' ? one.ticket.backendServer : 'refused',
    );
  expect(used).toEqual(['b0', 'b0', 'b1', 'b0', 'b1', 'b0']);
});

test('a failing server gets one trial request at a time, and full load after a success', () => {
  const { scheduler, ask, returnTicket } = createShard(4, 2);
  const grant = (nowMs: number, count: number) => {
    for (let index = 0; index < count; index += 1) ask(nowMs);
    return scheduler
      .tick(nowMs)
      .flatMap((one) => (one.decision === 'granted' ? [one.ticket] : []));
  };
  const onNear = grant(0, 3).filter((one) => one.backendServer === 'b0');
  for (const ticket of onNear) returnTicket(ticket.id, 'unreachable', 0);
  expect(grant(10, 3).map((one) => one.backendServer)).not.toContain('b0');
  const trials = grant(600, 3).filter((one) => one.backendServer === 'b0');
  expect(trials).toHaveLength(1);
  returnTicket(trials[0]!.id, 'ok', 610);
  expect(grant(620, 4).map((one) => one.backendServer)).toContain('b0');
});

/** A shard with one server of 3 slots, just taken over; holder `p` has reported one sent ticket. */
function createTakenOver() {
  const shard = createShard(3, 1, { termMs: 1_000 });
  const held: core.requests.HeldTicket = {
    id: 'old',
    shard: 'service/desk@muscat',
    epoch: { offset: 0, provisional: 0 },
    backendServer: 'b0',
    address: '',
    holder: 'p',
    termMs: 1_000,
    sent: true,
  };
  const { scheduler } = shard;
  scheduler.apply(
    {
      event: 'taken-over',
      holders: ['p', 'q'],
      longestTermMs: 1_000,
      lastGrantMs: 0,
    },
    0,
  );
  scheduler.apply(
    { event: 'holder.reported', holder: 'p', tickets: [held] },
    0,
  );
  const setStatus = (busy: number, nowMs: number) => {
    scheduler.apply(
      { event: 'holder.reported', holder: 'q', tickets: [] },
      nowMs,
    );
    scheduler.apply(
      { event: 'server.status', server: 'b0', busy, askedMs: nowMs },
      nowMs,
    );
    scheduler.tick(nowMs);
  };
  const countGranted = (nowMs: number) => {
    for (let index = 0; index < 3; index += 1) shard.ask(nowMs);
    const decisions = scheduler.tick(nowMs);
    return decisions.filter((one) => one.decision === 'granted').length;
  };
  return { ...shard, setStatus, countGranted };
}

test('a busy slot in a status report is attributed to a reported request only while its ticket is not returned (guards P1)', () => {
  const returned = createTakenOver();
  returned.setStatus(1, 1);
  returned.returnTicket('old', 'ok', 10);
  expect(returned.countGranted(400)).toBe(2);
  const running = createTakenOver();
  running.setStatus(1, 1);
  expect(running.countGranted(2)).toBe(1);
  expect(running.countGranted(400)).toBe(1);
});

test('a status report during a take-over does not free the slot of an abandoned request that may still run (guards P1)', () => {
  const { scheduler, ask, returnTicket, setStatus, countGranted } =
    createTakenOver();
  returnTicket('old', 'ok', 1);
  ask(1);
  const [decision] = scheduler.tick(1);
  if (decision?.decision !== 'granted') throw new Error('no grant');
  returnTicket(decision.ticket.id, 'error', 1);
  setStatus(1, 2);
  // The take-over ends at 1,000 ms and the abandoned request at 1,001 ms.
  expect(countGranted(1_000)).toBe(2);
});
