/** Settings of a node: validated as a whole, with all faults reported. */
import * as vitest from 'vitest';
import * as settings from '../src/settings.js';

const complete = `
[process]
name = node-1
region = r
availability_zone = z

[listen]
callers = 10.0.0.1:80
readiness = 10.0.0.1:81
links = 10.0.0.1:82
metrics = 10.0.0.1:83

[log_store]
address = 10.0.0.9:84

[advice]
address =

[terms]
lease_ms = 6000
stop_s = 6
`;

vitest.describe('settings of a node', () => {
  vitest.it(
    'default to one whole core when the machine keys are absent',
    () => {
      vitest
        .expect(settings.parseNodeSettings(complete, 'file'))
        .toMatchObject({
          settings: { name: 'node-1', cores: 1, stopMs: 6_000 },
        });
    },
  );

  vitest.it.each(['10.0.0.9:99999', '1.2.3.4.5:84', 'a b:84', ':84'])(
    'refuse an address that no connection can be opened to, %j (guards against a node that starts and reaches nothing)',
    (address) => {
      const text = complete.replace('10.0.0.9:84', address);
      vitest.expect(settings.parseNodeSettings(text, 'file')).toEqual({
        faults: ['file: [log_store] address: expected HOST:PORT'],
      });
    },
  );

  vitest.it(
    'multiply the share of a core by its speed to get the capacity',
    () => {
      const text = `${complete}\n[machine]\ncore_share = 0.675\ncore_speed = 2\n`;
      vitest
        .expect(settings.parseNodeSettings(text, 'file'))
        .toMatchObject({ settings: { cores: 1.35 } });
    },
  );

  vitest.it(
    'limit appends to a default size when the platform names none (guards against a node that does not start there)',
    () => {
      for (const [given, maxAppendBytes] of [
        ['2097152', 2_097_152],
        ['', 1_048_576],
      ] as const) {
        const text = complete.replace(
          '[advice]',
          `max_append_bytes = ${given}\n[advice]`,
        );
        vitest
          .expect(settings.parseNodeSettings(text, 'file'))
          .toMatchObject({ settings: { maxAppendBytes } });
      }
    },
  );

  vitest.it(
    'take the longest stop of a run, which has a default (guards against TWICE: runs that count as over before their stop has ended)',
    () => {
      for (const [line, runStopMs] of [
        ['run_stop_ms = 200', 200],
        ['run_stop_ms =', 1_000],
        ['', 1_000],
      ] as const)
        vitest
          .expect(settings.parseNodeSettings(`${complete}${line}\n`, 'file'))
          .toMatchObject({ settings: { runStopMs } });
    },
  );

  vitest.it(
    'bound the time for which known keys are accepted only if they name all that it follows from (guards against a node without the values that refuses keys or does not start)',
    () => {
      const bounds = 'config_ms = 4000\nmax_skew_ms = 8000\nrevoke_ms = 5000\n';
      for (const [lines, keyBoundMs] of [
        ['', undefined],
        ['config_ms =\nmax_skew_ms =\nrevoke_ms =\nstrict_revoke =', undefined],
        ['config_ms = 4000', undefined],
        [bounds, 12_000],
        [`${bounds}strict_revoke = false`, 12_000],
        [`${bounds}strict_revoke = true`, 5_000],
        [`${bounds}strict_revoke = True`, 5_000],
        ['config_ms = 4000\nmax_skew_ms = 0\nstrict_revoke = true', 4_000],
      ] as const) {
        const result = settings.parseNodeSettings(
          `${complete}${lines}`,
          'file',
        );
        vitest
          .expect('settings' in result && result.settings.keyBoundMs)
          .toBe(keyBoundMs);
      }
    },
  );

  vitest.it(
    'take the memory and the descriptors of the machine, which have defaults (guards against a node that does not start without them)',
    () => {
      for (const [lines, expected] of [
        [
          'memory_mb = 602\nmax_descriptors = 8192',
          { memoryMb: 602, maxDescriptors: 8_192 },
        ],
        [
          'memory_mb =\nmax_descriptors =',
          { memoryMb: 250, maxDescriptors: 4_096 },
        ],
        ['', { memoryMb: 250, maxDescriptors: 4_096 }],
      ] as const)
        vitest
          .expect(
            settings.parseNodeSettings(
              `${complete}\n[machine]\n${lines}\n`,
              'file',
            ),
          )
          .toMatchObject({ settings: expected });
    },
  );

  vitest.it(
    'report all faults at once, each with its file, section, key and expected value (guards against a start that fails on one fault at a time)',
    () => {
      const text = complete
        .replace('lease_ms = 6000', 'lease_ms = soon')
        .replace('links = 10.0.0.1:82', 'links = here');
      const result = settings.parseNodeSettings(
        `${text}\n[machine]\ncore_share = none\n`,
        'node.ini',
      );
      vitest.expect(result).toEqual({
        faults: [
          'node.ini: [listen] links: expected HOST:PORT',
          'node.ini: [machine] core_share: expected a number of cores',
          'node.ini: [terms] lease_ms: expected a number of milliseconds',
        ],
      });
    },
  );
});
