/** The command line for operators. */
export { runCommand, runProgram } from './cli.js';
export { BaseCommand, UsageError, exitCodes } from './command.js';
export { readText } from './files.js';
