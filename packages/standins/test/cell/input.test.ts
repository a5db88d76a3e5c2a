/**
 * Malformed, oversized and unauthorised input, forged internal headers, and a listen port
 * that is in use: none may affect other callers or reach a backend server.
 */
import * as fs from 'node:fs';
import * as http from 'node:http';
import * as net from 'node:net';
import * as standins from '@flamingoward/standins';
import * as undici from 'undici';
import * as vitest from 'vitest';
import * as cells from './cell.js';
import * as checks from './check.js';
import * as loads from './load.js';

/** Sends raw bytes and returns all bytes received until the connection closes. */
function sendBytes(address: string, bytes: string): Promise<string> {
  const [host = '', port = ''] = address.split(':');
  return new Promise((resolve) => {
    const socket = net.connect({ host, port: Number(port) });
    let text = '';
    socket.on('data', (chunk) => (text += chunk.toString('latin1')));
    socket.on('error', () => undefined);
    socket.on('close', () => {
      resolve(text);
    });
    socket.end(bytes, 'latin1');
  });
}

vitest.test(
  'refuses malformed, oversized and unauthorised input without affecting other callers (guards P3, P4)',
  async () => {
    await cells.runCell({}, async (cell) => {
      const load = new loads.Load(cell, { seed: 901 });
      load.start();
      const { callers, operators, links } = cell.getDaemon('p1');
      const malformed = [
        'GET\r\n\r\n',
        '\0\x01\x02\xff\xfe',
        'POST /services/order/run HTTP/1.1\r\nHost: a\r\nContent-Length: x\r\n\r\n',
        'POST /services/quote/run HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n',
        'POST /services/quote/run HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nnot-hex\r\n',
      ];
      for (const bytes of malformed) {
        vitest.expect(await sendBytes(callers, bytes)).toMatch(/^HTTP\/1.1 4/);
        await sendBytes(operators, bytes);
        await sendBytes(links, bytes);
      }
      const oversized = await cell.requestCallersApi(
        'p1',
        'POST',
        '/services/quote/run',
        { 'x-standin-token': 'large' },
        'x'.repeat(70_000),
      );
      vitest.expect(oversized?.status).toBe(413);
      vitest.expect(oversized?.answer).toBe('not-run');
      const unknownService = await cell.requestCallersApi(
        'p2',
        'GET',
        '/services/nobody/x',
      );
      vitest.expect(unknownService?.answer).toBe('not-run');
      const withoutKey = await cell.requestCallersApi(
        'p2',
        'POST',
        '/services/order/run',
        {
          'x-standin-token': 'keyless',
        },
      );
      vitest.expect(withoutKey?.answer).toBe('not-run');
      const malformedJob = await cell.requestCallersApi(
        'p3',
        'POST',
        '/jobs',
        {},
        '{"kind":1}',
      );
      vitest.expect(malformedJob?.status).toBe(400);
      for (const authorization of ['', 'Bearer wrong', 'Bearer '])
        for (const target of ['/processes', '/drain', '/releases']) {
          const answer = await undici.request(`http://${operators}${target}`, {
            method: target === '/processes' ? 'GET' : 'POST',
            headers: authorization === '' ? {} : { authorization },
          });
          vitest.expect(answer.statusCode).toBe(401);
          await answer.body.dump();
        }
      await load.waitFor('order', 'done', 20);
      await load.stop();
      const { backends } = cell.platform.getAudit();
      for (const token of ['large', 'keyless', 'none'])
        vitest
          .expect(backends.some((each) => token in each.executions))
          .toBe(false);
      vitest.expect(cell.running).toEqual(cell.names);
      vitest.expect(await checks.listViolations(cell, load)).toEqual([]);
    });
  },
);

vitest.test(
  'removes request headers that begin with x-flamingoward- before a request reaches a backend server',
  async () => {
    await cells.runCell({}, async (cell) => {
      const receivedHeaders: http.IncomingHttpHeaders[] = [];
      const server = http.createServer((request, response) => {
        if (request.url === '/-/status') {
          response.end('{"slots":1,"busy":0,"connections":1}');
          return;
        }
        receivedHeaders.push(request.headers);
        response.end('{}');
      });
      await new Promise<void>((resolve) => {
        server.listen(0, '127.0.0.1', resolve);
      });
      const { port } = server.address() as net.AddressInfo;
      const { vms } = cell.platform.vmList!.getList();
      cell.platform.vmList!.update([
        ...vms,
        {
          id: 'echo-1',
          role: 'backend',
          backend: 'echo',
          address: `127.0.0.1:${port}`,
          availabilityZone: 'muscat-a',
          region: 'muscat',
          rack: 'r',
          state: 'live',
        },
      ]);
      const release =
        '[release]\nid = r2\nbase = r1\ntitle = Echo\n[added backend echo]\nslots = 1\nconnections = 8\n[added service echo]\nidempotent = yes\nurgency = urgent\ntimeout_ms = 1000\nmax_wait_ms = 1000\n';
      vitest
        .expect(await cell.publish('p1', release))
        .toMatchObject({ status: 200 });
      await cell.waitFor('a done answer of service echo', async () => {
        const reply = await cell.requestCallersApi(
          'p2',
          'GET',
          '/services/echo/x',
          {
            'x-flamingoward-instance': 'forged',
            'X-Flamingoward-Answer': 'done',
            'x-own': 'kept',
          },
        );
        return reply?.answer === 'done';
      });
      server.close();
      server.closeAllConnections();
      const names = receivedHeaders.flatMap((headers) => Object.keys(headers));
      vitest.expect(names).toContain('x-own');
      vitest
        .expect(names.filter((name) => name.startsWith('x-flamingoward')))
        .toEqual([]);
    });
  },
);

vitest.test(
  'a process exits with an error that names the address when one of its listen ports is in use',
  async () => {
    await cells.runCell({}, async (cell) => {
      for (const section of ['callers', 'operators', 'links'] as const) {
        const occupied = cell.getDaemon('p1')[section];
        const daemon = cell.getDaemon('p2');
        const logFile = `${daemon.logFile}.${section}`;
        const settingsFile = `${daemon.settingsFile}.${section}`;
        const text = fs.readFileSync(daemon.settingsFile, 'utf8');
        let port = 7_200;
        let settings = text;
        for (const other of ['callers', 'operators', 'links'] as const)
          settings = settings.replace(
            `[${other}]\nlisten = ${daemon[other]}`,
            `[${other}]\nlisten = ${other === section ? occupied : `${cell.host}:${(port += 1)}`}`,
          );
        // A peer's address must not equal one of the process's own, so p1 gets another one.
        settings = settings.replace(/^p1 = .*$/m, 'p1 = 127.0.0.1:9');
        fs.writeFileSync(settingsFile, settings);
        const child = standins.startDaemon({
          ...daemon,
          settingsFile,
          logFile,
        });
        await cell.waitFor(`the exit with the ${section} port in use`, () =>
          Promise.resolve(child.exitCode !== null),
        );
        vitest.expect(child.exitCode).toBe(1);
        vitest.expect(fs.readFileSync(logFile, 'utf8')).toContain(occupied);
      }
      vitest.expect(cell.running).toEqual(cell.names);
    });
  },
);
