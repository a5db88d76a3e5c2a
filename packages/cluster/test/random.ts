/** Seeded random numbers for walks. */

/** Creates a generator of numbers from 0 to 1 (mulberry32). */
export function createRandom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (state + 0x6d2b79f5) | 0;
    let mixed = Math.imul(state ^ (state >>> 15), 1 | state);
    mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed;
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296;
  };
}

/** Chooses one of several values. */
export function choose<Value>(
  values: readonly Value[],
  getRandom: () => number,
): Value {
  return values[Math.floor(getRandom() * values.length)]!;
}
