/** Order in which nodes claim after the owner. */
import * as vitest from 'vitest';
import * as successors from '../src/successors.js';

vitest.describe('successors', () => {
  vitest.it(
    'begin with the node that was restarted last (guards against a change of the owner at most stops of a rolling restart)',
    () => {
      vitest
        .expect(
          successors.rankSuccessors([
            { instance: 'old', cores: 1, near: true, firstSeenMs: 100 },
            { instance: 'older', cores: 1, near: true, firstSeenMs: 0 },
            { instance: 'restarted', cores: 1, near: true, firstSeenMs: 9_000 },
            { instance: 'far', cores: 1, near: false, firstSeenMs: 12_000 },
          ]),
        )
        .toEqual(['restarted', 'old', 'older', 'far']);
    },
  );

  vitest.it('keep their order when nobody was restarted', () => {
    vitest
      .expect(
        successors.rankSuccessors([
          { instance: 'a', cores: 1, near: true, firstSeenMs: 40 },
          { instance: 'b', cores: 1, near: true, firstSeenMs: 700 },
        ]),
      )
      .toEqual(['a', 'b']);
  });

  vitest.it(
    'end with VMs that are too weak (guards against an owner that is busy all the time)',
    () => {
      vitest
        .expect(
          successors.rankSuccessors([
            { instance: 'weak', cores: 0.3, near: true, firstSeenMs: 9_000 },
            { instance: 'far', cores: 1.3, near: false, firstSeenMs: 0 },
            { instance: 'near', cores: 1.3, near: true, firstSeenMs: 0 },
          ]),
        )
        .toEqual(['near', 'far', 'weak']);
      vitest.expect(successors.computeWeakWait(0.3)).toBeGreaterThan(0);
      vitest.expect(successors.computeWeakWait(0.675)).toBe(0);
    },
  );
});
