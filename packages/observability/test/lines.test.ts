/** Bounded log lines. */
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import * as core from '@flamingoward/core';
import * as vitest from 'vitest';
import * as lines from '../src/lines.js';

vitest.describe('a writer of lines', () => {
  vitest.it(
    'keeps room for rare events beside a flood of frequent ones (guards against a change of the owner that the log does not show)',
    () => {
      const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'lines-'));
      const file = path.join(folder, 'log');
      const descriptor = fs.openSync(file, 'w');
      const timers = core.createVirtualTimers(0);
      const writer = lines.createLineWriter(descriptor, timers);
      for (let index = 0; index < 5_000; index += 1)
        writer.write('event=task.start', 'task.start');
      writer.write('event=owner.ready', 'owner.ready');
      writer.flush();
      fs.closeSync(descriptor);
      const text = fs.readFileSync(file, 'utf8');
      fs.rmSync(folder, { recursive: true });
      vitest.expect(text).toContain('event=owner.ready');
      vitest.expect(text).toContain('event=log.dropped');
      vitest.expect(writer.readDropped()).toBeGreaterThan(3_000);
    },
  );
});
