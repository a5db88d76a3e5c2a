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
            { instance: 'old', near: true, firstSeenMs: 100 },
            { instance: 'older', near: true, firstSeenMs: 0 },
            { instance: 'restarted', near: true, firstSeenMs: 9_000 },
            { instance: 'far', near: false, firstSeenMs: 12_000 },
          ]),
        )
        .toEqual(['restarted', 'old', 'older', 'far']);
    },
  );

  vitest.it('keep their order when nobody was restarted', () => {
    vitest
      .expect(
        successors.rankSuccessors([
          { instance: 'a', near: true, firstSeenMs: 40 },
          { instance: 'b', near: true, firstSeenMs: 700 },
        ]),
      )
      .toEqual(['a', 'b']);
  });
});
