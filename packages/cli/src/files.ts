/** Reads the files that are named on the command line. */
import * as fs from 'node:fs/promises';
import * as command from './command.js';

/** Reads a text file; throws a `UsageError` when it can't be read. */
export async function readText(file: string): Promise<string> {
  try {
    return await fs.readFile(file, 'utf8');
  } catch (error) {
    const { code = 'error' } = error as NodeJS.ErrnoException;
    throw new command.UsageError(`can't read ${file}: ${code}`);
  }
}
