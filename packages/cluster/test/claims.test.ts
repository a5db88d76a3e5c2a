/** Ownership by conditional appends: one owner at a time, despite lost answers, late appends and terminated owners. */
import * as core from '@flamingoward/core';
import * as vitest from 'vitest';
import * as claims from '../src/claims.js';
import * as fakes from './fakes.js';

interface Candidate {
  readonly name: string;
  readonly context: fakes.FakeContext;
  readonly claim: claims.Claims;
  readonly owned: { fence: number; previous: claims.PreviousOwner }[];
  readonly lost: string[];
}

function createCandidate(
  name: string,
  shared: { timers: core.VirtualTimers; store: fakes.FakeStore },
  cores = 1,
): Candidate {
  const base = fakes.createFakeContext(shared, name);
  const context = { ...base, settings: { ...base.settings, cores } };
  const owned: Candidate['owned'] = [];
  const lost: string[] = [];
  const claim = claims.createClaims(context, {
    onOwned: (fence, previous) => owned.push({ fence, previous }),
    onLost: (why) => lost.push(why),
    onOwner: () => undefined,
    onUnconfirmed: () => undefined,
    buildLeaseRecord: () => ({ leaseMs: 6_000, owners: [], silentVms: [] }),
    buildFinalLeaseRecord: () => ({
      leaseMs: 6_000,
      owners: [],
      silentVms: [],
    }),
    hasUnrecorded: () => false,
    onRenewed: () => undefined,
  });
  return { name, context, claim, owned, lost };
}

function createCluster(names: readonly string[]) {
  const timers = core.createVirtualTimers(10_000);
  const store = fakes.createFakeStore(timers);
  const candidates = names.map((name) =>
    createCandidate(name, { timers, store }),
  );
  return { timers, store, candidates };
}

function listOwners(candidates: readonly Candidate[]): readonly Candidate[] {
  return candidates.filter(({ claim }) => claim.getFence() !== undefined);
}

/** Starts two candidates, of which one becomes the owner. */
async function startPair() {
  const { timers, candidates } = createCluster(['a', 'b']);
  for (const { claim } of candidates) claim.open();
  await fakes.advance(timers, 2_000);
  const [owner] = listOwners(candidates);
  const other = candidates.find((candidate) => candidate !== owner)!;
  return { timers, candidates, owner, other };
}

vitest.describe('ownership', () => {
  vitest.it(
    'goes to exactly one of several nodes that start together (guards against two owners)',
    async () => {
      const { timers, candidates } = createCluster(['a', 'b', 'c']);
      for (const { claim } of candidates) claim.open();
      await fakes.advance(timers, 2_000);
      vitest.expect(listOwners(candidates)).toHaveLength(1);
    },
  );

  vitest.it.each([
    { evidence: 'terminated', inactive: true },
    { evidence: 'refused', inactive: false },
  ] as const)(
    'moves within half a second, under a higher fence, from an owner that is $evidence, whose orders have ended: $inactive (guards against long gaps without an owner, and against TWICE: a refused link counts as the end of the process)',
    async ({ evidence, inactive }) => {
      const { timers, candidates } = createCluster(['a', 'b', 'c']);
      for (const { claim } of candidates) claim.open();
      await fakes.advance(timers, 2_000);
      const [owner] = listOwners(candidates);
      const others = candidates.filter((other) => other !== owner);
      owner!.claim.close();
      for (const { claim } of others) {
        claim.setSuccessors(others.map(({ context }) => context.instance));
        claim.suspect(owner!.context.instance, evidence);
      }
      await fakes.advance(timers, 500);
      const [next] = listOwners(others);
      vitest.expect(listOwners(others)).toHaveLength(1);
      vitest
        .expect(next!.claim.getFence())
        .toBeGreaterThan(owner!.owned[0]!.fence);
      vitest.expect(next!.owned[0]!.previous.inactive).toBe(inactive);
    },
  );

  vitest.it(
    'stays with an owner that renews its claim although its links break (guards against needless changes of the owner)',
    async () => {
      const { timers, candidates, owner, other } = await startPair();
      for (let round = 0; round < 30; round += 1) {
        other.claim.suspect(owner!.context.instance, 'silent');
        await fakes.advance(timers, 200);
      }
      vitest.expect(listOwners(candidates)).toEqual([owner]);
    },
  );

  vitest.it(
    'is given up when renewals conflict and the stream can not be read (guards against an owner that goes on beside its successor)',
    async () => {
      const { timers, candidates } = createCluster(['a']);
      const { claim, context, lost } = candidates[0]!;
      claim.open();
      await fakes.advance(timers, 2_000);
      const stream = context.store.streams.claims;
      stream.unresponsive = true;
      stream.add(
        'owner',
        JSON.stringify({ node: 'b', instance: 'b-1', address: 'b:1' }),
      );
      await fakes.advance(timers, 12_000);
      vitest.expect(lost).toHaveLength(1);
      vitest.expect(claim.getFence()).toBeUndefined();
    },
  );

  vitest.it(
    'is taken from the stream when the answer to the claim was lost (guards against a winning claim without an owner)',
    async () => {
      const { timers, store, candidates } = createCluster(['a']);
      store.intercept = (stream, records) => {
        store.intercept = undefined;
        for (const { key, value } of records)
          store.streams[stream].add(key, value);
        return Promise.resolve({ outcome: 'unknown', why: 'lost' });
      };
      candidates[0]!.claim.open();
      await fakes.advance(timers, 1_000);
      vitest.expect(listOwners(candidates)).toHaveLength(1);
    },
  );

  vitest.it(
    'is given up by an owner that reads a later claim (guards against two owners)',
    async () => {
      const { timers, store, candidates } = createCluster(['a']);
      const [only] = candidates;
      only!.claim.open();
      await fakes.advance(timers, 1_000);
      store.streams.claims.add(
        'owner',
        JSON.stringify({ node: 'x', instance: 'x', address: 'x:1' }),
      );
      await fakes.advance(timers, 700);
      vitest.expect(listOwners(candidates)).toEqual([]);
      vitest.expect(only!.lost).toEqual(['another node claimed ownership']);
    },
  );

  vitest.it(
    'does not move while the store is unavailable to all nodes (guards against a change of the owner without a claim)',
    async () => {
      const { timers, store, candidates } = createCluster(['a', 'b']);
      for (const { claim } of candidates) claim.open();
      await fakes.advance(timers, 2_000);
      const [owner] = listOwners(candidates);
      store.streams.claims.failure = 'status 503';
      await fakes.advance(timers, 5_000);
      vitest.expect(listOwners(candidates)).toEqual([owner]);
      store.streams.claims.failure = undefined;
      await fakes.advance(timers, 3_000);
      vitest.expect(listOwners(candidates)).toEqual([owner]);
    },
  );

  vitest.it(
    'is known within 300 ms after a release to nodes that are late in the order of succession, which claim in their turn only (guards against nodes that learn of the new owner by suspecting the old one)',
    async () => {
      const { timers, candidates } = createCluster(['a', 'b', 'c']);
      for (const { claim } of candidates) claim.open();
      await fakes.advance(timers, 2_000);
      const [owner] = listOwners(candidates);
      const [first, last] = candidates.filter((other) => other !== owner);
      const fence = owner!.claim.getFence()!;
      const order = [
        first!.context.instance,
        ...Array.from({ length: 20 }, (_, index) => `other-${index}`),
        last!.context.instance,
      ];
      for (const { claim } of [first!, last!]) claim.setSuccessors(order);
      const released = owner!.claim.release(false);
      await fakes.advance(timers, 20);
      await released;
      last!.claim.handleRelease(fence, false);
      await fakes.advance(timers, 150);
      vitest.expect(last!.claim.getFence()).toBeUndefined();
      first!.claim.handleRelease(fence, false);
      await fakes.advance(timers, 130);
      vitest.expect(first!.claim.getFence()).toBeGreaterThan(fence);
      vitest
        .expect(last!.claim.getOwner()?.fence)
        .toBe(first!.claim.getFence());
    },
  );

  vitest.it(
    'is claimed by a node that the owner did not rank once the ranked ones had their turns (guards against a cluster that waits for nodes that are gone)',
    async () => {
      const { timers, owner, other } = await startPair();
      other.claim.setSuccessors(['gone-1', 'gone-2']);
      owner!.claim.close();
      other.claim.suspect(owner!.context.instance, 'terminated');
      await fakes.advance(timers, 450);
      vitest.expect(other.claim.getFence()).toBeUndefined();
      vitest.expect(other.claim.getFence()).toBeUndefined();
      // Twelve turns of 250 ms, and as much again at most.
      await fakes.advance(timers, 6_000);
      vitest.expect(other.claim.getFence()).toBeDefined();
    },
  );

  vitest.it.each([{ how: 'released' }, { how: 'silent' }] as const)(
    'is left to the ranked nodes by a small one that has just started when the owner is $how (guards against an owner that is too slow for the cluster after a rolling restart)',
    async ({ how }) => {
      const { timers, store, candidates } = createCluster(['a', 'b']);
      for (const { claim } of candidates) claim.open();
      await fakes.advance(timers, 2_000);
      const [owner] = listOwners(candidates);
      const ranked = candidates.find((candidate) => candidate !== owner)!;
      // The first three in the order are gone, so the fourth one claims after three turns.
      ranked.claim.setSuccessors([
        'gone-1',
        'gone-2',
        'gone-3',
        ranked.context.instance,
      ]);
      const small = createCandidate('small', { timers, store }, 0.3);
      small.claim.open();
      await fakes.advance(timers, 200);
      const fence = owner!.claim.getFence()!;
      if (how === 'released') {
        const released = owner!.claim.release(false);
        await fakes.advance(timers, 20);
        await released;
      } else owner!.claim.close();
      for (const { claim } of [ranked, small])
        if (how === 'released') claim.handleRelease(fence, false);
        else claim.suspect(owner!.context.instance, 'silent');
      await fakes.advance(timers, 2_500);
      vitest.expect(small.claim.getFence()).toBeUndefined();
      vitest.expect(ranked.claim.getFence()).toBeGreaterThan(fence);
    },
  );

  vitest.it(
    'is taken over within 200 ms after a release (guards against waiting for the timeout of a missing renewal)',
    async () => {
      const { timers, owner, other } = await startPair();
      const fence = owner!.claim.getFence()!;
      const released = owner!.claim.release(false);
      await fakes.advance(timers, 20);
      await released;
      other.claim.handleRelease(fence, false);
      await fakes.advance(timers, 200);
      vitest.expect(other.claim.getFence()).toBeGreaterThan(fence);
      vitest.expect(other.owned[0]!.previous).toEqual({
        unrecorded: false,
        inactive: true,
        owners: [
          vitest.expect.objectContaining({
            instance: owner!.context.instance,
          }),
        ],
        silentVms: new Map(),
        lastEnds: new Map(),
      });
    },
  );

  vitest.it.each([
    { build: 'earlier', recordsStarts: undefined, unrecorded: true },
    { build: 'this', recordsStarts: true, unrecorded: false },
  ])(
    'tells the successor of an owner of $build build, silent for seconds, whether its starts may lack a record: $unrecorded (guards against TWICE in a rolling change, and against work that waits for the reports of all VMs)',
    async ({ recordsStarts, unrecorded }) => {
      const { timers, store, candidates } = createCluster(['a']);
      const owner = { node: 'old', instance: 'old-1', address: '127.0.0.1:1' };
      store.streams.claims.add(
        'owner',
        JSON.stringify({ ...owner, recordsStarts }),
      );
      candidates[0]!.claim.open();
      await fakes.advance(timers, 4_000);
      vitest.expect(candidates[0]!.owned).toHaveLength(1);
      vitest
        .expect(candidates[0]!.owned[0]!.previous.unrecorded)
        .toBe(unrecorded);
    },
  );

  vitest.it(
    'tells the successors of an owner that claimed from one of an earlier build, which may send orders yet, that starts may lack a record (guards against TWICE in a rolling change)',
    async () => {
      const { timers, store, candidates } = createCluster(['a', 'b']);
      const [middle, last] = candidates;
      const first = { node: 'n1', instance: 'n1-1', address: '127.0.0.1:1' };
      store.streams.claims.add('owner', JSON.stringify(first));
      middle!.claim.open();
      await fakes.advance(timers, 100);
      middle!.claim.handleHeartbeat(1, 0, undefined);
      // Cut off from its peers, the first owner sends starts without a record from now on.
      middle!.claim.suspect(first.instance, 'refused');
      while (middle!.owned.length === 0) await fakes.advance(timers, 10);
      middle!.claim.close();
      vitest.expect(middle!.owned[0]!.previous.unrecorded).toBe(true);
      last!.claim.open();
      await fakes.advance(timers, 4_000);
      vitest.expect(last!.owned).toHaveLength(1);
      vitest.expect(last!.owned[0]!.previous.unrecorded).toBe(true);
    },
  );

  vitest.it.each([
    { unrecorded: true, through: 'notice' },
    { unrecorded: false, through: 'notice' },
    { unrecorded: true, through: 'record' },
  ] as const)(
    'passes on by $through whether starts are unrecorded: $unrecorded (guards against a second run of work that was started while the store was unavailable)',
    async ({ unrecorded, through }) => {
      // The release coincides with a renewal in flight.
      const { timers, owner, other } = await startPair();
      const fence = owner!.claim.getFence()!;
      if (through === 'notice') {
        owner!.claim.resign('store unreachable');
        owner!.claim.close();
        other.claim.handleRelease(fence, unrecorded);
      } else {
        const released = owner!.claim.release(unrecorded);
        await fakes.advance(timers, 20);
        await released;
      }
      await fakes.advance(timers, 2_000);
      vitest.expect(other.owned).toHaveLength(1);
      vitest.expect(other.owned[0]!.previous).toEqual({
        unrecorded,
        inactive: true,
        owners: [
          vitest.expect.objectContaining({
            instance: owner!.context.instance,
          }),
        ],
        silentVms: new Map(),
        lastEnds: new Map(),
      });
    },
  );
});
