import type {Clock} from '@banyandrum/base/clock.js';
import {
  createDecayingSum,
  type DecayingSum,
} from '@banyandrum/queueing/decaying-sum.js';
import {
  createFairShares,
  type FairShares,
  type Standing,
} from '@banyandrum/queueing/fair-shares.js';
import {
  createFlows,
  type FlowName,
  type Flows,
} from '@banyandrum/queueing/flows.js';
import type {Capacity} from './capacity-cache.js';
import type {Waiter, WaitQueue} from './wait-queue.js';

/** Turns of waiting requests, fair by caller and by key. */
export interface FairTurns {
  /**
   * Sets the turn of a request, before it is granted, enters the queue or is
   * refused. If it already has one in another queue, that one is released.
   */
  assign(
    queue: WaitQueue,
    waiter: Waiter,
    capacity: Capacity,
    serviceSlots: number,
  ): void;
  /** The request was granted a slot, or waits no longer for another reason. */
  release(waiter: Waiter, served: boolean): void;
  /**
   * Expected wait of a request in the queue, in ms, before which requests with
   * `presentMs` of service time wait: later ones go before it too.
   */
  expectedWaitMs(waiter: Waiter, presentMs: number, slots: number): number;
  /** Drops the accounts of queues that weren't used for a while. */
  cleanUp(): void;
  accounts(): Iterable<Account>;
}

/** Service times charged to the callers and keys of one queue and priority. */
export interface Account {
  readonly service: string;
  /** Id of the server that owns the keys; null if any server may run them. */
  readonly owner: string | null;
  readonly priority: number;
  readonly callers: Dimension;
  readonly keys: Dimension;
  /** What callers ask of all servers of the service; null if that is `callers`. */
  readonly wholeService: FairShares | null;
  /** Service time of the requests that got a slot, by rank, in ms. */
  readonly servedMs: readonly DecayingSum[];
  /** Virtual time: the latest turn that was served, in ms of service time. */
  now: number;
  /** Monotonic time of the last assigned turn, in ms. */
  usedAt: number;
}

/** Turns and shares of all callers, or of all keys. */
interface Dimension {
  readonly flows: Flows;
  readonly shares: FairShares;
}

/** What a request holds of an account. */
interface Entry {
  readonly account: Account;
  readonly costMs: number;
  readonly rank: number;
  readonly caller: FlowName;
  readonly claims: readonly Claim[];
}

/** What a request holds of its caller's or its key's part. */
interface Claim {
  readonly dimension: Dimension;
  readonly name: FlowName;
  readonly standing: Standing;
  /** Charge for its turn, in ms; 0 if it is within the share. */
  readonly turnCostMs: number;
  readonly turn: number;
}

/**
 * Accounts of a queue are dropped after this time without a request, in ms. It
 * exceeds the pauses between the retries of a caller.
 */
const ACCOUNT_TTL_MS = 10_000;
/**
 * Ranks of requests, in the order in which they are served: those whose caller
 * and key ask for less than their shares, those of which one or the other asks
 * for more, and those of which one got more.
 */
const RANKS = 5;
const LAST_RANK = RANKS - 1;
/** A key that exceeds its share counts more than a caller that does. */
const KEY_RANK = 2;
/**
 * Turn of a request that came too late to meet its target latency: after all
 * that can meet theirs.
 */
const LAST_TURN = Infinity;
/** Share of the slots that a priority may use beside the higher ones. */
const MIN_SLOT_SHARE = 0.1;
/**
 * Share of the slots that requests in a queue are expected to get at least, as
 * others go before them. It is higher at an owner: the rate of its few slots
 * varies more, and a low estimate refuses requests while slots are free.
 */
const MIN_QUEUE_SHARE = 0.25;
const MIN_OWNER_QUEUE_SHARE = 0.6;
/** Time constant of the rates of service, in ms. */
const RATE_MS = 2_000;
/**
 * Part of the share of a key that counts as asked for by its callers. With all
 * of it, a hot key would take its callers above their shares, which then would
 * not be served before it with their other keys.
 */
const KEY_SHARE_PART = 0.75;
/**
 * Callers of a keyed service compete as soon as they ask for this part of its
 * slots, since keys don't spread evenly over owners: some of these are full
 * before all slots are in use.
 */
const KEYED_SLOT_SHARE = 0.98;

/**
 * Creates the accounts. While the requests of a queue need more than its slots,
 * those of callers and keys that ask for less than their fair shares are served
 * first. They need less than the slots offer, so the others get their shares of
 * the rest: of these, each caller that got more than its share has consecutive
 * turns for its requests, and so has each key at its owner; a request has the
 * later one of the two. Otherwise, requests are ordered by slack, so that uneven
 * arrivals of equal callers don't count against requests with little slack.
 *
 * @example
 * ```ts
 * const turns = createFairTurns(clock);
 * turns.assign(queue, waiter, capacity, serviceSlots);
 * enqueue(queue, waiter);
 * ```
 */
export function createFairTurns(clock: Clock): FairTurns {
  /** Accounts of each queue, by service and owner; by priority, highest first. */
  const queues = new Map<string, Map<string | null, Account[]>>();
  /** Shares of callers of each keyed service and priority. */
  const services = new Map<string, FairShares>();
  const entries = new Map<Waiter, Entry>();

  const accountsFor = (queue: WaitQueue): Account[] => {
    const {service, owner} = queue;
    let ofService = queues.get(service);
    if (ofService === undefined) {
      ofService = new Map();
      queues.set(service, ofService);
    }
    const known = ofService.get(owner);
    if (known !== undefined) return known;
    const accounts: Account[] = [];
    ofService.set(owner, accounts);
    return accounts;
  };

  const sharesOf = (service: string, priority: number): FairShares => {
    const name = `${priority} ${service}`;
    const shares = services.get(name) ?? createFairShares();
    services.set(name, shares);
    return shares;
  };

  const addAccount = (
    accounts: Account[],
    queue: WaitQueue,
    priority: number,
    now: number,
  ): Account => {
    const wholeService =
      queue.owner === null ? null : sharesOf(queue.service, priority);
    const account = createAccount(queue, priority, wholeService, now);
    const at = accounts.findIndex(each => each.priority > priority);
    accounts.splice(at < 0 ? accounts.length : at, 0, account);
    return account;
  };

  const release = (waiter: Waiter, served: boolean): void => {
    const entry = entries.get(waiter);
    if (entry === undefined) return;
    entries.delete(waiter);
    leaveAccount(entry, waiter.turn, served, clock.now());
  };

  return {
    assign(queue, waiter, capacity, serviceSlots) {
      const earlier = entries.get(waiter);
      if (earlier !== undefined && isAccountOf(earlier.account, queue)) return;
      release(waiter, false);
      if (waiter.onTimeUntil < waiter.requestedAt) {
        waiter.turn = LAST_TURN;
        return;
      }
      const now = clock.now();
      const accounts = accountsFor(queue);
      const {priority} = waiter;
      const account =
        accounts.find(each => each.priority === priority) ??
        addAccount(accounts, queue, priority, now);
      account.usedAt = now;
      const slots = slotsLeft(accounts, account, capacity.slots, now);
      const costMs = Math.max(1, capacity.serviceMs);
      const entry = enterAccount(account, waiter, {
        ...{slots, costMs, now, isNew: earlier === undefined},
        serviceSlots: serviceSlots * KEYED_SLOT_SHARE,
      });
      waiter.turn = turnOf(entry);
      entries.set(waiter, entry);
    },
    release,
    expectedWaitMs(waiter, presentMs, slots) {
      const entry = entries.get(waiter);
      if (entry === undefined) return presentMs / slots;
      const {account, rank} = entry;
      const now = clock.now();
      const aheadMs = Math.max(presentMs, waiter.turn - account.now);
      const accounts = queues.get(account.service)?.get(account.owner) ?? [];
      const overtaking = slotsOvertaking(accounts, account, rank, now);
      const minShare =
        account.owner === null ? MIN_QUEUE_SHARE : MIN_OWNER_QUEUE_SHARE;
      return aheadMs / Math.max(slots - overtaking, slots * minShare);
    },
    cleanUp() {
      const expiredAt = clock.now() - ACCOUNT_TTL_MS;
      for (const ofService of queues.values()) {
        for (const [owner, accounts] of ofService) {
          if (accounts.every(({usedAt}) => usedAt < expiredAt))
            ofService.delete(owner);
        }
      }
    },
    *accounts() {
      for (const ofService of queues.values()) {
        for (const accounts of ofService.values()) yield* accounts;
      }
    },
  };
}

function isAccountOf(account: Account, {service, owner}: WaitQueue): boolean {
  return account.service === service && account.owner === owner;
}

function createAccount(
  {service, owner}: WaitQueue,
  priority: number,
  wholeService: FairShares | null,
  now: number,
): Account {
  return {
    ...{service, owner, priority, now: 0, usedAt: 0},
    callers: createDimension(),
    keys: createDimension(),
    wholeService,
    servedMs: Array.from({length: RANKS}, () =>
      createDecayingSum(RATE_MS, now),
    ),
  };
}

function createDimension(): Dimension {
  // Flows without waiting requests are forgotten at once: their lead is one turn
  // at the most.
  const flows = createFlows({forgivenLead: Infinity});
  return {flows, shares: createFairShares()};
}

/** Slots that the priorities above the account's leave to it. */
function slotsLeft(
  accounts: readonly Account[],
  account: Account,
  slots: number,
  now: number,
): number {
  let left = slots;
  for (const other of accounts) {
    if (other === account) break;
    left -= other.callers.shares.slotsAsked(now);
  }
  return Math.max(left, slots * MIN_SLOT_SHARE);
}

/** Mean number of slots of requests that go before those of the rank. */
function slotsOvertaking(
  accounts: readonly Account[],
  account: Account,
  rank: number,
  now: number,
): number {
  let servedMs = 0;
  for (const other of accounts) {
    if (other.priority > account.priority) break;
    const ranks = other === account ? rank : RANKS;
    for (let at = 0; at < ranks; at++)
      servedMs += other.servedMs[at]!.value(now);
  }
  return servedMs / RATE_MS;
}

/** What one request is charged with. */
interface RequestCost {
  readonly slots: number;
  readonly serviceSlots: number;
  readonly costMs: number;
  readonly now: number;
  /** Whether the service has not counted it yet, for another owner. */
  readonly isNew: boolean;
}

function enterAccount(
  account: Account,
  {req}: Waiter,
  cost: RequestCost,
): Entry {
  const caller = req.caller ?? 0;
  const callerClaim = claimCallerTurn(account, caller, req.key, cost);
  const {costMs} = cost;
  if (req.key === null) {
    const rank = rankOf(callerClaim.standing, 'asks-less');
    return {account, costMs, rank, caller, claims: [callerClaim]};
  }
  const keyClaim = claimKeyTurn(account, caller, req.key, cost);
  const rank = rankOf(callerClaim.standing, keyClaim.standing);
  return {account, costMs, rank, caller, claims: [callerClaim, keyClaim]};
}

function rankOf(caller: Standing, key: Standing): number {
  if (caller === 'got-more' || key === 'got-more') return LAST_RANK;
  const callerRank = caller === 'got-less' ? 1 : 0;
  return key === 'got-less' ? callerRank + KEY_RANK : callerRank;
}

/**
 * Turns of the last rank are virtual times, 0 or more. Each other rank has one
 * fixed negative turn, so that it is served first.
 */
function turnOf({account, rank, claims}: Entry): number {
  if (rank < LAST_RANK) return rank - LAST_RANK;
  let latest = account.now;
  for (const {turn} of claims) latest = Math.max(latest, turn);
  return latest;
}

/**
 * What exceeds the share of a key is limited by that, and must not count against
 * the caller's requests for other keys.
 */
function claimCallerTurn(
  account: Account,
  caller: FlowName,
  key: number | null,
  cost: RequestCost,
): Claim {
  const {callers, keys, wholeService} = account;
  if (key === null || wholeService === null)
    return claimTurn(account, callers, caller, cost);
  const {slots, serviceSlots, costMs, now, isNew} = cost;
  const part = keys.shares.entitledPart(key, slots, now);
  if (isNew) wholeService.ask(caller, costMs * part, now);
  const standing = wholeService.standing(caller, costMs, serviceSlots, now);
  wholeService.charge(caller, costMs, now);
  const askedMs = costMs * (part < 1 ? part * KEY_SHARE_PART : 1);
  return claimTurn(account, callers, caller, cost, askedMs, standing);
}

/** What exceeds the share of a caller must not count against its keys either. */
function claimKeyTurn(
  account: Account,
  caller: FlowName,
  key: FlowName,
  cost: RequestCost,
): Claim {
  const {callers, keys, wholeService} = account;
  const {serviceSlots, slots, costMs, now} = cost;
  const part =
    wholeService === null
      ? callers.shares.entitledPart(caller, slots, now)
      : wholeService.entitledPart(caller, serviceSlots, now);
  return claimTurn(account, keys, key, cost, costMs * part);
}

function claimTurn(
  account: Account,
  dimension: Dimension,
  name: FlowName,
  {slots, costMs, now}: RequestCost,
  askedMs = costMs,
  otherStanding: Standing = 'asks-less',
): Claim {
  const {flows, shares} = dimension;
  shares.ask(name, askedMs, now);
  const own = shares.standing(name, costMs, slots, now);
  const standing = own === 'asks-less' ? otherStanding : own;
  shares.charge(name, costMs, now);
  if (standing !== 'got-more')
    return {dimension, name, standing, turnCostMs: 0, turn: account.now};
  const turnCostMs = costMs * Math.max(1, flows.active());
  const turn = flows.reserveTurn(name, account.now, turnCostMs);
  return {dimension, name, standing, turnCostMs, turn};
}

function leaveAccount(
  {account, costMs, rank, caller, claims}: Entry,
  turn: number,
  served: boolean,
  now: number,
): void {
  if (served) account.now = Math.max(account.now, turn);
  if (served) account.servedMs[rank]!.add(costMs, now);
  else account.wholeService?.refund(caller, costMs, now);
  for (const {dimension, name, turnCostMs} of claims) {
    if (!served) dimension.shares.refund(name, costMs, now);
    if (turnCostMs > 0)
      dimension.flows.leave(name, served, account.now, turnCostMs);
  }
}
