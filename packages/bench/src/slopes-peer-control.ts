import {
  type OwnershipControl,
  ownershipSchemas,
} from '@banyandrum/ownership/control.js';
import {z} from 'zod';
import type {Usage} from './slopes-sweep.js';

/** The messages of routers, and one that asks what the other side has used. */
export type PeerControl = OwnershipControl & {
  readonly usage: {readonly ask: object; readonly answer: Usage};
};

export const peerSchemas = {
  ...ownershipSchemas,
  usage: {
    ask: z.object({}),
    answer: z.object({
      cpuUs: z.number(),
      cpuAfterUs: z.number(),
      rssBytes: z.number(),
      bytes: z.number(),
    }),
  },
} as const;
