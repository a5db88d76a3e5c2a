/** Answers to callers about jobs that no VM can run, and about what no owner knows. */
import * as vitest from 'vitest';
import * as core from '@flamingoward/core';
import * as records from '../src/records.js';
import * as requestHandlers from '../src/requestHandler.js';
import * as jobStores from '../src/jobStore.js';
import type * as ports from '../src/ports.js';
import * as fakes from './fakes.js';

const JOB_ID = '0123456789abcdef';
const job: core.workloads.Job = {
  id: JOB_ID,
  queue: 'queue',
  payload: '',
  steps: [],
  schedule: undefined,
  configVersion: 1,
  acceptedAtMs: 0,
  policy: fakes.queuePolicy,
};

function createSetup(
  ownerResult: jobStores.WriteResult | undefined,
  admissionRefusal?: string,
  queries: Partial<requestHandlers.JobQueries> = {},
  payload = '',
) {
  const context = fakes.createFakeContext();
  const store = jobStores.createJobStore(context);
  const route: ports.Route = {
    host: 'h',
    pathPrefix: '/q/',
    policy: fakes.queuePolicy,
  };
  const readable: ports.Ports = {
    ...context.ports,
    decodeSubmission: () => ({
      readable: true,
      value: { payload, steps: [], schedule: undefined },
    }),
  };
  const handleRequest = requestHandlers.createRequestHandler(
    { ...context, ports: readable },
    {
      getCurrent: () => ({ version: 1, routes: [route], maxBodyBytes: 1_000 }),
      isStale: () => false,
      getReadAge: () => 0,
      findRoute: (_, path) => ({ route, rest: path.slice('/q/'.length) }),
      getPolicies: () => ({ version: 1, policies: new Map() }),
      open: () => undefined,
      close: () => undefined,
    },
    store,
    {
      fetchState: () => Promise.resolve('unknown'),
      writeThroughOwner: () => Promise.resolve(ownerResult),
      fetchWaiting: () => Promise.resolve(undefined),
      checkAdmission: () => admissionRefusal,
      ...queries,
    },
  );
  async function request(
    method: string,
    rest: string,
    forMs: number,
  ): Promise<ports.CallerAnswer | undefined> {
    let answer: ports.CallerAnswer | undefined;
    void handleRequest({
      method,
      host: 'h',
      path: `/q/${rest}`,
      body: new Uint8Array(),
      deadlineMs: 3_000,
    }).then((result) => {
      answer = result;
    });
    await fakes.advance(context.fakeTimers, forMs);
    return answer;
  }
  return {
    context,
    store,
    request,
    submit: () => request('POST', JOB_ID, 100),
  };
}

vitest.describe('a job whose record is larger than the store takes', () => {
  vitest.it(
    'is refused at once and written nowhere (guards against a record that the store rejects again and again)',
    async () => {
      const setup = createSetup(undefined, undefined, {}, '1'.repeat(262_144));
      const answer = await setup.request('POST', JOB_ID, 20);
      vitest.expect(answer).toMatchObject({ answer: 'malformed' });
      vitest.expect(setup.context.store.streams.jobs.records).toEqual([]);
    },
  );
});

vitest.describe('a job that no VM could run', () => {
  const refused = {
    answer: 'refused',
    cause: 'load',
    why: 'too large',
    retryAfterS: 10,
  };

  vitest.it(
    'is refused at once when the owner declines it (guards against callers that wait for a job that can never run)',
    async () => {
      const { context, submit } = createSetup({
        outcome: 'declined',
        why: 'too large',
      });
      vitest.expect(await submit()).toEqual(refused);
      vitest.expect(context.store.streams.jobs.records).toEqual([]);
    },
  );

  vitest.it(
    'is refused without a write by a node that is the owner itself',
    async () => {
      const { context, submit } = createSetup(undefined, 'too large');
      vitest.expect(await submit()).toEqual(refused);
      vitest.expect(context.store.streams.jobs.records).toEqual([]);
    },
  );

  vitest.it('is accepted when no owner answers', async () => {
    const { submit } = createSetup(undefined);
    vitest.expect(await submit()).toEqual({ answer: 'accepted' });
  });
});

vitest.describe('the count of waiting jobs of a queue', () => {
  vitest.it(
    'is refused while no owner knows it (guards against MIXED: no jobs are said to wait)',
    async () => {
      const { context, request } = createSetup(undefined);
      vitest.expect(await request('GET', '', 3_000)).toEqual({
        answer: 'refused',
        cause: 'unavailable',
        why: 'no owner knows the counts at present',
        retryAfterS: 1,
      });
      vitest
        .expect(
          context.lines.filter(({ event }) => event === 'request.waiting'),
        )
        .toEqual([
          {
            event: 'request.waiting',
            fields: {
              queue: 'queue',
              why: 'no owner knows the counts at present',
            },
          },
        ]);
    },
  );

  vitest.it(
    'is refused with the reason while a job of the queue may have started (guards against a refusal that hides a silent VM)',
    async () => {
      const { request } = createSetup(undefined, undefined, {
        fetchWaiting: () => Promise.resolve('unresolved'),
      });
      vitest.expect(await request('GET', '', 3_000)).toMatchObject({
        answer: 'refused',
        why: 'whether some jobs of the queue have started is not known at present',
      });
    },
  );
});

vitest.describe('the state of a job while no owner knows it', () => {
  /** Creates a node that has read the stream before, as a former owner has, unless `reads` is false. */
  function createWithoutOwner(reads = true) {
    const setup = createSetup(undefined, undefined, {
      fetchState: () => Promise.resolve(undefined),
    });
    if (reads) void setup.store.refresh();
    const { jobs } = setup.context.store.streams;
    const { key, value } = records.buildAccepted(job);
    jobs.add(key, value);
    return { ...setup, jobs };
  }

  vitest.it(
    'is refused, since the job may still wait (guards against MIXED: a job is shown as running that no VM has begun)',
    async () => {
      const { request } = createWithoutOwner();
      vitest.expect(await request('GET', JOB_ID, 3_000)).toEqual({
        answer: 'refused',
        cause: 'unavailable',
        why: 'no owner knows the state at present',
        retryAfterS: 1,
      });
    },
  );

  vitest.it(
    'is refused when the store does not answer either (guards against MIXED: a job that has ended is shown as running)',
    async () => {
      const { request, jobs } = createWithoutOwner();
      await request('GET', JOB_ID, 3_000);
      jobs.failure = 'cut';
      vitest.expect(await request('GET', JOB_ID, 3_000)).toMatchObject({
        answer: 'refused',
        why: 'cut',
      });
    },
  );

  vitest.it(
    'is refused without a first read of the stream (guards against LOST: reads by all nodes delay the new owner, so that nothing is started)',
    async () => {
      const { request, jobs } = createWithoutOwner(false);
      const read = vitest.vi.spyOn(jobs, 'read');
      const readNewest = vitest.vi.spyOn(jobs, 'readNewest');
      const refused = {
        answer: 'refused',
        cause: 'unavailable',
        why: 'no owner knows the state at present',
        retryAfterS: 1,
      };
      for (const method of ['GET', 'DELETE'])
        vitest.expect(await request(method, JOB_ID, 3_000)).toEqual(refused);
      vitest.expect(jobs.records).toHaveLength(1);
      vitest.expect(read).not.toHaveBeenCalled();
      vitest.expect(readNewest).not.toHaveBeenCalled();
    },
  );

  vitest.it(
    'is unknown after a cancellation that nothing was submitted for (guards against MIXED: a job that nobody submitted is shown as cancelled)',
    async () => {
      const { request, jobs } = createWithoutOwner();
      const unknown = 'fedcba9876543210';
      vitest
        .expect(await request('DELETE', unknown, 3_000))
        .toEqual({ answer: 'unknown-job' });
      vitest
        .expect(await request('GET', unknown, 3_000))
        .toEqual({ answer: 'unknown-job' });
      vitest
        .expect(await request('DELETE', JOB_ID, 3_000))
        .toEqual({ answer: 'cancelled' });
      vitest
        .expect(jobs.records.map(({ key }) => key))
        .toEqual([`job:${JOB_ID}`, `cancel:${unknown}`, `cancel:${JOB_ID}`]);
    },
  );

  vitest.it(
    'is not told to be unknown to its cancellation before that is stored (guards against UNASKED: an acceptance on its way is stored later and the job runs)',
    async () => {
      const { request, jobs, context } = createWithoutOwner();
      context.store.intercept = () =>
        core
          .waitFor(context.timers, 'test.no-answer', 700)
          .then(() => ({ outcome: 'unknown', why: 'no answer' }));
      const unknown = 'fedcba9876543210';
      vitest
        .expect(await request('DELETE', unknown, 3_000))
        .toMatchObject({ answer: 'outcome-unknown' });
      context.store.intercept = undefined;
      vitest
        .expect(await request('DELETE', unknown, 3_000))
        .toEqual({ answer: 'unknown-job' });
      // The client's POST is carried out after all.
      const { key, value } = records.buildAccepted({ ...job, id: unknown });
      jobs.add(key, value);
      vitest
        .expect(await request('GET', unknown, 3_000))
        .toEqual({ answer: 'state', state: 'cancelled' });
    },
  );

  vitest.it(
    'does not let a cancellation be written that may be for no job',
    async () => {
      const { request, jobs, context } = createWithoutOwner();
      jobs.records.length = 0;
      await fakes.advance(context.fakeTimers, 10);
      jobs.failure = 'cut';
      vitest.expect(await request('DELETE', JOB_ID, 3_000)).toMatchObject({
        answer: 'refused',
        cause: 'unavailable',
        why: 'cut',
      });
    },
  );

  vitest.it(
    'is its stored end after a later cancellation (guards against MIXED: a completed job is shown as cancelled by the node that wrote the cancellation)',
    async () => {
      const { request, jobs } = createWithoutOwner();
      await request('GET', JOB_ID, 3_000);
      const [end] = records.buildFinal(JOB_ID, 'completed');
      jobs.add(end!.key, end!.value);
      vitest
        .expect(await request('DELETE', JOB_ID, 100))
        .toEqual({ answer: 'cancelled' });
      vitest
        .expect(await request('GET', JOB_ID, 100))
        .toEqual({ answer: 'state', state: 'completed' });
    },
  );

  vitest.it(
    'is its end that was stored after a cancellation (guards against MIXED: a node that has not read for seconds shows a completed job as cancelled)',
    async () => {
      const { request, jobs, context } = createWithoutOwner();
      const { key, value } = records.buildCancelled(JOB_ID);
      jobs.add(key, value);
      await request('GET', JOB_ID, 3_000);
      const [end] = records.buildFinal(JOB_ID, 'completed');
      jobs.add(end!.key, end!.value);
      await fakes.advance(context.fakeTimers, 2_000);
      vitest
        .expect(await request('GET', JOB_ID, 3_000))
        .toEqual({ answer: 'state', state: 'completed' });
    },
  );

  vitest.it(
    'is its end, or that there is no such job, if the stream tells so',
    async () => {
      const { request, jobs } = createWithoutOwner();
      const { key, value } = records.buildCancelled(JOB_ID);
      jobs.add(key, value);
      vitest
        .expect(await request('GET', JOB_ID, 3_000))
        .toEqual({ answer: 'state', state: 'cancelled' });
      vitest
        .expect(await request('GET', 'fedcba9876543210', 3_000))
        .toEqual({ answer: 'unknown-job' });
    },
  );
});
