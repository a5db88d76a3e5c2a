#!/usr/bin/env node
/** The command for operators. */
import * as clipanion from 'clipanion';
import * as cli from './cli.js';

process.exitCode = await cli.runCommand(
  process.argv.slice(2),
  clipanion.Cli.defaultContext,
);
