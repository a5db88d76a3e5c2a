/**
 * Tests of the ownership under failures. A property test drives several processes
 * through kills, pauses, cut connections and log outages and checks that two processes
 * never decide for a service shard at the same time for longer than CLAIM_MAX_AGE_MS,
 * and that every shard gets an owner again.
 */
import * as core from '@flamingoward/core';
import * as fc from 'fast-check';
import * as vitest from 'vitest';
import * as ownership from '../src/ownership/ownership.js';
import type * as types from '../src/types.js';
import * as fakes from './fakes/context.js';
import * as fakeLog from './fakes/log.js';

const SHARDS = ['workers/r', 'service/quote@r', 'service/order@r'];
const STEP_MS = 50;
const DEATH_TERM_MS = 1_000;

interface Process {
  readonly name: string;
  readonly timers: core.VirtualTimers;
  readonly streams: fakeLog.FakeStreams;
  readonly part: ownership.OwnershipPart;
  state: 'running' | 'paused' | 'dead';
  /** Whether no heartbeats pass between this process and its peers. */
  isIsolated: boolean;
  pausedForMs: number;
}

class Simulation {
  readonly log = new fakeLog.FakeLog();
  readonly processes: Process[] = [];
  nowMs = 0;
  private readonly heartbeatMs = new Map<string, Map<string, number>>();
  private readonly heartbeats = new Map<string, core.messages.Heartbeat>();

  /** Starts a process; `readsBeforeOpen` reads of the log complete before its ownership part is opened. */
  add(name: string, readsBeforeOpen = 0): void {
    const timers = core.createVirtualTimers(this.nowMs);
    const streams = fakeLog.createFakeStreams(
      this.log,
      timers,
      ownership.CLAIMS_WAIT_MS,
    );
    const context = fakes.createFakeContext(name, timers);
    const part = ownership.createOwnership({
      context,
      streams,
      membership: this.createMembership(context.identity.instance, timers),
      listShards: () => SHARDS.map((shard) => ({ shard, region: 'r' })),
      mayOwn: () => true,
    });
    this.heartbeatMs.set(context.identity.instance, new Map());
    for (let read = 0; read < readsBeforeOpen; read += 1) streams.deliverDue();
    part.open();
    this.processes.push({
      name,
      timers,
      streams,
      part,
      state: 'running',
      isIsolated: false,
      pausedForMs: 0,
    });
  }

  private createMembership(
    self: string,
    timers: core.TimerService,
  ): types.Membership {
    const listPeers = (): types.PeerView[] =>
      [...(this.heartbeatMs.get(self) ?? new Map<string, number>())].map(
        ([instance, heardMs]) => ({
          name: instance.slice(0, -2),
          instance,
          region: 'r',
          availabilityZone: 'r-a',
          heardMs,
          health: timers.getNow() - heardMs >= DEATH_TERM_MS ? 'dead' : 'live',
          ended: false,
          heartbeat: this.heartbeats.get(`${self}<${instance}`)!,
        }),
      );
    return {
      listVms: () => [],
      listPeers,
      listCandidates: () => [
        ...listPeers()
          .filter((peer) => peer.health !== 'dead')
          .map((peer) => peer.instance),
        self,
      ],
      changes: core.createSubject<'vms' | 'peers'>().stream,
    };
  }

  private exchangeHeartbeats(): void {
    for (const from of this.processes) {
      if (from.state !== 'running' || from.isIsolated) continue;
      const instance = `${from.name}-i`;
      const heartbeat: core.messages.Heartbeat = {
        kind: 'heartbeat',
        instance,
        state: 'ready',
        releaseOffset: 0,
        claimsOffset: 0,
        shards: from.part.listOwned(),
        leaving: [],
        logAway: from.streams.getUnreachableSinceMs() !== undefined,
        teamUse: [],
      };
      for (const to of this.processes) {
        if (to === from || to.state !== 'running' || to.isIsolated) continue;
        this.heartbeatMs.get(`${to.name}-i`)!.set(instance, this.nowMs);
        this.heartbeats.set(`${to.name}-i<${instance}`, heartbeat);
      }
    }
  }

  async step(): Promise<void> {
    this.nowMs += STEP_MS;
    if (this.nowMs % 250 === 0) this.exchangeHeartbeats();
    for (const process of this.processes) {
      if (process.state === 'paused') process.pausedForMs += STEP_MS;
      if (process.state !== 'running') continue;
      process.streams.deliverDue();
      process.timers.advance(STEP_MS);
    }
    for (let turn = 0; turn < 4; turn += 1) await Promise.resolve();
  }

  /** Resumes a paused process, whose timers fire at the new time before it reads anything. */
  resume(process: Process): void {
    if (process.state !== 'paused') return;
    process.state = 'running';
    // Its clock jumps by the whole pause, so the timers detect the gap.
    const gapMs = process.pausedForMs;
    process.pausedForMs = 0;
    process.streams.isPaused = true;
    jumpClock(process.timers, gapMs);
    process.streams.isPaused = false;
  }

  listDeciders(shard: string): Process[] {
    return this.processes.filter(
      (process) =>
        process.state === 'running' &&
        process.part.getEpoch(shard) !== undefined,
    );
  }
}

/** Advances the clock without firing missed periods, as in Node.js, where a pause shows as one late tick. */
function jumpClock(timers: core.VirtualTimers, gapMs: number): void {
  timers.skip(gapMs);
}

type Action =
  | { readonly act: 'run'; readonly steps: number }
  | {
      readonly act:
        'kill' | 'pause' | 'resume' | 'cut' | 'heal' | 'isolate' | 'join';
      readonly who: number;
    }
  | {
      readonly act: 'log-down' | 'log-up' | 'lose-reply';
      readonly who: number;
    };

const actionArbitrary: fc.Arbitrary<Action> = fc.oneof(
  {
    weight: 5,
    arbitrary: fc.record({
      act: fc.constant('run' as const),
      steps: fc.integer({ min: 1, max: 60 }),
    }),
  },
  {
    weight: 4,
    arbitrary: fc.record({
      act: fc.constantFrom(
        'kill' as const,
        'pause' as const,
        'resume' as const,
        'cut' as const,
        'heal' as const,
        'isolate' as const,
        'join' as const,
      ),
      who: fc.nat({ max: 5 }),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      act: fc.constantFrom(
        'log-down' as const,
        'log-up' as const,
        'lose-reply' as const,
      ),
      who: fc.nat({ max: 5 }),
    }),
  },
);

function applyAction(
  simulation: Simulation,
  action: Exclude<Action, { act: 'run' }>,
): void {
  const process =
    simulation.processes[action.who % simulation.processes.length]!;
  switch (action.act) {
    case 'kill':
      process.state = 'dead';
      return;
    case 'pause':
      if (process.state === 'running') process.state = 'paused';
      return;
    case 'resume':
      simulation.resume(process);
      return;
    case 'cut':
      process.streams.isCutOff = true;
      return;
    case 'isolate':
      process.isIsolated = true;
      process.streams.isCutOff = true;
      return;
    case 'heal':
      process.isIsolated = false;
      process.streams.isCutOff = false;
      return;
    case 'join':
      if (simulation.processes.length < 8)
        simulation.add(`p${String(simulation.processes.length)}`);
      return;
    case 'log-down':
      simulation.log.isDown = true;
      return;
    case 'log-up':
      simulation.log.isDown = false;
      return;
    case 'lose-reply':
      process.streams.repliesToLose += 1;
      return;
  }
}

async function healAll(simulation: Simulation): Promise<void> {
  simulation.log.isDown = false;
  for (const process of simulation.processes) {
    simulation.resume(process);
    process.isIsolated = false;
    process.streams.isCutOff = false;
  }
  simulation.add(`p${String(simulation.processes.length)}`);
  for (let step = 0; step < 400; step += 1) await simulation.step();
}

vitest.test(
  'two processes decide for a service shard at most for the maximum age of claims, and every shard gets an owner again',
  async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.array(actionArbitrary, { maxLength: 40, size: 'max' }),
        async (actions) => {
          const simulation = new Simulation();
          for (const name of ['p0', 'p1', 'p2']) simulation.add(name);
          const overlapMs = new Map<string, number>();
          const runStep = async () => {
            await simulation.step();
            for (const shard of SHARDS.slice(1)) {
              const deciders = simulation.listDeciders(shard);
              const total =
                deciders.length > 1 ? (overlapMs.get(shard) ?? 0) + STEP_MS : 0;
              overlapMs.set(shard, total);
              vitest
                .expect(total)
                .toBeLessThanOrEqual(ownership.CLAIM_MAX_AGE_MS);
            }
          };
          for (const action of actions) {
            if (action.act !== 'run') applyAction(simulation, action);
            else
              for (let step = 0; step < action.steps; step += 1)
                await runStep();
          }
          await healAll(simulation);
          for (const shard of SHARDS)
            vitest.expect(simulation.listDeciders(shard)).toHaveLength(1);
          const epochs = simulation.log
            .getStream('claims')
            .records.map((record) => record.offset);
          vitest.expect(new Set(epochs).size).toBe(epochs.length);
        },
      ),
      { seed: 20261204, numRuns: 150 },
    );
  },
);

vitest.test(
  'a resumed owner decides nothing before it has read the newest claims',
  async () => {
    const simulation = new Simulation();
    for (const name of ['p0', 'p1', 'p2']) simulation.add(name);
    for (let step = 0; step < 100; step += 1) await simulation.step();
    const owner = simulation.listDeciders('workers/r')[0]!;
    owner.state = 'paused';
    for (let step = 0; step < 100; step += 1) await simulation.step();
    vitest.expect(simulation.listDeciders('workers/r')).toHaveLength(1);
    owner.streams.isCutOff = true;
    simulation.resume(owner);
    vitest.expect(owner.part.getEpoch('workers/r')).toBeUndefined();
    owner.streams.isCutOff = false;
    for (let step = 0; step < 60; step += 1) await simulation.step();
    vitest.expect(owner.part.getEpoch('workers/r')).toBeUndefined();
    vitest.expect(simulation.listDeciders('workers/r')).toHaveLength(1);
  },
);

vitest.test(
  'after a planned stop other processes own its shards without waiting for the death term',
  async () => {
    const simulation = new Simulation();
    for (const name of ['p0', 'p1', 'p2']) simulation.add(name);
    for (let step = 0; step < 100; step += 1) await simulation.step();
    const owner = simulation.listDeciders('workers/r')[0]!;
    await owner.part.releaseAll();
    for (let step = 0; step < 12; step += 1) await simulation.step();
    const next = simulation.listDeciders('workers/r');
    vitest.expect(next).toHaveLength(1);
    vitest.expect(next[0]!.name).not.toBe(owner.name);
  },
);

vitest.test(
  'while the log is unreachable a provisional owner replaces a dead owner of workers, and claims the shard once the log is reachable',
  async () => {
    const simulation = new Simulation();
    for (const name of ['p0', 'p1', 'p2']) simulation.add(name);
    for (let step = 0; step < 100; step += 1) await simulation.step();
    const owner = simulation.listDeciders('workers/r')[0]!;
    simulation.log.isDown = true;
    for (let step = 0; step < 10; step += 1) await simulation.step();
    owner.state = 'dead';
    for (let step = 0; step < 80; step += 1) await simulation.step();
    const next = simulation.listDeciders('workers/r');
    vitest.expect(next).toHaveLength(1);
    vitest.expect(next[0]!.part.getEpoch('workers/r')?.provisional).toBe(1);
    simulation.log.isDown = false;
    for (let step = 0; step < 20; step += 1) await simulation.step();
    vitest
      .expect(
        simulation.listDeciders('workers/r')[0]?.part.getEpoch('workers/r')
          ?.provisional,
      )
      .toBe(0);
  },
);

vitest.test(
  'a healthy owner may decide at every moment, also between two answers of the log',
  async () => {
    const simulation = new Simulation();
    for (const name of ['p0', 'p1', 'p2']) simulation.add(name);
    for (let step = 0; step < 100; step += 1) await simulation.step();
    for (let step = 0; step < 200; step += 1) {
      await simulation.step();
      for (const shard of SHARDS)
        vitest.expect(simulation.listDeciders(shard)).toHaveLength(1);
    }
  },
);

vitest.test(
  'a process that starts beside a live owner claims nothing, and uses the claims that it read during its start',
  async () => {
    const simulation = new Simulation();
    simulation.add('p0');
    for (let step = 0; step < 100; step += 1) await simulation.step();
    simulation.add('p1', 2);
    for (let step = 0; step < 40; step += 1) await simulation.step();
    vitest.expect(simulation.log.getStream('claims').records).toHaveLength(3);
    simulation.log.isDown = true;
    for (let step = 0; step < 20; step += 1) await simulation.step();
    simulation.processes[0]!.state = 'dead';
    for (let step = 0; step < 80; step += 1) await simulation.step();
    vitest
      .expect(
        simulation.listDeciders('workers/r').map((process) => process.name),
      )
      .toEqual(['p1']);
  },
);
