/** Bodies that are collected from chunks of any size. */
import * as vitest from 'vitest';
import * as bodies from '../src/bodyBuffer.js';

vitest.describe('a body', () => {
  vitest.it(
    'of one-byte chunks takes at most twice its size, and stays valid when its buffer is used again (guards against a buffer for each chunk)',
    () => {
      const pool = bodies.createBufferPool(1_000_000);
      const body = bodies.createBodyBuffer(pool);
      const text = 'abcdefghij'.repeat(5_000);
      for (const character of text) body.add(Buffer.from(character));
      vitest.expect(body.computeBytes(0)).toBeLessThan(2 * text.length);
      const received = body.get();
      body.release();
      const next = bodies.createBodyBuffer(pool);
      next.add(Buffer.alloc(50_000));
      vitest.expect(received.toString()).toBe(text);
    },
  );

  vitest.it(
    'returns its buffers to a pool that keeps a bounded number (guards against a pool that never shrinks)',
    () => {
      const pool = bodies.createBufferPool(4_096);
      const [first, second, third] = [4_096, 2_048, 2_048].map((bytes) =>
        pool.take(bytes),
      );
      pool.release(second!);
      pool.release(third!);
      pool.release(first!);
      vitest.expect(pool.take(2_048)).toBe(third);
      vitest.expect(pool.take(4_096)).not.toBe(first);
    },
  );
});
