/** The command line for operators. */
export { runCommand } from './cli.js';
export { exitCodes } from './command.js';
