#!/usr/bin/env -S node --max-semi-space-size=4
/**
 * `flamingowardd`: reads the settings file, runs one process, stops it on SIGTERM.
 * A file with a section `log_store` is one of a node of a cluster, any other of a
 * process of a cell; only the parts that run are loaded.
 * Node's default for the space of new objects lets it grow to 48 MB; 4 MB keeps the
 * process about 25 MB smaller at the same processor time.
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

function loadText(file: string): string | undefined {
  try {
    return fs.readFileSync(file, 'utf8');
  } catch (cause) {
    process.stderr.write(`${file}: ${core.describeError(cause)}\n`);
    return undefined;
  }
}

async function startProcess(given: Arguments, text: string): Promise<void> {
  const result = core.parseSettings(text, given.file);
  if (!('settings' in result)) {
    for (const fault of result.faults)
      process.stderr.write(`${core.describeFault(fault)}\n`);
    process.exitCode = EXIT_FAILED;
    return;
  }
  switch (given.mode) {
    case 'check':
      process.stdout.write(`${given.file}: the settings are correct\n`);
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

async function startNode(given: Arguments, text: string): Promise<void> {
  const runner = await import('./nodeMain.js');
  switch (given.mode) {
    case 'check':
    case 'print':
      if (!runner.checkNode(text, given.file, given.mode))
        process.exitCode = EXIT_FAILED;
      return;
    case 'run':
      if (!(await runner.runNode(text, given.file)))
        process.exitCode = EXIT_FAILED;
  }
}

async function start(): Promise<void> {
  const given = parseArguments();
  if (given === undefined) {
    process.stderr.write(`${USAGE}\n`);
    process.exitCode = EXIT_USAGE;
    return;
  }
  const text = loadText(given.file);
  if (text === undefined) {
    process.exitCode = EXIT_FAILED;
    return;
  }
  if (/^\[log_store\]/m.test(text)) await startNode(given, text);
  else await startProcess(given, text);
}

void start();
