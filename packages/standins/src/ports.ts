/**
 * Finds free ports for daemons. They lie below the system's ephemeral port range: an
 * outgoing connection with an ephemeral port could otherwise occupy a daemon's port while
 * the daemon is restarted.
 */
import * as net from 'node:net';

const FIRST_PORT = 20_000;
const LAST_PORT = 32_000;

/** Searches from a random port on, so that concurrent test runs rarely choose the same ports. */
export async function findPorts(count: number): Promise<number[]> {
  const span = LAST_PORT - FIRST_PORT;
  const first = Math.floor(Math.random() * span);
  const freePorts: number[] = [];
  for (let step = 0; step < span && freePorts.length < count; step += 1) {
    const port = FIRST_PORT + ((first + step) % span);
    if (await isFree(port)) freePorts.push(port);
  }
  if (freePorts.length < count)
    throw new Error(
      `found ${freePorts.length} of ${count} free ports from ${FIRST_PORT} to ${LAST_PORT}`,
    );
  return freePorts;
}

function isFree(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = net.createServer();
    server.once('error', () => {
      resolve(false);
    });
    server.listen(port, '127.0.0.1', () => {
      server.close(() => {
        resolve(true);
      });
    });
  });
}
