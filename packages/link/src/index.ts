/** Framed connections between the processes of the system. */
export {};
