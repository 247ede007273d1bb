import {z} from 'zod';

/** Faults that a stand-in server plays; all off at first. */
export const serverFaultsSchema = z.object({
  /** Takes everything in and answers nothing until it is false again. */
  frozen: z.boolean(),
  /** Refuses every request with 503 `not-run`. */
  refuse: z.boolean(),
  /** Multiplies the service time. */
  slowFactor: z.number().positive(),
  /** Replaces fields of the load report by lies. */
  load: z
    .object({
      health: z.enum(['ok', 'cold', 'shedding', 'leaving']),
      busy: z.number(),
      slots: z.number(),
      queued: z.number(),
    })
    .partial()
    .nullable(),
  /** How old a load report may be. */
  loadLagMs: z.number().min(0),
  /** How many of the next answers are cut half-way. */
  cutAnswers: z.number().int().min(0),
  /** How many of the next answers carry another request's id. */
  mixedAnswers: z.number().int().min(0),
  /** Orders get lost, or are obeyed but never answered. */
  orders: z.enum(['normal', 'lost', 'unanswered']),
  /** Orders are delivered this much later. */
  orderDelayMs: z.number().min(0),
  /** Reports health `leaving`. */
  leaving: z.boolean(),
});

export type ServerFaults = Readonly<z.infer<typeof serverFaultsSchema>>;

/** New values of some faults; the others stay. */
export type FaultValues = {
  readonly [Name in keyof ServerFaults]?: ServerFaults[Name] | undefined;
};

/** A change of some faults, or a single event. */
export const faultChangeSchema = serverFaultsSchema.partial().extend({
  /** Every connection that is open now goes silent for good. */
  silence: z.boolean().optional(),
  /** Stops listening, drops all connections, forgets leases. */
  die: z.boolean().optional(),
  /** With `die`: starts again after this time, as another run. */
  restartAfterMs: z.number().min(0).optional(),
});

export type FaultChange = Readonly<z.infer<typeof faultChangeSchema>>;

/** The faults that are on now. */
export interface FaultSwitch {
  current(): ServerFaults;
  set(values: FaultValues): void;
  /** Resolves once the server isn't frozen. */
  thawed(): Promise<void>;
  /** Uses up one of a counted fault; false where none is left. */
  take(fault: 'cutAnswers' | 'mixedAnswers'): boolean;
}

const NO_FAULTS: ServerFaults = {
  frozen: false,
  refuse: false,
  slowFactor: 1,
  load: null,
  loadLagMs: 0,
  cutAnswers: 0,
  mixedAnswers: 0,
  orders: 'normal',
  orderDelayMs: 0,
  leaving: false,
};

/**
 * Makes a switch with all faults off.
 *
 * @example
 * ```ts
 * const faults = createFaultSwitch();
 * faults.set({frozen: true});
 * await faults.thawed(); // until faults.set({frozen: false})
 * ```
 */
export function createFaultSwitch(): FaultSwitch {
  let faults = NO_FAULTS;
  let waiting: (() => void)[] = [];
  return {
    current: () => faults,
    set(values) {
      const given = Object.entries(values).filter(([, to]) => to !== undefined);
      faults = {...faults, ...Object.fromEntries(given)};
      if (faults.frozen) return;
      const released = waiting;
      waiting = [];
      for (const release of released) release();
    },
    thawed() {
      if (!faults.frozen) return Promise.resolve();
      return new Promise(resolve => waiting.push(resolve));
    },
    take(fault) {
      if (faults[fault] === 0) return false;
      faults = {...faults, [fault]: faults[fault] - 1};
      return true;
    },
  };
}
