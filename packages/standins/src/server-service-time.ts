import {z} from 'zod';

/** How long requests take, in ms. */
export const serviceTimeSchema = z.discriminatedUnion('kind', [
  z.object({kind: z.literal('fixed'), ms: z.number().min(0)}),
  z.object({
    kind: z.literal('uniform'),
    minMs: z.number().min(0),
    maxMs: z.number().min(0),
  }),
  z.object({kind: z.literal('exponential'), meanMs: z.number().min(0)}),
  z.object({
    kind: z.literal('lognormal'),
    medianMs: z.number().min(0),
    sigma: z.number().min(0),
  }),
]);

export type ServiceTime = Readonly<z.infer<typeof serviceTimeSchema>>;

/**
 * Draws service times; the same seed gives the same sequence.
 *
 * @example
 * ```ts
 * const draw = createServiceTimes({kind: 'exponential', meanMs: 5}, 42);
 * draw(); // ms
 * ```
 */
export function createServiceTimes(
  time: ServiceTime,
  seed: number,
): () => number {
  const random = createRandom(seed);
  switch (time.kind) {
    case 'fixed':
      return () => time.ms;
    case 'uniform':
      return () => time.minMs + random() * (time.maxMs - time.minMs);
    case 'exponential':
      return () => -Math.log(1 - random()) * time.meanMs;
    case 'lognormal':
      return () => time.medianMs * Math.exp(time.sigma * normal(random));
  }
}

/** Uniform numbers from 0 to below 1 (the mulberry32 generator). */
function createRandom(seed: number): () => number {
  let state = seed >>> 0;
  return () => {
    state = (state + 0x6d2b79f5) >>> 0;
    let mixed = Math.imul(state ^ (state >>> 15), state | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32;
  };
}

/** A standard normal number (Box-Muller). */
function normal(random: () => number): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random()));
  return radius * Math.cos(2 * Math.PI * random());
}
