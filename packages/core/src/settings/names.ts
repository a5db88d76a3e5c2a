/** The form of names in settings files and release notes. */

/** Returns whether a name can stand unquoted, as one word, in log lines, URL paths and shard names. */
export function isPlainName(text: string): boolean {
  return /^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/.test(text);
}

/** Description of the names that `isPlainName` accepts, for messages. */
export const plainNameText =
  'a name of at most 63 letters, digits, "-", "_" and "."';
