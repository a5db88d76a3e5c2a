/** Answers to callers about jobs that no VM can run. */
import * as vitest from 'vitest';
import * as requestHandlers from '../src/requestHandler.js';
import * as jobStores from '../src/jobStore.js';
import type * as ports from '../src/ports.js';
import * as fakes from './fakes.js';

function createSetup(
  ownerResult: jobStores.WriteResult | undefined,
  admissionRefusal?: string,
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
      value: { payload: '', steps: [], schedule: undefined },
    }),
  };
  const handleRequest = requestHandlers.createRequestHandler(
    { ...context, ports: readable },
    {
      getCurrent: () => ({ version: 1, routes: [route], maxBodyBytes: 1_000 }),
      isStale: () => false,
      findRoute: (_, path) => ({ route, rest: path.slice('/q/'.length) }),
      getPolicies: () => ({ version: 1, policies: new Map() }),
      open: () => undefined,
      close: () => undefined,
    },
    store,
    {
      fetchState: () => Promise.resolve('unknown'),
      writeThroughOwner: () => Promise.resolve(ownerResult),
      countWaiting: () => ({ waiting: 0, source: 'owner' }),
      checkAdmission: () => admissionRefusal,
    },
  );
  async function submit(): Promise<ports.CallerAnswer | undefined> {
    let answer: ports.CallerAnswer | undefined;
    void handleRequest({
      method: 'POST',
      host: 'h',
      path: '/q/0123456789abcdef',
      body: new Uint8Array(),
      deadlineMs: 3_000,
    }).then((result) => {
      answer = result;
    });
    await fakes.advance(context.fakeTimers, 100);
    return answer;
  }
  return { context, submit };
}

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
