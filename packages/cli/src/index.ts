/** The command for operators. */
export {};
