/** The pages of the documentation list every setting, release note key, command and verb of the code. */
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

/** Returns the first ini block of the page that begins with the section, or an empty string. */
function findExample(page: string, section: string): string {
  const blocks = [...page.matchAll(/```ini\n(.*?)```/gs)].map(
    (match) => match[1] ?? '',
  );
  return blocks.find((block) => block.startsWith(section)) ?? '';
}

vitest.test(
  'operators.md has a valid example of settings, and lists each key and the default of each limit',
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
  'operators.md has a valid example of a release note, and lists each key',
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
  'operators.md lists every command, and verbs.md explains every verb of the linter',
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
    const verbsPage = readPage('verbs.md');
    for (const verb of verbs.verbs)
      vitest
        .expect(verbsPage)
        .toMatch(new RegExp(`^\\| \`${verb}\` +\\| \\w`, 'm'));
  },
);
