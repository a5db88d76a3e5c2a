/** What a process assumes of its machine when the settings don't name it. */

/** Memory in MB; that of the smallest machine that is deployed. */
export const DEFAULT_MEMORY_MB = 250;
/** Descriptors of a process; below the smallest limit that is deployed. */
export const DEFAULT_MAX_DESCRIPTORS = 4_096;
