/** Stand-ins for the platform, and the replay of recorded traces. */
export {};
