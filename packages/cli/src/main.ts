#!/usr/bin/env node
/** The command line for operators without the commands of the adapter. */
import * as cli from './cli.js';

await cli.runProgram();
