import {z} from 'zod';
import {
  formatAddress,
  isReachable,
  parseAddress,
} from '@banyandrum/base/address.js';

const MAX_NAME_LENGTH = 64;
const NAME = /^[A-Za-z0-9][A-Za-z0-9._-]*$/;

/** A table with these keys and no others. */
export function table<S extends z.core.$ZodShape>(
  shape: S,
): z.ZodObject<S, z.core.$strict> {
  const keys = Object.keys(shape).join(', ');
  return z.strictObject(shape, {
    error: issue =>
      issue.code === 'unrecognized_keys'
        ? `only the keys ${keys}`
        : `a table with the keys ${keys}`,
  });
}

/** A list of tables. */
export function list<T extends z.ZodType>(item: T): z.ZodArray<T> {
  return z.array(item, {error: 'a list'});
}

/** A name that may stand in a path, a cell id or a metric's label. */
export const nameSchema = z
  .string({error: nameExpected})
  .max(MAX_NAME_LENGTH, {error: nameExpected})
  .regex(NAME, {error: nameExpected});

/** A whole number within bounds, both included. */
export function whole(min: number, max: number): z.ZodNumber {
  const error = `a whole number from ${min} to ${max}`;
  return z.int({error}).min(min, {error}).max(max, {error});
}

/** A number within bounds, both included. */
export function number(min: number, max: number): z.ZodNumber {
  const error = `a number from ${min} to ${max}`;
  return z.number({error}).min(min, {error}).max(max, {error});
}

export const flagSchema = z.boolean({error: 'true or false'});

/** A text that isn't empty. */
export function text(expected: string, maxLength: number): z.ZodString {
  const error = `${expected}, 1 to ${maxLength} characters`;
  return z.string({error}).min(1, {error}).max(maxLength, {error});
}

/** `ip:port` that others connect to. */
export const addressSchema = addressOf(
  'an address by IP number, such as "10.0.0.1:8080"',
  true,
);

/** `ip:port` to listen at; port 0 takes any free one. */
export const listenSchema = addressOf(
  'an address to listen at by IP number, such as "0.0.0.0:8080"',
  false,
);

function addressOf(
  error: string,
  reachable: boolean,
): z.ZodType<string, string> {
  return z.string({error}).transform((value, ctx) => {
    const address = parseAddress(value);
    if (address !== null && (!reachable || isReachable(address))) {
      return formatAddress(address);
    }
    ctx.addIssue({code: 'custom', message: error});
    return z.NEVER;
  });
}

function nameExpected(): string {
  return (
    'a name of letters, digits, ".", "_" and "-", ' +
    `starting with a letter or digit, 1 to ${MAX_NAME_LENGTH} characters`
  );
}
