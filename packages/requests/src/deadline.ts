import type {CancelTimer, Clock} from '@banyandrum/base/clock.js';

/** Runs tasks at many deadlines with one timer. */
export interface DeadlineWheel {
  /** Runs `task` once at `at`, or up to one tick later, unless cancelled. */
  schedule(at: number, task: () => void): CancelTimer;
  /** Number of pending tasks. */
  size(): number;
}

interface Entry {
  tick: number;
  task: () => void;
  prev: Entry;
  next: Entry;
}

const TICK_MS = 5;
const SLOT_COUNT = 1024;

/**
 * Creates a hashed timer wheel. A runtime timer per request would cost more than
 * the rest of the queue's work. Here, adding and cancelling are a few
 * assignments, and one timer waits for the earliest slot in use.
 *
 * @example
 * ```ts
 * const wheel = createDeadlineWheel(clock);
 * const cancel = wheel.schedule(req.deadline, () => refuse(req));
 * ```
 */
export function createDeadlineWheel(clock: Clock): DeadlineWheel {
  const slots = Array.from({length: SLOT_COUNT}, createHead);
  let cursor = Math.floor(clock.now() / TICK_MS);
  let pending = 0;
  let armedTick = Infinity;
  let disarm: CancelTimer = () => {};

  const arm = (tick: number): void => {
    if (tick >= armedTick) return;
    disarm();
    armedTick = tick;
    disarm = clock.after(tick * TICK_MS - clock.now(), fire);
  };

  const fire = (): void => {
    armedTick = Infinity;
    const due = takeDue(Math.floor(clock.now() / TICK_MS));
    for (const entry of due) entry.task();
    if (pending > 0) arm(nextTick());
  };

  const takeDue = (nowTick: number): Entry[] => {
    const due: Entry[] = [];
    const last = Math.min(nowTick, cursor + SLOT_COUNT);
    for (let tick = cursor + 1; tick <= last; tick++) {
      collect(slotOf(slots, tick), nowTick, due);
    }
    cursor = Math.max(cursor, nowTick);
    pending -= due.length;
    return due;
  };

  const nextTick = (): number => {
    for (let tick = cursor + 1; tick < cursor + SLOT_COUNT; tick++) {
      const head = slotOf(slots, tick);
      if (head.next !== head) return tick;
    }
    return cursor + SLOT_COUNT;
  };

  return {
    schedule(at, task) {
      // Without pending tasks no timer runs, so the cursor may be behind.
      if (pending === 0) cursor = Math.floor(clock.now() / TICK_MS);
      const tick = Math.max(Math.ceil(at / TICK_MS), cursor + 1);
      const entry = insert(slotOf(slots, tick), tick, task);
      pending++;
      arm(tick);
      return () => {
        // It may be due in the same tick, after the task that cancels it.
        entry.task = noop;
        if (unlink(entry)) pending--;
      };
    },
    size: () => pending,
  };
}

function createHead(): Entry {
  const head = {tick: 0, task: noop} as Entry;
  head.prev = head;
  head.next = head;
  return head;
}

function slotOf(slots: readonly Entry[], tick: number): Entry {
  return slots[tick % SLOT_COUNT] as Entry;
}

function insert(head: Entry, tick: number, task: () => void): Entry {
  const entry = {tick, task, prev: head.prev, next: head};
  head.prev.next = entry;
  head.prev = entry;
  return entry;
}

/** Returns `false` if it was already unlinked. */
function unlink(entry: Entry): boolean {
  if (entry.next === entry) return false;
  entry.prev.next = entry.next;
  entry.next.prev = entry.prev;
  entry.prev = entry;
  entry.next = entry;
  return true;
}

/** Moves the due entries of one slot to `due`. */
function collect(head: Entry, nowTick: number, due: Entry[]): void {
  let entry = head.next;
  while (entry !== head) {
    const following = entry.next;
    if (entry.tick <= nowTick) {
      unlink(entry);
      due.push(entry);
    }
    entry = following;
  }
}

function noop(): void {}
