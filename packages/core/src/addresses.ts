/** Network addresses in the form `host:port`: which of them a connection can be opened to. */
import * as net from 'node:net';
import * as errors from './errors.js';

const MAX_PORT = 65_535;
const HTTP_PORT = 80;
const ADDRESS = /^(?:\[([\dA-Fa-f:.]+)\]|([\w.-]+)):(0|[1-9]\d{0,4})$/;

/** Host, without the brackets of an IPv6 address, and port. */
export interface Endpoint {
  readonly host: string;
  readonly port: number;
}

/** Splits `host:port` or `[ip]:port`; undefined when no connection can be opened to it. */
export function splitAddress(text: string): Endpoint | undefined {
  const match = ADDRESS.exec(text);
  if (match === null) return undefined;
  const [, bracketed, plain = '', digits] = match;
  const port = Number(digits);
  // Names such as `1.2.3.4.5` match the pattern, but no URL can have them as its host.
  if (port > MAX_PORT || !URL.canParse(`http://${text}`)) return undefined;
  return { host: bracketed ?? plain, port };
}

/** Splits an address as `splitAddress` does; throws `bad-setting` when no connection can be opened to it. */
export function parseAddress(text: string, step: string): Endpoint {
  const endpoint = splitAddress(text);
  if (endpoint === undefined) throw createAddressFault(text, step);
  return endpoint;
}

/** Creates the fault of an address that no connection can be opened to. */
export function createAddressFault(address: string, step: string): Error {
  return errors.createFault(
    'bad-setting',
    { step, peer: address },
    `${address} is not HOST:PORT with a port up to ${MAX_PORT}`,
  );
}

/** Splits `ip:port`; undefined when the host is a name or the port is 0. */
export function decodeAddress(text: string): Endpoint | undefined {
  const endpoint = splitAddress(text);
  if (endpoint === undefined || endpoint.port === 0) return undefined;
  return net.isIP(endpoint.host) === 0 ? undefined : endpoint;
}

/** Returns the address of an `http://host:port` URL with its port; the host of a parsed URL lacks port 80. */
export function getUrlAddress(url: string): string {
  const { hostname, port } = new URL(url);
  return `${hostname}:${port === '' ? HTTP_PORT : port}`;
}
