/** The package has no exports; main.ts is its entry point. */
export {};
