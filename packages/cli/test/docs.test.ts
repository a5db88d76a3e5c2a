/** The pages for operators name everything that the code accepts. */
import * as fs from 'node:fs';
import * as path from 'node:path';
import * as stream from 'node:stream';
import * as vitest from 'vitest';
import * as core from '@flamingoward/core';
import * as verbs from '../../../eslint.verbs.js';
import * as cli from '../src/index.js';

function readPage(name: string): string {
  const root = path.join(import.meta.dirname, '../../..');
  return fs.readFileSync(path.join(root, 'docs', name), 'utf8');
}

/** The first block of the page that begins with a section. */
function findExample(page: string, section: string): string {
  const blocks = [...page.matchAll(/```ini\n(.*?)```/gs)].map(
    (match) => match[1] ?? '',
  );
  return blocks.find((block) => block.startsWith(section)) ?? '';
}

vitest.test(
  'the example of settings is in order, and each key is in the table',
  () => {
    const page = readPage('operators.md');
    const result = core.parseSettings(findExample(page, '[process]'), 'page');
    if ('faults' in result) throw new Error(JSON.stringify(result.faults));
    const keys = core
      .printSettings({ ...result.settings, peers: [] })
      .matchAll(/^(\w+) = (.*)$/gm);
    for (const [, key = '', value = ''] of keys) {
      vitest.expect(page).toContain(`\`${key}\``);
      if (/_(ms|bytes|records|processes)$/.test(key))
        vitest
          .expect(page)
          .toMatch(new RegExp(`\`${key}\`.*\\| ${value} +\\|`));
    }
  },
);

vitest.test(
  'the example of a note is in order, and each key and default is in the table',
  () => {
    const page = readPage('operators.md');
    const parsed = core.parseReleaseNote(
      findExample(page, '[release]'),
      'page',
    );
    if ('faults' in parsed) throw new Error(JSON.stringify(parsed.faults));
    vitest
      .expect(core.checkRelease(core.emptyReleaseLog.state, parsed.note))
      .toEqual([]);
    const diff = core.describeDiff(core.emptyReleaseLog.state, parsed.note);
    const keys = diff.flatMap((line) => /^ {4}(\w+) = /.exec(line)?.[1] ?? []);
    vitest.expect(keys.length).toBeGreaterThan(15);
    for (const key of keys) vitest.expect(page).toContain(`\`${key}\``);
  },
);

vitest.test(
  'every command is in the table, and every verb has a meaning',
  async () => {
    const stdout = new stream.PassThrough();
    const context = {
      env: {},
      stdin: stdout,
      stdout,
      stderr: stdout,
      colorDepth: 1,
    };
    await cli.runCommand(['--help'], context);
    const help = String(stdout.read());
    const commands = [...help.matchAll(/^ {2}flamingoward ((?:[a-z]+ ?)+)/gm)];
    vitest.expect(commands.length).toBe(18);
    const page = readPage('operators.md');
    for (const [, command = ''] of commands)
      vitest.expect(page).toContain(`\`${command.trim()}`);
    const meanings = readPage('verbs.md');
    for (const verb of verbs.verbs)
      vitest
        .expect(meanings)
        .toMatch(new RegExp(`^\\| \`${verb}\` +\\| \\w`, 'm'));
  },
);
