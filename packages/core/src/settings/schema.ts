/** The sections and keys of a settings file: allowed values, defaults and messages. */
import * as zod from 'zod';
import * as addresses from '../addresses.js';
import * as machine from './machine.js';
import * as names from './names.js';

/** Default of `max_processes`. */
export const MAX_PROCESSES = 9;

/** Shortest authentication key of processes and operators, in characters. */
export const MIN_KEY_CHARACTERS = 16;

const addressText = 'expected an ip:port such as 10.0.0.1:7001';

const name = zod
  .string(`the key is missing; expected ${names.plainNameText}`)
  .refine(names.isPlainName, `expected ${names.plainNameText}`);

const address = zod
  .string(`the key is missing; ${addressText}`)
  .refine((text) => addresses.decodeAddress(text) !== undefined, addressText);

const keyText = `expected ${MIN_KEY_CHARACTERS} to 256 visible ASCII characters without spaces`;
const key = zod
  .string(`the key is missing; ${keyText}`)
  .regex(new RegExp(`^[\\x21-\\x7e]{${MIN_KEY_CHARACTERS},256}$`), keyText);

// Addresses with `http://` are accepted too, because the platform documents URLs.
const urlText = 'expected an ip:port such as 10.0.0.5:7300, or http://ip:port';
const url = zod
  .string(`the key is missing; ${urlText}`)
  .transform((text) => text.replace(/^http:\/\//, '').replace(/\/$/, ''))
  .refine((text) => addresses.decodeAddress(text) !== undefined, urlText)
  .transform((text) => `http://${text}`);

function createWholeNumber(
  unit: string,
  least: number,
  most: number,
  defaultValue: number,
) {
  const text = `expected a whole number of ${unit} from ${least} to ${most}, without a unit`;
  return zod
    .string()
    .refine(
      (value) =>
        /^[0-9]{1,15}$/.test(value) &&
        Number(value) >= least &&
        Number(value) <= most,
      text,
    )
    .default(String(defaultValue))
    .transform(Number);
}

const levels = ['error', 'warn', 'info', 'debug'] as const;

/** Schema of a settings file; optional keys have defaults. */
export const settingsSchema = zod.strictObject({
  process: zod.strictObject({
    name,
    availability_zone: name,
    region: name,
    max_processes: createWholeNumber('processes', 1, 64, MAX_PROCESSES),
    stop_ms: createWholeNumber('ms', 1_000, 600_000, 25_000),
  }),
  callers: zod.strictObject({ listen: address }),
  operators: zod.strictObject({ listen: address, key }),
  links: zod.strictObject({ listen: address, key }),
  peers: zod.record(name, address),
  platform: zod.strictObject({ log: url, vm_list: url }),
  limits: zod.strictObject({
    max_body_bytes: createWholeNumber('bytes', 1_024, 67_108_864, 1_048_576),
    max_frame_bytes: createWholeNumber('bytes', 65_536, 16_777_216, 1_048_576),
    append_buffer_records: createWholeNumber('records', 10, 100_000, 1_000),
  }),
  machine: zod.strictObject({
    memory_mb: createWholeNumber(
      'MB',
      64,
      1_048_576,
      machine.DEFAULT_MEMORY_MB,
    ),
    max_descriptors: createWholeNumber(
      'descriptors',
      256,
      1_048_576,
      machine.DEFAULT_MAX_DESCRIPTORS,
    ),
  }),
  log: zod.strictObject({
    level: zod
      .enum(levels, `expected one of ${levels.join(', ')}`)
      .default('info'),
  }),
});

/** The values of a settings file that matches the schema. */
export type CheckedFile = zod.infer<typeof settingsSchema>;
