/**
 * Free ports for daemons that are started again: below the range from which the
 * system takes ports for outgoing connections, which could take the port of a
 * daemon while it is down.
 */
import * as net from 'node:net';

const FIRST_PORT = 20_000;
const LAST_PORT = 32_000;

/** Finds free ports, from a random one on, so that two runs at a time rarely meet. */
export async function findPorts(count: number): Promise<number[]> {
  const span = LAST_PORT - FIRST_PORT;
  const first = Math.floor(Math.random() * span);
  const found: number[] = [];
  for (let step = 0; step < span && found.length < count; step += 1) {
    const port = FIRST_PORT + ((first + step) % span);
    if (await isFree(port)) found.push(port);
  }
  if (found.length < count) throw new Error('too few free ports');
  return found;
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
