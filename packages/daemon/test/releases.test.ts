/** Tests of the releases part of a process: publication, readiness, acceptance and snapshots. */
import * as vitest from 'vitest';
import * as core from '@flamingoward/core';
import * as fakes from './fakes.releases.js';
import * as releases from '../src/releases/releases.js';

const timers = core.createVirtualTimers();
let log = fakes.createFakeLog(timers);
let network = new fakes.FakeNetwork();
const parts: releases.ReleasesPart[] = [];

vitest.beforeEach(() => {
  for (const part of parts.splice(0)) part.close();
  log = fakes.createFakeLog(timers);
  network = new fakes.FakeNetwork();
});

function startPart(name: string, streams = log) {
  const context = fakes.buildContext(timers, name);
  const membership = fakes.createFakeMembership();
  const links = network.buildLinks(context.identity.instance);
  const peers = [{ name: 'peer', address: '10.0.0.2:7002' }];
  const part = releases.createReleases({
    context,
    streams,
    membership,
    links,
    peers,
  });
  parts.push(part);
  return { ...part, membership };
}

function buildNote(id: string, base: string): string {
  return `[release]\nid = ${id}\nbase = ${base}\ntitle = t\n[added team t${id}]\nquota_cores = 1\nquota_memory_mb = 1\n`;
}

/** Lets promises settle, delivers the records, advances the time, and lets promises settle again. */
async function settle(ms = 500, stream = log): Promise<void> {
  for (let step = 0; step < 10; step += 1) await Promise.resolve();
  stream.deliver();
  timers.advance(ms);
  for (let step = 0; step < 10; step += 1) await Promise.resolve();
}

vitest.test(
  'of two releases published on the same base the first in the log is adopted, and the other gets a conflict',
  async () => {
    const [a, b] = [startPart('a'), startPart('b')];
    await settle();
    const results = Promise.all([
      a.publish(buildNote('1', 'none'), 'nadia'),
      b.publish(buildNote('2', 'none'), 'omar'),
    ]);
    await settle();
    vitest.expect(await results).toEqual([
      { result: 'verdict', offset: 0, verdict: { verdict: 'adopted' } },
      {
        result: 'verdict',
        offset: 1,
        verdict: { verdict: 'conflict', lostTo: '1' },
      },
    ]);
    vitest.expect(b.getState().current).toBe('1');
  },
);

vitest.test(
  'publish returns the verdict after a lost reply once the own record is read back',
  async () => {
    const part = startPart('a');
    await settle();
    log.mode = 'loses-replies';
    const result = part.publish(buildNote('1', 'none'), 'nadia');
    await settle();
    vitest
      .expect(await result)
      .toMatchObject({ result: 'verdict', verdict: { verdict: 'adopted' } });
  },
);

vitest.test(
  'publish returns unknown, not adopted, when neither the reply nor the own record arrives',
  async () => {
    const part = startPart('a');
    await settle();
    log.mode = 'loses-replies';
    const result = part.publish(buildNote('1', 'none'), 'nadia');
    log.records.length = 0;
    await settle(releases.APPEND_TIMEOUT_MS + releases.READ_BACK_TIMEOUT_MS);
    vitest.expect(await result).toMatchObject({ result: 'unknown' });
  },
);

vitest.test(
  'publish refuses while the log is unreachable or the release in force is not known',
  async () => {
    const part = startPart('a');
    vitest.expect(part.isReady()).toBe(false);
    vitest
      .expect(await part.publish(buildNote('1', 'none'), 'x'))
      .toMatchObject({ result: 'not-published' });
    await settle();
    vitest.expect(part.isReady()).toBe(true);
    log.mode = 'away';
    vitest
      .expect(await part.publish(buildNote('1', 'none'), 'x'))
      .toMatchObject({ result: 'not-published' });
    vitest.expect(log.records).toEqual([]);
  },
);

vitest.test(
  'a process that reads from a relay reads the head from the log itself to become ready',
  async () => {
    log.mode = 'relayed';
    const part = startPart('a');
    log.deliver();
    vitest.expect(part.isReady()).toBe(false);
    await settle();
    await settle();
    vitest.expect(part.isReady()).toBe(true);
  },
);

vitest.test(
  'a new process becomes ready with the state of a ready peer while the log is unreachable',
  async () => {
    const old = startPart('old');
    await settle();
    void old.publish(buildNote('1', 'none'), 'nadia');
    await settle();
    log.mode = 'away';
    const fresh = startPart('fresh');
    await settle();
    vitest.expect(fresh.isReady()).toBe(false);
    fresh.membership.peers = [fakes.buildPeer('old', timers.getNow(), 0)];
    await settle();
    vitest.expect(fresh.isReady()).toBe(true);
    vitest.expect(fresh.getState().current).toBe('1');
  },
);

vitest.test(
  'acceptance lists the processes that lack the release, and measures the time of each',
  async () => {
    const part = startPart('a');
    await settle();
    void part.publish(buildNote('1', 'none'), 'nadia');
    await settle(50);
    vitest
      .expect(part.getAcceptance(0))
      .toMatchObject({ accepted: false, inForce: ['a'], waitingFor: ['peer'] });
    part.membership.peers = [fakes.buildPeer('peer', timers.getNow(), -1)];
    await settle(100);
    part.membership.peers = [fakes.buildPeer('peer', timers.getNow(), 0)];
    await settle(50);
    vitest.expect(part.getAcceptance(0)).toEqual({
      accepted: true,
      inForce: ['a', 'peer'],
      waitingFor: [],
      without: [],
      tookMs: 200,
      times: [
        { process: 'a', tookMs: 0 },
        { process: 'peer', tookMs: 200 },
      ],
    });
  },
);

vitest.test(
  'acceptance does not wait for a process without a heartbeat for 60 s or missing from the VM list',
  async () => {
    const part = startPart('a');
    await settle();
    void part.publish(buildNote('1', 'none'), 'nadia');
    await settle();
    part.membership.peers = [fakes.buildPeer('peer', timers.getNow(), -1)];
    vitest.expect(part.getAcceptance(0).waitingFor).toEqual(['peer']);
    const vm = {
      role: 'entry',
      availabilityZone: 'z',
      region: 'r',
      rack: 'k',
      state: 'live',
    } as const;
    part.membership.vms = [{ ...vm, id: 'vm-1', address: '10.0.0.1:0' }];
    vitest.expect(part.getAcceptance(0).without).toEqual(['peer']);
    part.membership.vms = [{ ...vm, id: 'vm-2', address: '10.0.0.2:0' }];
    vitest.expect(part.getAcceptance(0).waitingFor).toEqual(['peer']);
    await settle(60_000);
    vitest
      .expect(part.getAcceptance(0))
      .toMatchObject({ accepted: true, without: ['peer'] });
  },
);

vitest.test(
  'a new process becomes ready from the snapshot after the log dropped the release notes',
  async () => {
    const part = startPart('a');
    await settle();
    void part.publish(buildNote('1', 'none'), 'nadia');
    await settle();
    log.oldest = 1;
    const early = startPart('early');
    await settle();
    vitest.expect(early.isReady()).toBe(false);
    await settle(releases.SNAPSHOT_INTERVAL_MS);
    await settle();
    vitest
      .expect(log.records.filter((one) => core.isSnapshot(one.body)))
      .toHaveLength(1);
    vitest.expect(early.isReady()).toBe(true);
    vitest.expect(early.getState()).toMatchObject({ current: '1', offset: 0 });
  },
);
