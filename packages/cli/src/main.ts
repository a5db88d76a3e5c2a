#!/usr/bin/env node
/** Program `flamingoward`, the command line for operators. */
import * as clipanion from 'clipanion';
import * as cli from './cli.js';

// A reader of the output, such as `head`, may close the pipe early; that isn't an error.
process.stdout.on('error', (error: NodeJS.ErrnoException) => {
  if (error.code !== 'EPIPE') throw error;
  process.exit();
});

process.exitCode = await cli.runCommand(
  process.argv.slice(2),
  clipanion.Cli.defaultContext,
);
