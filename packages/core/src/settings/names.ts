/** Names that operators choose in settings files and release notes. */

/** True for names that stay one word in a log line, a path and a shard name. */
export function isPlainName(text: string): boolean {
  return /^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/.test(text);
}

/** What `isPlainName` expects, for messages. */
export const plainNameText =
  'a name of at most 63 letters, digits, "-", "_" and "."';
