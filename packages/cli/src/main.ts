#!/usr/bin/env node
/** The command for operators. */
import * as clipanion from 'clipanion';
import * as cli from './cli.js';

// A reader such as head may close the pipe before everything is written.
process.stdout.on('error', (error: NodeJS.ErrnoException) => {
  if (error.code !== 'EPIPE') throw error;
  process.exit();
});

process.exitCode = await cli.runCommand(
  process.argv.slice(2),
  clipanion.Cli.defaultContext,
);
