/** Rate limit of log lines, with a reserve for rare events. */
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import * as core from '@flamingoward/core';
import * as vitest from 'vitest';
import * as lines from '../src/lines.js';
import * as loggers from '../src/logger.js';

vitest.describe('line writer', () => {
  vitest.it(
    'writes a rare event after a burst of frequent ones has reached the rate limit (guards against a change of a shard owner that is missing from the log)',
    () => {
      const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'lines-'));
      const file = path.join(folder, 'log');
      const descriptor = fs.openSync(file, 'w');
      const timers = core.createVirtualTimers(0);
      const writer = lines.createLineWriter(descriptor, timers);
      for (let index = 0; index < 5_000; index += 1)
        writer.write('event=task.start', 'task.start');
      writer.write('event=run.removed', 'run.removed');
      writer.write('event=run.ended-elsewhere', 'run.ended-elsewhere');
      writer.write('event=owner.ready', 'owner.ready');
      writer.write('event=task.owed', 'task.owed');
      writer.write('event=job.missing', 'job.missing');
      writer.flush();
      fs.closeSync(descriptor);
      const text = fs.readFileSync(file, 'utf8');
      fs.rmSync(folder, { recursive: true });
      vitest.expect(text).toContain('event=owner.ready');
      vitest.expect(text).not.toContain('event=run.removed');
      vitest.expect(text).toContain('event=run.ended-elsewhere');
      vitest.expect(text).toContain('event=task.owed');
      vitest.expect(text).toContain('event=job.missing');
      vitest.expect(text).toContain('event=log.dropped');
      vitest.expect(writer.getDroppedLines()).toBeGreaterThan(3_000);
    },
  );

  vitest.it(
    'refuses lines over the rate limit before they are formatted (guards against processor time for lines that nobody reads)',
    () => {
      const timers = core.createVirtualTimers(0);
      const writer = lines.createLineWriter(1, timers);
      let formatted = 0;
      const logger = loggers.createLogger({
        level: 'info',
        timers,
        process: 'node',
        secrets: [],
        acceptLine: writer.accept,
        writeLine: (_, event) => {
          formatted += 1;
          writer.write('', event);
        },
      });
      for (let index = 0; index < 5_000; index += 1)
        logger.write('info', 'task.start', {});
      vitest.expect(formatted + writer.getDroppedLines()).toBe(5_000);
      vitest.expect(formatted).toBeLessThan(2_000);
    },
  );
});
