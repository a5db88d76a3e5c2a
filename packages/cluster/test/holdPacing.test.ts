/** The pace of holds: when the next one follows at once, and when it waits. */
import * as vitest from 'vitest';
import * as holdPacings from '../src/holdPacing.js';

const early = { askedMs: 1_000, answeredMs: 1_001, waitMs: 1_500 };

vitest.it(
  'is not slowed by new ends and by answers after the wait (guards against ends that are learned late)',
  () => {
    const pacing = holdPacings.createHoldPacing();
    for (let count = 0; count < 40; count += 1) {
      vitest.expect(pacing.recordAnswer({ ...early, hasNewEnd: true })).toBe(0);
      vitest
        .expect(
          pacing.recordAnswer({
            ...early,
            answeredMs: 2_450,
            hasNewEnd: false,
          }),
        )
        .toBe(0);
    }
  },
);

vitest.it(
  'is not slowed by ends that are repeated while they become durable (guards against ends that are learned late)',
  () => {
    const pacing = holdPacings.createHoldPacing();
    for (let atMs = 0; atMs < 10_000; atMs += 100)
      for (const hasNewEnd of [true, false, false])
        vitest
          .expect(
            pacing.recordAnswer({
              askedMs: atMs,
              answeredMs: atMs + 1,
              waitMs: 1_500,
              hasNewEnd,
            }),
          )
          .toBe(0);
  },
);

vitest.it(
  'waits longer after each early answer beyond 20 without a new end in a row, and not after the next sound one',
  () => {
    const pacing = holdPacings.createHoldPacing();
    const delays = Array.from({ length: 26 }, () =>
      pacing.recordAnswer({ ...early, hasNewEnd: false }),
    );
    vitest.expect(delays.slice(0, 20)).toEqual(Array(20).fill(0));
    vitest.expect(delays.slice(20)).toEqual([100, 200, 400, 800, 1_000, 1_000]);
    vitest.expect(pacing.recordAnswer({ ...early, hasNewEnd: true })).toBe(0);
  },
);
