/** Requests of several workspaces to a node that isn't the owner: whose jobs they submit, see and cancel. */
import * as vitest from 'vitest';
import type * as core from '@flamingoward/core';
import * as configurations from '../src/configuration.js';
import * as jobStores from '../src/jobStore.js';
import type * as ports from '../src/ports.js';
import * as records from '../src/records.js';
import * as requestHandlers from '../src/requestHandler.js';
import * as fakes from './fakes.js';

const JOB_ID = '0123456789abcdef';
const OTHER_ID = 'fedcba9876543210';

/** Creates a node whose writes and questions go to an owner, and a configuration with the workspaces `a` and `b`. */
function createSetup() {
  const context = fakes.createFakeContext();
  const { store, fakeTimers: timers } = context;
  const ownerStore = jobStores.createJobStore(
    fakes.createFakeContext({ timers, store }, 'owner'),
  );
  const cancelled: core.ids.JobId[] = [];
  ownerStore.setObserver((change) => {
    if (change.change === 'cancelled') cancelled.push(change.id);
  });
  const link = { isUp: true, hasHeartbeat: true };
  const view = configurations.createConfigurationView(context);
  const jobs = jobStores.createJobStore(context);
  const handleRequest = requestHandlers.createRequestHandler(
    {
      ...context,
      settings: { ...context.settings, keyBoundMs: 12_000 },
      ports: {
        ...context.ports,
        decodeSubmission: () => ({
          readable: true,
          value: { payload: '', steps: [], schedule: undefined },
        }),
      },
    },
    view,
    jobs,
    {
      async fetchState(id, caller) {
        if (!link.isUp) return undefined;
        await ownerStore.refresh();
        const isKnown = ownerStore.findReadable(id, caller) !== undefined;
        return isKnown ? 'running' : 'unknown';
      },
      writeThroughOwner(change) {
        const untilMs = timers.getNow() + 1_000;
        if (!link.isUp || !link.hasHeartbeat) return Promise.resolve(undefined);
        return 'accept' in change
          ? ownerStore.accept(change.accept, untilMs, change.caller)
          : ownerStore.cancel(change.cancel, untilMs, change.caller);
      },
      fetchWaiting: () => Promise.resolve({ waiting: 3, fence: 1, ageMs: 0 }),
      checkAdmission: () => undefined,
    },
  );
  let version = 0;
  async function configure(
    keys: Readonly<Record<string, readonly string[]>> | undefined,
    isPublic = false,
  ): Promise<void> {
    version += 1;
    const next = {
      version,
      maxBodyBytes: 1_000,
      routes: [
        { host: 'h', pathPrefix: '/q/', policy: fakes.queuePolicy, isPublic },
      ],
      ...(keys === undefined
        ? {}
        : {
            workspaces: Object.entries(keys).map(([name, keyDigests]) => ({
              policy: { name, weight: 1, priority: 0, limit: {} },
              keyDigests,
            })),
          }),
    };
    context.configuration.add('config', JSON.stringify(next));
    await fakes.advance(timers, 100);
  }
  async function request(
    method: string,
    digest: string | undefined,
    id = JOB_ID,
  ): Promise<ports.CallerAnswer['answer'] | undefined> {
    let answer: ports.CallerAnswer | undefined;
    void handleRequest({
      method,
      host: 'h',
      path: `/q/${id}`,
      body: new Uint8Array(),
      ...(digest === undefined ? {} : { credentials: { kind: 'key', digest } }),
      deadlineMs: 3_000,
    }).then((result) => {
      answer = result;
    });
    await fakes.advance(timers, 3_000);
    return answer?.answer;
  }
  view.open();
  return {
    ...{ context, configure, request, ownerStore, jobs, link, cancelled },
    listRecords: () => store.streams.jobs.records,
  };
}

const keys = { a: ['key-a'], b: ['key-b'] };

vitest.describe('a job of a workspace', () => {
  vitest.it(
    'has its workspace in the durable record, and nowhere the key or its digest (guards against keys in the store and in logs)',
    async () => {
      const { configure, request, listRecords, context } = createSetup();
      await configure(keys);
      vitest.expect(await request('POST', 'key-a')).toBe('accepted');
      vitest.expect(await request('GET', 'key-x')).toBe('unauthorized');
      const [record] = listRecords();
      vitest
        .expect(records.parseJobChange(record!))
        .toMatchObject({ change: 'accepted', job: { workspace: 'a' } });
      const { submitter } = (
        JSON.parse(record!.value!) as { job: core.workloads.Job }
      ).job;
      vitest.expect(submitter).toMatch(/^[0-9a-f]{16}$/);
      vitest.expect(record!.value).not.toContain('key-a');
      const lines = JSON.stringify(context.lines);
      for (const secret of ['key-a', 'key-x', submitter!])
        vitest.expect(lines).not.toContain(secret);
    },
  );

  vitest.it.each([true, false])(
    'is to another workspace like one that does not exist, with an owner: %s (guards against a workspace that reads or cancels the jobs of another)',
    async (isUp) => {
      const setup = createSetup();
      const { configure, request, jobs, ownerStore, link } = setup;
      await configure(keys);
      vitest.expect(await request('POST', 'key-a')).toBe('accepted');
      const reads = [jobs.refresh(), ownerStore.refresh()];
      await fakes.advance(setup.context.fakeTimers, 100);
      await Promise.all(reads);
      link.isUp = isUp;
      for (const method of ['GET', 'DELETE'])
        vitest
          .expect([
            await request(method, 'key-b'),
            await request(method, 'key-b', OTHER_ID),
          ])
          .toEqual(['unknown-job', 'unknown-job']);
      vitest.expect(await request('POST', 'key-b')).toBe('id-in-use');
      vitest.expect(setup.cancelled).not.toContain(JOB_ID);
      vitest.expect(ownerStore.find(JOB_ID)?.cancelled).toBe(false);
      vitest
        .expect(setup.listRecords().map(({ key }) => key))
        .not.toContain(`cancel:${JOB_ID}`);
      vitest.expect(await request('DELETE', 'key-a')).toBe('cancelled');
    },
  );

  vitest.it(
    'keeps its id although another workspace submits one with it to a node that has not heard of a new owner yet (guards against a job that is accepted and never runs)',
    async () => {
      const { configure, request, ownerStore, jobs, link } = createSetup();
      await configure(keys);
      vitest.expect(await request('POST', 'key-a')).toBe('accepted');
      link.hasHeartbeat = false;
      for (let tries = 0; tries < 2; tries += 1)
        vitest.expect(await request('POST', 'key-b')).toBe('id-in-use');
      vitest.expect(await request('GET', 'key-a')).toBe('state');
      vitest.expect(await request('GET', 'key-b')).toBe('unknown-job');
      vitest.expect(await request('POST', 'key-a')).toBe('accepted');
      vitest.expect(await request('POST', 'key-b', OTHER_ID)).toBe('accepted');
      vitest.expect(ownerStore.find(JOB_ID)?.job?.workspace).toBe('a');
      vitest.expect(jobs.find(JOB_ID)?.origin?.workspace).not.toBe('b');
    },
  );

  vitest.it(
    'is not told of to another workspace while nothing can be decided (guards against an answer that tells whether the job exists)',
    async () => {
      const { configure, request, context, link } = createSetup();
      await configure(keys);
      vitest.expect(await request('POST', 'key-a')).toBe('accepted');
      link.isUp = false;
      context.store.streams.jobs.failure = 'cut';
      for (const id of [JOB_ID, OTHER_ID])
        vitest.expect(await request('GET', 'key-b', id)).toBe('refused');
    },
  );

  vitest.it(
    'is served to its key after that has moved to another workspace, and stays one job (guards against a caller that loses an accepted job)',
    async () => {
      const { configure, request, listRecords } = createSetup();
      await configure({ a: ['key-a', 'key-c'], b: ['key-b'] });
      vitest.expect(await request('POST', 'key-a')).toBe('accepted');
      await configure({ a: ['key-c'], b: ['key-b', 'key-a'] });
      vitest.expect(await request('POST', 'key-a')).toBe('accepted');
      vitest.expect(await request('GET', 'key-a')).toBe('state');
      vitest.expect(await request('GET', 'key-c')).toBe('state');
      vitest.expect(await request('GET', 'key-b')).toBe('unknown-job');
      vitest.expect(listRecords()).toHaveLength(1);
    },
  );

  vitest.it(
    'is served after its route has become public, and one of a public route after that has ended (guards against a caller that loses an accepted job)',
    async () => {
      const { configure, request } = createSetup();
      await configure(keys);
      vitest.expect(await request('POST', 'key-a')).toBe('accepted');
      await configure(keys, true);
      for (const digest of ['key-a', undefined])
        vitest.expect(await request('GET', digest)).toBe('state');
      vitest.expect(await request('POST', 'key-a')).toBe('accepted');
      vitest.expect(await request('DELETE', undefined)).toBe('unknown-job');
      vitest
        .expect(await request('POST', undefined, OTHER_ID))
        .toBe('accepted');
      await configure(keys);
      vitest.expect(await request('GET', 'key-b', OTHER_ID)).toBe('state');
      vitest
        .expect(await request('GET', undefined, OTHER_ID))
        .toBe('unauthorized');
    },
  );

  vitest.it(
    'is not submitted with a revoked key, but goes on (guards against jobs that end with the keys of their workspace)',
    async () => {
      const { configure, request, ownerStore } = createSetup();
      await configure(keys);
      vitest.expect(await request('POST', 'key-a')).toBe('accepted');
      await configure({ a: [], b: ['key-b'] });
      vitest.expect(await request('GET', 'key-a')).toBe('unauthorized');
      vitest
        .expect(await request('POST', 'key-a', OTHER_ID))
        .toBe('unauthorized');
      vitest.expect(ownerStore.find(JOB_ID)?.job?.workspace).toBe('a');
      vitest.expect(ownerStore.find(OTHER_ID)).toBeUndefined();
    },
  );
});

vitest.describe('a node that can not read the configuration', () => {
  vitest.it(
    'refuses unknown keys for the time being, and known ones after the bound (guards against a revoked key that is served through an outage)',
    async () => {
      const { configure, request, context } = createSetup();
      vitest.expect(await request('GET', 'key-a')).toBe('refused');
      await configure(keys);
      context.configuration.failure = 'refused';
      vitest.expect(await request('POST', 'key-x')).toBe('unauthorized');
      await fakes.advance(context.fakeTimers, 1_000);
      vitest.expect(await request('POST', 'key-x')).toBe('refused');
      vitest.expect(await request('GET', '', '')).toBe('refused');
      await fakes.advance(context.fakeTimers, 6_000);
      vitest.expect(await request('POST', 'key-a')).toBe('refused');
      context.configuration.failure = undefined;
      await fakes.advance(context.fakeTimers, 500);
      vitest.expect(await request('POST', 'key-a')).toBe('accepted');
    },
  );
});

vitest.describe('a key that is revoked while the store refuses a node', () => {
  vitest.it(
    'is refused there from the bound on, and for good once the node reads again, and the jobs of its workspace go on (guards against a revoked key that a node serves through an outage, and against jobs that end with their keys)',
    async () => {
      const setup = createSetup();
      const { configure, request, context, ownerStore } = setup;
      await configure(keys);
      vitest.expect(await request('POST', 'key-a')).toBe('accepted');
      context.configuration.failure = 'refused';
      // The read that is in flight still gets its answer.
      await fakes.advance(context.fakeTimers, 1_500);
      await configure({ a: [], b: ['key-b'] });
      vitest.expect(await request('GET', 'key-a')).toBe('state');
      await fakes.advance(context.fakeTimers, 10_000);
      for (const method of ['GET', 'POST', 'DELETE'])
        vitest.expect(await request(method, 'key-a')).toBe('refused');
      context.configuration.failure = undefined;
      await fakes.advance(context.fakeTimers, 500);
      for (const method of ['GET', 'POST', 'DELETE'])
        vitest.expect(await request(method, 'key-a')).toBe('unauthorized');
      vitest.expect(ownerStore.find(JOB_ID)).toMatchObject({
        job: { workspace: 'a' },
        cancelled: false,
      });
    },
  );
});

vitest.describe('the count of a queue', () => {
  vitest.it('needs a key', async () => {
    const { configure, request } = createSetup();
    await configure(keys);
    vitest.expect(await request('GET', undefined, '')).toBe('unauthorized');
    vitest.expect(await request('GET', 'key-a', '')).toBe('waiting');
    await configure(undefined);
    vitest.expect(await request('GET', undefined, '')).toBe('waiting');
  });
});
