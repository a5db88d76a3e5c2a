/** Seeded pseudo-random numbers, so that a trace is the same in each run. */
import * as uniformFloat from 'pure-rand/distribution/uniformFloat64';
import * as uniformInt from 'pure-rand/distribution/uniformInt';
import * as generator from 'pure-rand/generator/xoroshiro128plus';

/** A pseudo-random number generator. */
export interface Random {
  /** A number from 0 (inclusive) to 1 (exclusive). */
  generateFraction(): number;
  /** An integer from `min` to `max`, both inclusive. */
  generateInteger(min: number, max: number): number;
  /** Time in ms to the next event of a Poisson process with the given mean rate. */
  generateGapMs(perSecond: number): number;
  /** An element of the list, each with the same probability. */
  choose<T>(list: readonly [T, ...T[]]): T;
}

/** Creates a generator; the same seed gives the same sequence. */
export function createRandom(seed: number): Random {
  const state = generator.xoroshiro128plus(seed);
  const generateFraction = () => uniformFloat.uniformFloat64(state);
  const generateInteger = (min: number, max: number) =>
    uniformInt.uniformInt(state, min, max);
  return {
    generateFraction,
    generateInteger,
    generateGapMs: (perSecond) =>
      (-Math.log(1 - generateFraction()) / perSecond) * 1000,
    choose: (list) => list[generateInteger(0, list.length - 1)] ?? list[0],
  };
}
