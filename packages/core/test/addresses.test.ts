/** Addresses: which of them a connection can be opened to. */
import * as vitest from 'vitest';
import * as core from '../src/index.js';

vitest.it.each([
  ['http://10.0.0.5:80', '10.0.0.5:80'],
  ['http://10.0.0.5:7300', '10.0.0.5:7300'],
  ['http://[::1]:80', '[::1]:80'],
])(
  'keeps the port of %s, so that a connection can be opened (guards against a log service at port 80 that is never reached)',
  (url, address) => {
    vitest.expect(core.getUrlAddress(url)).toBe(address);
    vitest.expect(core.splitAddress(address)).toBeDefined();
  },
);
