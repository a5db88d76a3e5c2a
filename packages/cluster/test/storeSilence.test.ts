import * as core from '@flamingoward/core';
import * as vitest from 'vitest';
import type * as ports from '../src/ports.js';
import * as storeSilence from '../src/storeSilence.js';

/** A store whose calls are answered by the test, in the order in which they were sent. */
function createManualStore() {
  const answers: ((result: ports.AppendResult) => void)[] = [];
  const newest: ((result: ports.NewestResult) => void)[] = [];
  const store: ports.LogStore = {
    append: () =>
      new Promise((resolve) => {
        answers.push(resolve);
      }),
    openStream: () => ({
      read: () => Promise.resolve({ outcome: 'trimmed' }),
      readNewest: () =>
        new Promise((resolve) => {
          newest.push(resolve);
        }),
    }),
  };
  return { store, answers, newest };
}

const appended: ports.AppendResult = { outcome: 'appended', offset: 0, end: 1 };

function setUp() {
  const timers = core.createVirtualTimers();
  const { store, answers, newest } = createManualStore();
  const wrapped = storeSilence.createSilenceTracker(timers).watchStore(store);
  const outcomes: string[] = [];
  const append = (name: string): void => {
    void wrapped.append('jobs', [], { timeoutMs: 2_600 }).then((result) => {
      outcomes.push(`${name} ${result.outcome}`);
    });
  };
  const answer = async (index: number): Promise<void> => {
    answers[index]?.(appended);
    await Promise.resolve();
    await Promise.resolve();
    await Promise.resolve();
  };
  const readNewest = (): void => {
    void wrapped
      .openStream('jobs')
      .readNewest(1_000)
      .then(({ outcome }) => {
        outcomes.push(`whole stream ${outcome}`);
      });
  };
  const finishNewest = async (): Promise<void> => {
    newest[0]?.({ outcome: 'newest', records: [], next: 0 });
    await Promise.resolve();
    await Promise.resolve();
    await Promise.resolve();
  };
  return { timers, append, answer, outcomes, readNewest, finishNewest };
}

vitest.describe('calls to a store that was silent', () => {
  vitest.it(
    'end without an answer once a later call is answered (guards against starts that wait for a long timeout after the store is back)',
    async () => {
      const { timers, append, answer, outcomes } = setUp();
      append('first');
      timers.advance(2_000);
      append('probe');
      timers.advance(10);
      await answer(1);
      vitest.expect(outcomes).toEqual(['first unknown', 'probe appended']);
    },
  );

  vitest.it(
    'keep their timeouts while a slow store answers others (guards against retries that overload it)',
    async () => {
      const { timers, append, answer, outcomes } = setUp();
      append('large');
      for (let call = 1; call <= 10; call += 1) {
        append(`small ${call}`);
        timers.advance(250);
        await answer(call);
      }
      await answer(0);
      vitest.expect(outcomes.at(-1)).toBe('large appended');
      vitest.expect(outcomes).not.toContain('large unknown');
    },
  );

  vitest.it(
    'are ended once: a late answer changes nothing (guards against one append with two outcomes)',
    async () => {
      const { timers, append, answer, outcomes } = setUp();
      append('first');
      timers.advance(2_000);
      append('probe');
      await answer(1);
      await answer(0);
      vitest.expect(outcomes).toEqual(['first unknown', 'probe appended']);
    },
  );

  vitest.it(
    'are ended once only if the store is slow with appends but not with probes (guards against appends that are never confirmed)',
    async () => {
      const { timers, append, answer, outcomes } = setUp();
      timers.advance(10_000);
      // A probe is sent after 350 ms and takes the 60 ms between two regions; each append takes 500 ms.
      append('first');
      timers.advance(350);
      append('probe 1');
      timers.advance(60);
      await answer(1);
      append('second');
      timers.advance(90);
      await answer(0);
      timers.advance(260);
      append('probe 2');
      timers.advance(160);
      await answer(3);
      await answer(2);
      vitest
        .expect(outcomes)
        .toEqual([
          'first unknown',
          'probe 1 appended',
          'probe 2 appended',
          'second appended',
        ]);
    },
  );

  vitest.it(
    'are ended again a minute after a late answer (guards against a tracker that one slow call switches off)',
    async () => {
      const { timers, append, answer, outcomes } = setUp();
      append('first');
      timers.advance(2_000);
      append('probe 1');
      await answer(1);
      timers.advance(2_000);
      await answer(0);
      timers.advance(60_000);
      append('second');
      timers.advance(2_000);
      append('probe 2');
      await answer(3);
      vitest.expect(outcomes).toContain('second unknown');
    },
  );

  vitest.it(
    'aren’t those that read a whole stream in pages (guards against a new owner that never finishes restoring its jobs)',
    async () => {
      const { timers, append, answer, outcomes, readNewest, finishNewest } =
        setUp();
      readNewest();
      // Renewals of the claim are the only other calls meanwhile.
      for (let renewal = 0; renewal < 5; renewal += 1) {
        timers.advance(500);
        append(`renewal ${renewal}`);
        timers.advance(4);
        await answer(renewal);
      }
      await finishNewest();
      vitest.expect(outcomes.at(-1)).toBe('whole stream newest');
      vitest.expect(outcomes).not.toContain('whole stream failed');
    },
  );
});
