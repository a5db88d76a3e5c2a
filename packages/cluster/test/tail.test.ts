/** A tail whose source rejects or lists no records. */
import * as vitest from 'vitest';
import type * as ports from '../src/ports.js';
import * as tails from '../src/tail.js';
import * as fakes from './fakes.js';

function createSetup() {
  const context = fakes.createFakeContext();
  const stream = fakes.createFakeStream(context.timers);
  const applied: string[] = [];
  const failures: string[] = [];
  const source: {
    -readonly [K in keyof ports.StreamSource]: ports.StreamSource[K];
  } = {
    read: (from, options) => stream.read(from, options),
    readNewest: (timeoutMs) => stream.readNewest(timeoutMs),
  };
  const tail = tails.createTail({
    source,
    apply: ({ key }) => applied.push(key),
    onFailed: (why) => failures.push(why),
  });
  return { stream, source, tail, applied, failures };
}

vitest.it(
  'reads on after a read that rejected (guards against a list of VMs that is never read again)',
  async () => {
    const { stream, source, tail, applied, failures } = createSetup();
    stream.add('a', '1');
    const { readNewest } = source;
    source.readNewest = () => Promise.reject(new URIError('malformed'));
    vitest.expect(await tail.refresh()).toBe(false);
    vitest.expect(await tail.refresh()).toBe(false);
    source.readNewest = readNewest;
    vitest.expect(await tail.refresh()).toBe(true);
    vitest.expect(applied).toEqual(['a']);
    vitest.expect(failures).toEqual(['malformed', 'malformed']);
  },
);

vitest.it(
  'asks once for records that the store says it has and does not send (guards against reads without a pause)',
  async () => {
    const { source, tail } = createSetup();
    await tail.refresh();
    let reads = 0;
    source.read = (from) => {
      reads += 1;
      return Promise.resolve({
        outcome: reads > 20 ? 'failed' : 'records',
        why: 'the test ends',
        records: [],
        next: from,
        end: from + 5,
      });
    };
    vitest.expect(await tail.refresh()).toBe(true);
    vitest.expect(reads).toBe(1);
  },
);

vitest.it(
  'reads to the end beside a read that is answered first (guards against a refresh that ends before the last record)',
  async () => {
    const { stream, source, tail, applied } = createSetup();
    await tail.refresh();
    for (const key of ['a', 'b', 'c']) stream.add(key, '1');
    const { read } = source;
    let answer = (): void => undefined;
    const answered = new Promise<void>((resolve) => (answer = resolve));
    // An answer with the first record only, as if the others didn't fit.
    const readFirst: typeof read = async (from, options) => {
      const result = await read(from, options);
      return result.outcome === 'records'
        ? { ...result, records: result.records.slice(0, 1), next: from + 1 }
        : result;
    };
    source.read = async (from, options) => {
      await answered;
      return readFirst(from, options);
    };
    const refreshed = tail.refresh();
    await new Promise((resolve) => setImmediate(resolve));
    source.read = readFirst;
    await tail.follow(0);
    source.read = read;
    answer();
    vitest.expect(await refreshed).toBe(true);
    vitest.expect(tail.getNextOffset()).toBe(3);
    vitest.expect(applied).toEqual(['a', 'a', 'b', 'c']);
  },
);
