/** Releases in a process: publication, readiness, acceptance and the snapshot. */
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

/** Lets promises settle, with records delivered and the time moved. */
async function settle(ms = 500, stream = log): Promise<void> {
  for (let step = 0; step < 10; step += 1) await Promise.resolve();
  stream.deliver();
  timers.advance(ms);
  for (let step = 0; step < 10; step += 1) await Promise.resolve();
}

vitest.test(
  'two operators publish on one base: the log decides, the loser is told',
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
    vitest.expect(b.readState().current).toBe('1');
  },
);

vitest.test(
  'a lost reply still gives the verdict once the own record is read',
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
  'a reply that is lost for good answers unknown, never adopted',
  async () => {
    const part = startPart('a');
    await settle();
    log.mode = 'loses-replies';
    const result = part.publish(buildNote('1', 'none'), 'nadia');
    log.records.length = 0;
    await settle(releases.APPEND_MS + releases.READ_BACK_MS);
    vitest.expect(await result).toMatchObject({ result: 'unknown' });
  },
);

vitest.test(
  'nothing is published while the log is away or the release is not known',
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
  'a process that reads from a relay asks the log itself for the head',
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
  'without the log a new process gets ready by the state of a ready peer',
  async () => {
    const old = startPart('old');
    await settle();
    void old.publish(buildNote('1', 'none'), 'nadia');
    await settle();
    log.mode = 'away';
    const fresh = startPart('fresh');
    await settle();
    vitest.expect(fresh.isReady()).toBe(false);
    fresh.membership.peers = [fakes.buildPeer('old', timers.readNow(), 0)];
    await settle();
    vitest.expect(fresh.isReady()).toBe(true);
    vitest.expect(fresh.readState().current).toBe('1');
  },
);

vitest.test(
  'acceptance names the processes that are missing, and measures each',
  async () => {
    const part = startPart('a');
    await settle();
    void part.publish(buildNote('1', 'none'), 'nadia');
    await settle(50);
    vitest
      .expect(part.readAcceptance(0))
      .toMatchObject({ accepted: false, inForce: ['a'], waitingFor: ['peer'] });
    part.membership.peers = [fakes.buildPeer('peer', timers.readNow(), -1)];
    await settle(100);
    part.membership.peers = [fakes.buildPeer('peer', timers.readNow(), 0)];
    await settle(50);
    vitest.expect(part.readAcceptance(0)).toEqual({
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
  'a process that is silent for 60 s or gone from the VM list is not waited for',
  async () => {
    const part = startPart('a');
    await settle();
    void part.publish(buildNote('1', 'none'), 'nadia');
    await settle();
    part.membership.peers = [fakes.buildPeer('peer', timers.readNow(), -1)];
    vitest.expect(part.readAcceptance(0).waitingFor).toEqual(['peer']);
    const vm = {
      role: 'entry',
      availabilityZone: 'z',
      region: 'r',
      rack: 'k',
      state: 'live',
    } as const;
    part.membership.vms = [{ ...vm, id: 'vm-1', address: '10.0.0.1:0' }];
    vitest.expect(part.readAcceptance(0).without).toEqual(['peer']);
    part.membership.vms = [{ ...vm, id: 'vm-2', address: '10.0.0.2:0' }];
    vitest.expect(part.readAcceptance(0).waitingFor).toEqual(['peer']);
    await settle(60_000);
    vitest
      .expect(part.readAcceptance(0))
      .toMatchObject({ accepted: true, without: ['peer'] });
  },
);

vitest.test(
  'the snapshot outlives the notes; a fresh process needs it',
  async () => {
    const part = startPart('a');
    await settle();
    void part.publish(buildNote('1', 'none'), 'nadia');
    await settle();
    log.oldest = 1;
    const early = startPart('early');
    await settle();
    vitest.expect(early.isReady()).toBe(false);
    await settle(releases.SNAPSHOT_EVERY_MS);
    await settle();
    vitest
      .expect(log.records.filter((one) => core.isSnapshot(one.body)))
      .toHaveLength(1);
    vitest.expect(early.isReady()).toBe(true);
    vitest.expect(early.readState()).toMatchObject({ current: '1', offset: 0 });
  },
);
