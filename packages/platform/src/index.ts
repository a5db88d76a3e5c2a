/** Clients for the platform: log, VM list, workers and backend servers. */
export {};
