/** Seeded random numbers for traces. */
import * as uniformFloat from 'pure-rand/distribution/uniformFloat64';
import * as uniformInt from 'pure-rand/distribution/uniformInt';
import * as generator from 'pure-rand/generator/xoroshiro128plus';

/** A source of random numbers. */
export interface Random {
  /** A number from 0 to below 1. */
  readShare(): number;
  /** A whole number from `least` to `most`. */
  readWhole(least: number, most: number): number;
  /** Time to the next event of a Poisson process, in ms. */
  readGapMs(perSecond: number): number;
  choose<T>(list: readonly [T, ...T[]]): T;
}

/** Creates a source that gives the same numbers for the same seed. */
export function createRandom(seed: number): Random {
  const state = generator.xoroshiro128plus(seed);
  const readShare = () => uniformFloat.uniformFloat64(state);
  const readWhole = (least: number, most: number) =>
    uniformInt.uniformInt(state, least, most);
  return {
    readShare,
    readWhole,
    readGapMs: (perSecond) => (-Math.log(1 - readShare()) / perSecond) * 1000,
    choose: (list) => list[readWhole(0, list.length - 1)] ?? list[0],
  };
}
