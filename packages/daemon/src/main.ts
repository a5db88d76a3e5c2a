#!/usr/bin/env -S node --max-semi-space-size=4
/**
 * Command `flamingowardd`: reads the settings file and runs one process until SIGTERM.
 * A settings file with a section `log_store` configures a node of a cluster, any other
 * file a process of a cell. Only the modules of that mode are loaded.
 * `--max-semi-space-size=4`: by default, Node.js lets the space of new objects grow to
 * 48 MB; 4 MB keeps the process about 25 MB smaller at the same processor time.
 */
import * as fs from 'node:fs';
import * as util from 'node:util';
import * as core from '@flamingoward/core';

const SETTINGS_VARIABLE = 'FLAMINGOWARD_SETTINGS';

const USAGE = `usage: flamingowardd FILE          run with the settings in FILE
       flamingowardd --check FILE  check the settings and exit
       flamingowardd --print FILE  print the settings with defaults, keys masked
Without FILE, the variable ${SETTINGS_VARIABLE} names it.`;

const EXIT_FAILED = 1;
const EXIT_USAGE = 2;

interface Arguments {
  readonly mode: 'run' | 'check' | 'print';
  readonly file: string;
}

function parseArguments(): Arguments | undefined {
  try {
    const { values, positionals } = util.parseArgs({
      allowPositionals: true,
      options: {
        check: { type: 'boolean' },
        print: { type: 'boolean' },
        help: { type: 'boolean', short: 'h' },
      },
    });
    const file = positionals[0] ?? process.env[SETTINGS_VARIABLE];
    if (file === undefined || positionals.length > 1 || values.help === true)
      return undefined;
    const mode = values.check === true ? 'check' : 'run';
    return { mode: values.print === true ? 'print' : mode, file };
  } catch {
    return undefined;
  }
}

function readSettingsFile(file: string): string | undefined {
  try {
    return fs.readFileSync(file, 'utf8');
  } catch (cause) {
    process.stderr.write(`${file}: ${core.describeError(cause)}\n`);
    return undefined;
  }
}

async function runProcessMode(args: Arguments, text: string): Promise<void> {
  const result = core.parseSettings(text, args.file);
  if (!('settings' in result)) {
    for (const fault of result.faults)
      process.stderr.write(`${core.describeFault(fault)}\n`);
    process.exitCode = EXIT_FAILED;
    return;
  }
  switch (args.mode) {
    case 'check':
      process.stdout.write(`${args.file}: the settings are correct\n`);
      return;
    case 'print':
      process.stdout.write(core.printSettings(result.settings));
      return;
    case 'run': {
      const runner = await import('./processMain.js');
      await runner.runProcess(result.settings);
    }
  }
}

async function runNodeMode(args: Arguments, text: string): Promise<void> {
  const runner = await import('./nodeMain.js');
  switch (args.mode) {
    case 'check':
    case 'print':
      if (!runner.checkNode(text, args.file, args.mode))
        process.exitCode = EXIT_FAILED;
      return;
    case 'run':
      if (!(await runner.runNode(text, args.file)))
        process.exitCode = EXIT_FAILED;
  }
}

async function start(): Promise<void> {
  const args = parseArguments();
  if (args === undefined) {
    process.stderr.write(`${USAGE}\n`);
    process.exitCode = EXIT_USAGE;
    return;
  }
  const text = readSettingsFile(args.file);
  if (text === undefined) {
    process.exitCode = EXIT_FAILED;
    return;
  }
  if (/^\[log_store\]/m.test(text)) await runNodeMode(args, text);
  else await runProcessMode(args, text);
}

void start();
