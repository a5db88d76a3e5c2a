/**
 * The slot scheduler under random sessions. An accountant that shares no code with
 * the scheduler keeps the true use of each backend server and checks every decision.
 */
import * as fc from 'fast-check';
import * as vitest from 'vitest';
import type * as core from '@flamingoward/core';
import * as flamingoward from '@flamingoward/core';

const TERM_MS = 1_000;
const SLOTS = 3;
const servers = ['b0', 'b1', 'b2'];
const holders = ['p0', 'p1', 'p2'];
const urgencies = flamingoward.ids.urgencies;

const weights = {
  ask: 12,
  return: 8,
  wait: 6,
  cancel: 2,
  report: 2,
  die: 1,
  takeover: 1,
  leave: 1,
  come: 1,
  remove: 1,
  status: 1,
};
type Kind = keyof typeof weights;
const kinds = Object.entries(weights).flatMap(([kind, weight]) =>
  Array<Kind>(weight).fill(kind as Kind),
);
const step = fc.record({
  do: fc.constantFrom(...kinds),
  holder: fc.nat(2),
  urgency: fc.nat(2),
  team: fc.nat(2),
  server: fc.nat(2),
  bits: fc.nat(7),
  pick: fc.nat(1_000),
  ms: fc.integer({ min: 1, max: 2_000 }),
});
type Step = typeof step extends fc.Arbitrary<infer Value> ? Value : never;

/** A request that the accountant knows to occupy a slot. */
interface Running {
  ticket: core.requests.Ticket;
  holder: string;
  server: string;
  endsMs: number;
  returned: boolean;
  /** Written to the server; only then does the server's own status count it. */
  sent: boolean;
}

function createWorld() {
  const policy: core.slots.SlotPolicy = {
    termMs: TERM_MS,
    maxWaitMs: 1_500,
    floors: flamingoward.defaultFloors,
    weights: new Map([['t0', 3]]),
    maxProcesses: 3,
  };
  let nowMs = 0;
  let epoch = 1;
  let nextAsk = 0;
  const dead = new Set<string>();
  const leaving = new Set<string>();
  const removed = new Set<string>();
  const running = new Map<string, Running>();
  const waiting = new Map<string, { holder: string; dueMs: number }>();
  const closed = new Set<string>();
  let scheduler = createScheduler(true);

  function createScheduler(listed: boolean) {
    const made = flamingoward.createSlotScheduler({
      shard: 'service/desk@muscat',
      epoch: { offset: epoch, provisional: 0 },
      policy,
      maxWaiting: 20,
    });
    if (listed) listServers(made);
    return made;
  }

  function listServers(made: core.slots.SlotScheduler) {
    for (const id of servers)
      if (!removed.has(id))
        made.apply({ event: 'server.listed', server: describe(id) }, nowMs);
  }

  function describe(id: string): core.slots.BackendServer {
    return {
      id,
      address: `127.0.0.1:${id.slice(1)}`,
      availabilityZone: id === 'b0' ? 'muscat-a' : 'muscat-b',
      slots: SLOTS,
      connections: 6,
      leaving: leaving.has(id),
    };
  }

  function countBusy(server: string, sentOnly = false): number {
    return [...running.values()].filter(
      (one) =>
        one.server === server && one.endsMs > nowMs && (one.sent || !sentOnly),
    ).length;
  }

  function tick() {
    for (const [id, one] of running)
      if (one.endsMs <= nowMs) running.delete(id);
    for (const decision of scheduler.tick(nowMs)) settle(decision);
    for (const server of servers)
      vitest.expect(countBusy(server)).toBeLessThanOrEqual(SLOTS);
    for (const [ask, entry] of waiting)
      vitest.expect(entry.dueMs, `${ask} overdue`).toBeGreaterThan(nowMs);
  }

  function settle(decision: core.slots.SlotDecision) {
    const ask = decision.ask;
    vitest.expect(waiting.has(ask), `${ask} answered once`).toBe(true);
    vitest.expect(closed.has(ask)).toBe(false);
    waiting.delete(ask);
    closed.add(ask);
    if (decision.decision === 'refused') return;
    const { ticket } = decision;
    const server = ticket.backendServer;
    vitest.expect(leaving.has(server) || removed.has(server)).toBe(false);
    vitest.expect(running.has(ticket.id)).toBe(false);
    const holder = ticket.holder;
    // The connection of a failed request is destroyed, so it no longer counts.
    const share = [...running.values()].filter(
      (one) => one.server === server && one.holder === holder && !one.returned,
    ).length;
    vitest.expect(share).toBeLessThan(2);
    // The latest time at which a holder that asked at once may still be sending.
    const endsMs = nowMs + ticket.termMs - decision.waitedMs;
    const sent = running.size % 2 === 0;
    running.set(ticket.id, {
      ticket,
      holder,
      server,
      endsMs,
      returned: false,
      sent,
    });
  }

  function report(holder: string) {
    const tickets = [...running.values()]
      .filter((one) => one.holder === holder && !one.returned)
      .map((one) => ({
        ...one.ticket,
        termMs: one.endsMs - nowMs,
        sent: one.sent,
      }));
    scheduler.apply({ event: 'holder.reported', holder, tickets }, nowMs);
  }

  function takeOver(reports: number) {
    epoch += 1;
    // Waiting asks are refused by the old owner's process or ask again.
    for (const ask of waiting.keys()) closed.add(ask);
    waiting.clear();
    // The VM list may come before or after the ownership.
    const listed = reports < 4;
    scheduler = createScheduler(listed);
    const live = holders.filter((holder) => !dead.has(holder));
    scheduler.apply(
      { event: 'taken-over', holders: live, longestTermMs: TERM_MS },
      nowMs,
    );
    if (!listed) listServers(scheduler);
    for (const [index, holder] of holders.entries())
      if ((reports & (1 << index)) !== 0) report(holder);
  }

  function pickTicket(pick: number): [string, Running] | undefined {
    const open = [...running].filter(
      ([, one]) => !one.returned && !dead.has(one.holder),
    );
    return open[pick % Math.max(1, open.length)];
  }

  function addAsk(action: Step, holder: string) {
    nextAsk += 1;
    const id = `${holder}:${nextAsk}`;
    const { ms: deadlineMs, bits } = action;
    waiting.set(id, { holder, dueMs: nowMs + deadlineMs });
    const ask: core.slots.SlotAsk = {
      id,
      holder,
      availabilityZone: 'muscat-a',
      urgency: urgencies[action.urgency]!,
      team: `t${action.team}`,
      deadlineMs,
      avoid: servers.filter((_, index) => bits === index + 1),
    };
    scheduler.apply({ event: 'ask', ask }, nowMs);
  }

  function giveBack(pick: number) {
    const found = pickTicket(pick);
    if (found === undefined) return;
    const [ticket, one] = found;
    const results = ['ok', 'error', 'unreachable', 'unused'] as const;
    const result = results[pick % 4]!;
    one.returned = true;
    if (result === 'error') one.sent = true;
    // After an error the server may work on; the slot stays used in truth.
    if (result !== 'error') running.delete(ticket);
    scheduler.apply(
      { event: 'ticket.returned', ticket, result, tookMs: 5 },
      nowMs,
    );
  }

  function cancel(pick: number) {
    const ids = [...waiting.keys()];
    const ask = ids[pick % Math.max(1, ids.length)];
    if (ask === undefined) return;
    waiting.delete(ask);
    closed.add(ask);
    scheduler.apply({ event: 'ask.cancelled', ask }, nowMs);
  }

  function die(holder: string) {
    if (dead.size === 2) return;
    dead.add(holder);
    for (const [ask, entry] of waiting)
      if (entry.holder === holder) {
        waiting.delete(ask);
        closed.add(ask);
      }
    // What a dead process has not sent, it never sends.
    for (const [id, one] of running)
      if (one.holder === holder && !one.sent) running.delete(id);
    scheduler.apply({ event: 'holder.gone', holder }, nowMs);
  }

  function list(id: string, isLeaving: boolean) {
    removed.delete(id);
    if (isLeaving) leaving.add(id);
    else leaving.delete(id);
    scheduler.apply({ event: 'server.listed', server: describe(id) }, nowMs);
  }

  function run(action: Step) {
    const holder = holders[action.holder]!;
    const server = servers[action.server]!;
    switch (action.do) {
      case 'ask':
        if (!dead.has(holder)) addAsk(action, holder);
        return;
      case 'return':
        giveBack(action.pick);
        return;
      case 'cancel':
        cancel(action.pick);
        return;
      case 'die':
        die(holder);
        return;
      case 'takeover':
        takeOver(action.bits);
        return;
      case 'report':
        if (!dead.has(holder)) report(holder);
        return;
      case 'leave':
      case 'come':
        list(server, action.do === 'leave');
        return;
      case 'remove':
        removed.add(server);
        scheduler.apply({ event: 'server.removed', server }, nowMs);
        return;
      case 'status': {
        const busy = countBusy(server, true);
        scheduler.apply(
          { event: 'server.status', server, busy, askedMs: nowMs },
          nowMs,
        );
        return;
      }
      case 'wait':
        advance(Math.ceil(action.ms / 3));
        return;
    }
  }

  function advance(ms: number) {
    const targetMs = nowMs + ms;
    for (;;) {
      const next = scheduler.readNextMs();
      if (next === undefined || next > targetMs) break;
      nowMs = Math.max(nowMs, next);
      tick();
      if (scheduler.readNextMs() === next) break;
    }
    nowMs = targetMs;
  }

  return { run, tick, advance, waiting };
}

vitest.test(
  'slots, leaving servers and single answers hold in random sessions (guards P1, P4, P6)',
  () => {
    fc.assert(
      fc.property(
        fc.array(step, { minLength: 1, maxLength: 120, size: 'max' }),
        (steps) => {
          const world = createWorld();
          for (const action of steps) {
            world.run(action);
            world.tick();
          }
          world.advance(2_500);
          world.tick();
          vitest.expect([...world.waiting.keys()]).toEqual([]);
        },
      ),
      { seed: 20261204, numRuns: 1_000 },
    );
  },
);
