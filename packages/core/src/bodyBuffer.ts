/**
 * Collects bodies whose chunks may be as small as one byte. A buffer for each chunk takes
 * some hundred bytes for one byte of content, and a slice of a read keeps the whole read.
 * Buffers are used again, since the memory of one that is dropped is freed only by a later
 * garbage collection.
 */

/** Size of the smallest buffer, in bytes; each larger one has twice the size. */
const MIN_CAPACITY_BYTES = 1_024;

/** Buffers that aren't in use. */
export interface BufferPool {
  take(capacity: number): Buffer;
  release(buffer: Buffer): void;
}

/** Creates a pool that keeps at most `maxBytes`. */
export function createBufferPool(maxBytes: number): BufferPool {
  const freeBuffers = new Map<number, Buffer[]>();
  let freeBytes = 0;
  return {
    take(capacity) {
      const free = freeBuffers.get(capacity)?.pop();
      if (free === undefined) return Buffer.allocUnsafeSlow(capacity);
      freeBytes -= capacity;
      return free;
    },
    release(buffer) {
      if (buffer.length === 0 || freeBytes + buffer.length > maxBytes) return;
      const sameSize = freeBuffers.get(buffer.length) ?? [];
      freeBuffers.set(buffer.length, sameSize);
      sameSize.push(buffer);
      freeBytes += buffer.length;
    },
  };
}

/** A body that is being received. */
export interface BodyBuffer {
  /** Returns the memory that the body takes once `chunkBytes` more bytes are added. */
  computeBytes(chunkBytes: number): number;
  add(chunk: Buffer): void;
  /** Returns a copy of the body, which stays valid after the release. */
  get(): Buffer;
  release(): void;
}

/** Returns the size of the buffer that holds a body. */
export function computeBodyCapacity(
  bodyBytes: number,
  minBytes = MIN_CAPACITY_BYTES,
): number {
  let capacity = minBytes;
  while (capacity < bodyBytes) capacity *= 2;
  return capacity;
}

/** Creates an empty body; without a pool, its buffers are used once. */
export function createBodyBuffer(
  pool: BufferPool = createBufferPool(0),
): BodyBuffer {
  let buffer: Buffer = Buffer.alloc(0);
  let bytes = 0;

  function computeBytes(chunkBytes: number): number {
    return computeBodyCapacity(
      bytes + chunkBytes,
      Math.max(buffer.length, MIN_CAPACITY_BYTES),
    );
  }

  return {
    computeBytes,
    add(chunk) {
      const capacity = computeBytes(chunk.length);
      if (capacity > buffer.length) {
        const grown = pool.take(capacity);
        buffer.copy(grown, 0, 0, bytes);
        pool.release(buffer);
        buffer = grown;
      }
      chunk.copy(buffer, bytes);
      bytes += chunk.length;
    },
    get: () => Buffer.from(buffer.subarray(0, bytes)),
    release() {
      pool.release(buffer);
      buffer = Buffer.alloc(0);
      bytes = 0;
    },
  };
}
