/** Order in which nodes claim after the owner. */
import * as vitest from 'vitest';
import * as successors from '../src/successors.js';

vitest.describe('successors', () => {
  vitest.it(
    'begin with the most recently restarted node (guards against a change of the owner with most stops of a rolling restart)',
    () => {
      vitest
        .expect(
          successors.rankSuccessors([
            { instance: 'old', cores: 1, sameRegion: true, firstSeenMs: 100 },
            { instance: 'older', cores: 1, sameRegion: true, firstSeenMs: 0 },
            {
              instance: 'restarted',
              cores: 1,
              sameRegion: true,
              firstSeenMs: 9_000,
            },
            {
              instance: 'far',
              cores: 1,
              sameRegion: false,
              firstSeenMs: 12_000,
            },
          ]),
        )
        .toEqual(['restarted', 'old', 'older', 'far']);
    },
  );

  vitest.it('keep their order when no node was restarted', () => {
    vitest
      .expect(
        successors.rankSuccessors([
          { instance: 'a', cores: 1, sameRegion: true, firstSeenMs: 40 },
          { instance: 'b', cores: 1, sameRegion: true, firstSeenMs: 700 },
        ]),
      )
      .toEqual(['a', 'b']);
  });

  vitest.it(
    'end with VMs of too little capacity (guards against an owner that is overloaded)',
    () => {
      vitest
        .expect(
          successors.rankSuccessors([
            {
              instance: 'small',
              cores: 0.3,
              sameRegion: true,
              firstSeenMs: 9_000,
            },
            { instance: 'far', cores: 1.3, sameRegion: false, firstSeenMs: 0 },
            { instance: 'near', cores: 1.3, sameRegion: true, firstSeenMs: 0 },
          ]),
        )
        .toEqual(['near', 'far', 'small']);
      vitest.expect(successors.computeLowCapacityDelay(0.3)).toBeGreaterThan(0);
      vitest.expect(successors.computeLowCapacityDelay(0.675)).toBe(0);
    },
  );

  vitest.it(
    'are the same number for any number of nodes (guards against heartbeats that grow with the square of the nodes)',
    () => {
      const rank = (nodes: number) =>
        successors.rankSuccessors(
          Array.from({ length: nodes }, (_, index) => ({
            instance: `node-${index}`,
            cores: 1,
            sameRegion: true,
            firstSeenMs: 0,
          })),
        );
      vitest.expect(rank(97)).toEqual(rank(1_000).slice(0, 97));
      vitest.expect(rank(1_000)).toHaveLength(rank(97).length);
    },
  );
});
