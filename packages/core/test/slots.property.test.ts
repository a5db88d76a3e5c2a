/**
 * Property test of the slot scheduler under random sequences of events. A reference
 * model that shares no code with the scheduler keeps the real use of each backend
 * server and checks every decision against it.
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
  terminate: 1,
  takeOver: 1,
  markLeaving: 1,
  listAgain: 1,
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

/** A request that occupies a slot according to the reference model. */
interface OccupiedSlot {
  ticket: core.requests.Ticket;
  holder: string;
  server: string;
  endsMs: number;
  returned: boolean;
  /** Written to the server; the server's status counts only these. */
  sent: boolean;
}

function createSimulation() {
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
  const terminated = new Set<string>();
  const leaving = new Set<string>();
  const removed = new Set<string>();
  const occupied = new Map<string, OccupiedSlot>();
  const waiting = new Map<string, { holder: string; dueMs: number }>();
  const decidedAsks = new Set<string>();
  let scheduler = createScheduler(true);

  function createScheduler(listed: boolean) {
    const created = flamingoward.createSlotScheduler({
      shard: 'service/desk@muscat',
      epoch: { offset: epoch, provisional: 0 },
      policy,
      maxWaiting: 20,
    });
    if (listed) listServers(created);
    return created;
  }

  function listServers(created: core.slots.SlotScheduler) {
    for (const id of servers)
      if (!removed.has(id))
        created.apply(
          { event: 'server.listed', server: describeServer(id) },
          nowMs,
        );
  }

  function describeServer(id: string): core.slots.BackendServer {
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
    return [...occupied.values()].filter(
      (one) =>
        one.server === server && one.endsMs > nowMs && (one.sent || !sentOnly),
    ).length;
  }

  function tick() {
    for (const [id, one] of occupied)
      if (one.endsMs <= nowMs) occupied.delete(id);
    for (const decision of scheduler.tick(nowMs)) checkDecision(decision);
    for (const server of servers)
      vitest.expect(countBusy(server)).toBeLessThanOrEqual(SLOTS);
    for (const [ask, entry] of waiting)
      vitest.expect(entry.dueMs, `${ask} overdue`).toBeGreaterThan(nowMs);
  }

  function checkDecision(decision: core.slots.SlotDecision) {
    const ask = decision.ask;
    vitest.expect(waiting.has(ask), `${ask} answered once`).toBe(true);
    vitest.expect(decidedAsks.has(ask)).toBe(false);
    waiting.delete(ask);
    decidedAsks.add(ask);
    if (decision.decision === 'refused') return;
    const { ticket } = decision;
    const server = ticket.backendServer;
    vitest.expect(leaving.has(server) || removed.has(server)).toBe(false);
    vitest.expect(occupied.has(ticket.id)).toBe(false);
    const holder = ticket.holder;
    // A returned request that still occupies its slot has failed, and its connection was
    // destroyed: it doesn't count towards the holder's 2 of 6 connections.
    const share = [...occupied.values()].filter(
      (one) => one.server === server && one.holder === holder && !one.returned,
    ).length;
    vitest.expect(share).toBeLessThan(2);
    // The latest time at which the holder may use the ticket: it counts the term from
    // before its ask, which arrived here without delay.
    const endsMs = nowMs + ticket.termMs - decision.waitedMs;
    const sent = occupied.size % 2 === 0;
    occupied.set(ticket.id, {
      ticket,
      holder,
      server,
      endsMs,
      returned: false,
      sent,
    });
  }

  function reportTickets(holder: string) {
    const tickets = [...occupied.values()]
      .filter((one) => one.holder === holder && !one.returned)
      .map((one) => ({
        ...one.ticket,
        termMs: one.endsMs - nowMs,
        sent: one.sent,
      }));
    scheduler.apply({ event: 'holder.reported', holder, tickets }, nowMs);
  }

  function takeOver(reporterBits: number) {
    epoch += 1;
    // The earlier owner's waiting asks are lost: holders get a refusal or send new asks.
    for (const ask of waiting.keys()) decidedAsks.add(ask);
    waiting.clear();
    // The VM list may arrive before or after ownership is gained.
    const listed = reporterBits < 4;
    scheduler = createScheduler(listed);
    const live = holders.filter((holder) => !terminated.has(holder));
    scheduler.apply(
      {
        event: 'taken-over',
        holders: live,
        longestTermMs: TERM_MS,
        lastGrantMs: 0,
      },
      nowMs,
    );
    if (!listed) listServers(scheduler);
    for (const [index, holder] of holders.entries())
      if ((reporterBits & (1 << index)) !== 0) reportTickets(holder);
  }

  function pickTicket(pick: number): [string, OccupiedSlot] | undefined {
    const unreturned = [...occupied].filter(
      ([, one]) => !one.returned && !terminated.has(one.holder),
    );
    return unreturned[pick % Math.max(1, unreturned.length)];
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

  function returnTicket(pick: number) {
    const picked = pickTicket(pick);
    if (picked === undefined) return;
    const [ticket, one] = picked;
    const results = ['ok', 'error', 'unreachable', 'unused'] as const;
    const result = results[pick % 4]!;
    one.returned = true;
    if (result === 'error') one.sent = true;
    // After an error the server may still process the request, so its slot stays in use.
    if (result !== 'error') occupied.delete(ticket);
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
    decidedAsks.add(ask);
    scheduler.apply({ event: 'ask.cancelled', ask }, nowMs);
  }

  function terminateHolder(holder: string) {
    if (terminated.size === 2) return;
    terminated.add(holder);
    for (const [ask, entry] of waiting)
      if (entry.holder === holder) {
        waiting.delete(ask);
        decidedAsks.add(ask);
      }
    // A terminated process sends none of its unsent requests.
    for (const [id, one] of occupied)
      if (one.holder === holder && !one.sent) occupied.delete(id);
    scheduler.apply({ event: 'holder.gone', holder }, nowMs);
  }

  function listServer(id: string, isLeaving: boolean) {
    removed.delete(id);
    if (isLeaving) leaving.add(id);
    else leaving.delete(id);
    scheduler.apply(
      { event: 'server.listed', server: describeServer(id) },
      nowMs,
    );
  }

  function run(action: Step) {
    const holder = holders[action.holder]!;
    const server = servers[action.server]!;
    switch (action.do) {
      case 'ask':
        if (!terminated.has(holder)) addAsk(action, holder);
        return;
      case 'return':
        returnTicket(action.pick);
        return;
      case 'cancel':
        cancel(action.pick);
        return;
      case 'terminate':
        terminateHolder(holder);
        return;
      case 'takeOver':
        takeOver(action.bits);
        return;
      case 'report':
        if (!terminated.has(holder)) reportTickets(holder);
        return;
      case 'markLeaving':
      case 'listAgain':
        listServer(server, action.do === 'markLeaving');
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
      const next = scheduler.getNextTickMs();
      if (next === undefined || next > targetMs) break;
      nowMs = Math.max(nowMs, next);
      tick();
      if (scheduler.getNextTickMs() === next) break;
    }
    nowMs = targetMs;
  }

  return { run, tick, advance, waiting };
}

vitest.test(
  'never exceeds slots, uses leaving servers or decides an ask twice in random event sequences (guards P1, P4, P6)',
  () => {
    fc.assert(
      fc.property(
        fc.array(step, { minLength: 1, maxLength: 120, size: 'max' }),
        (steps) => {
          const simulation = createSimulation();
          for (const action of steps) {
            simulation.run(action);
            simulation.tick();
          }
          simulation.advance(2_500);
          simulation.tick();
          vitest.expect([...simulation.waiting.keys()]).toEqual([]);
        },
      ),
      { seed: 20261204, numRuns: 1_000 },
    );
  },
);
