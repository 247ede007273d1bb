import {cellStatus, explainMessage} from '@banyandrum/operators/messages.js';
import {
  ownershipSchemas,
  type OwnershipControl,
} from '@banyandrum/ownership/control.js';
import type {ControlHandlers, Peers} from '@banyandrum/routers/peers.js';
import {z} from 'zod';

const described = z.object({
  /** Version of the publication in force there. */
  version: z.int().min(0),
  cells: z.array(cellStatus),
});

/** Checks of all control messages between routers. */
export const controlSchemas = {
  ...ownershipSchemas,
  describe: {ask: z.object({}), answer: described},
  explain: {
    ask: z.object({service: z.string(), key: z.string()}),
    answer: explainMessage,
  },
} as const;

/** What a router tells of itself and of the cells that it leads. */
export type Described = z.infer<typeof described>;

/**
 * - `describe`: the version in force and the cells led, for `status`.
 * - `explain`: where the leader has a key and why.
 */
export type RouterControl = OwnershipControl & {
  readonly describe: {readonly ask: object; readonly answer: Described};
  readonly explain: {
    readonly ask: {readonly service: string; readonly key: string};
    readonly answer: z.infer<typeof explainMessage>;
  };
};

export type RouterPeers = Peers<RouterControl>;
export type RouterHandlers = ControlHandlers<RouterControl>;

/** Handlers of control messages that exist before what answers them. */
export interface LateHandlers {
  readonly handlers: RouterHandlers;
  /** Passes messages on to these from now on. */
  set(handlers: RouterHandlers): void;
}

/**
 * The interface for peers must listen before ownership starts, since its
 * address is part of the process's identity. Until then it refuses every
 * control message.
 *
 * @example
 * ```ts
 * const late = createLateHandlers();
 * late.set({...ownership.handlers, describe, explain});
 * ```
 */
export function createLateHandlers(): LateHandlers {
  let target: RouterHandlers | null = null;
  const pass = (kind: keyof RouterControl) => {
    return async (from: never, ask: never): Promise<unknown> => {
      if (target === null) throw new Error('this router is starting');
      return target[kind](from, ask);
    };
  };
  const kinds = Object.keys(controlSchemas) as (keyof RouterControl)[];
  const handlers = Object.fromEntries(kinds.map(kind => [kind, pass(kind)]));
  return {
    handlers: handlers as unknown as RouterHandlers,
    set(next) {
      target = next;
    },
  };
}
