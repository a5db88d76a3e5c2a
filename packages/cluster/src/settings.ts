/** Settings of a node: an INI file, validated as a whole so that all faults are reported at once. */
import * as core from '@flamingoward/core';
import * as ini from 'ini';
import * as zod from 'zod';

const address = zod
  .string()
  .refine(
    (text) => core.splitAddress(text) !== undefined,
    'expected HOST:PORT',
  );
const name = zod.string().min(1, 'expected a name');
const milliseconds = zod.coerce
  .number({ error: 'expected a number of milliseconds' })
  .positive('expected a positive number of milliseconds');
const seconds = zod.coerce
  .number({ error: 'expected a number of seconds' })
  .positive('expected a positive number of seconds');

/** Largest append when the settings name none, in bytes. */
const DEFAULT_MAX_APPEND_BYTES = 1_048_576;
/** Largest record when the settings name none, in bytes. */
const DEFAULT_MAX_RECORD_BYTES = 262_144;
/** Longest time that a VM takes to stop a run when the settings name none, in ms. */
const DEFAULT_RUN_STOP_MS = 1_000;

const optionalMilliseconds = zod.preprocess(
  dropEmpty,
  zod.coerce
    .number({ error: 'expected a number of milliseconds' })
    .nonnegative('expected a number of milliseconds')
    .optional(),
);
/** The INI parser returns `true` and `false` as booleans. */
const optionalFlag = zod.preprocess(
  (value) => (typeof value === 'boolean' ? String(value) : dropEmpty(value)),
  zod.stringbool('expected true or false').optional(),
);

/** Returns undefined for an empty text: a template writes nothing for a value that it doesn't have. */
function dropEmpty(value: unknown): unknown {
  return value === '' ? undefined : value;
}

/** A size in bytes. */
function withDefaultBytes(defaultBytes: number) {
  return zod.preprocess(
    dropEmpty,
    zod.coerce
      .number({ error: 'expected a number of bytes' })
      .positive('expected a positive number of bytes')
      .default(defaultBytes),
  );
}

const coreCount = zod.coerce
  .number({ error: 'expected a number of cores' })
  .positive('expected a positive number of cores');

const memoryMb = zod.preprocess(
  dropEmpty,
  zod.coerce
    .number({ error: 'expected a number of MB' })
    .positive('expected a positive number of MB')
    .default(core.DEFAULT_MEMORY_MB),
);
const maxDescriptors = zod.preprocess(
  dropEmpty,
  zod.coerce
    .number({ error: 'expected a number of descriptors' })
    .positive('expected a positive number of descriptors')
    .default(core.DEFAULT_MAX_DESCRIPTORS),
);

const schema = zod.object({
  process: zod.object({
    name,
    region: name,
    availability_zone: name,
    log_level: zod.enum(['error', 'warn', 'info', 'debug']).default('info'),
  }),
  listen: zod.object({
    callers: address,
    readiness: address,
    links: address,
    metrics: address,
  }),
  log_store: zod.object({
    address,
    max_append_bytes: withDefaultBytes(DEFAULT_MAX_APPEND_BYTES),
    max_record_bytes: withDefaultBytes(DEFAULT_MAX_RECORD_BYTES),
  }),
  advice: zod.object({ address: zod.union([address, zod.literal('')]) }),
  /** Absent sections and keys default to one whole core of usual speed. */
  machine: zod
    .object({
      core_share: coreCount.default(1),
      core_speed: coreCount.default(1),
      memory_mb: memoryMb,
      max_descriptors: maxDescriptors,
    })
    .default({
      core_share: 1,
      core_speed: 1,
      memory_mb: core.DEFAULT_MEMORY_MB,
      max_descriptors: core.DEFAULT_MAX_DESCRIPTORS,
    }),
  scheduling: zod
    .object({
      run_times: zod.preprocess(
        dropEmpty,
        zod
          .enum(['declared', 'learned'], 'expected declared or learned')
          .default('declared'),
      ),
    })
    .default({ run_times: 'declared' }),
  terms: zod.object({
    lease_ms: milliseconds,
    stop_s: seconds,
    run_stop_ms: zod.preprocess(
      dropEmpty,
      milliseconds.default(DEFAULT_RUN_STOP_MS),
    ),
    config_ms: optionalMilliseconds,
    max_skew_ms: optionalMilliseconds,
    revoke_ms: optionalMilliseconds,
    strict_revoke: optionalFlag,
  }),
});

/** Settings of a node. */
export interface NodeSettings {
  readonly name: string;
  readonly region: string;
  readonly availabilityZone: string;
  readonly logLevel: 'error' | 'warn' | 'info' | 'debug';
  readonly listen: {
    readonly callers: string;
    readonly readiness: string;
    readonly links: string;
    readonly metrics: string;
  };
  readonly logStoreAddress: string;
  /** Largest total size of the records of one append, in bytes. */
  readonly maxAppendBytes: number;
  /** Largest size of one record, in bytes. */
  readonly maxRecordBytes: number;
  /** Empty when there is no advice service. */
  readonly adviceAddress: string;
  /** Processor capacity of this VM, in cores of usual speed. */
  readonly cores: number;
  /** Source of the expected run times of tasks. */
  readonly runTimes: core.workloads.RunTimeSource;
  /** Memory of this VM, in MB. */
  readonly memoryMb: number;
  /** Most open descriptors of the process. */
  readonly maxDescriptors: number;
  /** Longest lease that VMs grant, in ms. */
  readonly leaseMs: number;
  /** Longest time that a VM takes to stop a run, in ms of its clock. */
  readonly runStopMs: number;
  /** Time without a read of the configuration after which known keys are not accepted, in ms; absent for no bound. */
  readonly keyBoundMs?: number;
  /** Time from the stop signal until the process is killed, in ms. */
  readonly stopMs: number;
}

/** The settings, or all faults, each with its section, key and the expected value. */
export type NodeSettingsResult =
  { readonly settings: NodeSettings } | { readonly faults: readonly string[] };

/** Parses and validates a settings file. */
export function parseNodeSettings(
  text: string,
  file: string,
): NodeSettingsResult {
  const result = schema.safeParse(ini.parse(text));
  if (!result.success)
    return {
      faults: result.error.issues.map(
        (issue) =>
          `${file}: [${String(issue.path[0] ?? '')}] ${issue.path.slice(1).join('.')}: ${issue.message}`,
      ),
    };
  const { process, listen, log_store, advice, machine, scheduling, terms } =
    result.data;
  const keyBoundMs = computeKeyBound(terms);
  return {
    settings: {
      name: process.name,
      region: process.region,
      availabilityZone: process.availability_zone,
      logLevel: process.log_level,
      listen,
      logStoreAddress: log_store.address,
      maxAppendBytes: log_store.max_append_bytes,
      maxRecordBytes: log_store.max_record_bytes,
      adviceAddress: advice.address,
      cores: machine.core_share * machine.core_speed,
      runTimes: scheduling.run_times,
      memoryMb: machine.memory_mb,
      maxDescriptors: machine.max_descriptors,
      leaseMs: terms.lease_ms,
      runStopMs: terms.run_stop_ms,
      ...(keyBoundMs === undefined ? {} : { keyBoundMs }),
      stopMs: terms.stop_s * 1_000,
    },
  };
}

/** Computes how long keys are accepted without a read of the configuration, in ms; undefined when the settings lack the values. */
function computeKeyBound(
  terms: Readonly<
    Pick<
      zod.infer<typeof schema>['terms'],
      'config_ms' | 'max_skew_ms' | 'revoke_ms' | 'strict_revoke'
    >
  >,
): number | undefined {
  if (terms.strict_revoke === true && terms.revoke_ms !== undefined)
    return terms.revoke_ms;
  return terms.config_ms === undefined || terms.max_skew_ms === undefined
    ? undefined
    : terms.config_ms + terms.max_skew_ms;
}
