import type {Clock} from '@banyandrum/base/clock.js';
import {Err, Ok, type Result} from '@banyandrum/base/result.js';
import type {FrameReceivers} from './frames.js';
import {MAX_CONTROL_BYTES} from './limits.js';
import type {ControlKinds, ControlSchemas, PeerError} from './peers.js';
import {LANES, type Outgoing, type Sender} from './sender.js';

/** The control questions that this router has asked on one stream. */
export interface AskedControls<M extends ControlKinds> {
  ask<K extends keyof M & string>(
    kind: K,
    ask: M[K]['ask'],
    timeoutMs: number,
  ): Promise<Result<M[K]['answer'], PeerError>>;
  readonly receivers: FrameReceivers;
  count(): number;
  /** The stream is lost: ends all of them. */
  end(detail: string): void;
}

export interface AskedControlsOptions<M extends ControlKinds> {
  readonly clock: Clock;
  readonly sender: Sender;
  readonly schemas: ControlSchemas<M>;
  /** Called when the last one has ended. */
  readonly onIdle: () => void;
}

interface PendingAsk {
  readonly frame: Outgoing;
  readonly parse: (data: unknown) => unknown;
  readonly resolve: (result: Result<unknown, PeerError>) => void;
  readonly stopTimer: () => void;
}

/** Keeps the table of control questions under way. */
export function createAskedControls<M extends ControlKinds>(
  options: AskedControlsOptions<M>,
): AskedControls<M> {
  const {clock, sender, schemas, onIdle} = options;
  const table = new Map<number, PendingAsk>();
  let lastId = 0;

  const settle = (id: number, result: Result<unknown, PeerError>): void => {
    const pending = table.get(id);
    if (pending === undefined) return;
    table.delete(id);
    pending.stopTimer();
    pending.resolve(result);
    if (table.size === 0) onIdle();
  };

  const giveUp = (id: number, detail: string): void => {
    const pending = table.get(id);
    if (pending === undefined) return;
    const written = pending.frame.state === 'written';
    if (!written) pending.frame.state = 'dropped';
    settle(id, Err({kind: written ? 'silent' : 'unreachable', detail}));
  };

  return {
    ask(kind, ask, timeoutMs) {
      const payload = Buffer.from(JSON.stringify(ask));
      if (payload.length > MAX_CONTROL_BYTES) {
        const detail = `${kind} of ${payload.length} bytes is too long`;
        return Promise.resolve(Err<PeerError>({kind: 'invalid', detail}));
      }
      return new Promise(resolve => {
        const id = ++lastId;
        const controlAsk = {kind, payload};
        const frame = sender.push(
          LANES.control,
          {id, controlAsk},
          payload.length,
        );
        const stopTimer = clock.after(timeoutMs, () =>
          giveUp(id, `no answer to ${kind} within ${timeoutMs} ms`),
        );
        const {parse} = bindParse(schemas[kind].answer);
        table.set(id, {frame, parse, resolve, stopTimer});
      });
    },
    receivers: {
      controlAnswer(id, {payload, refusal}) {
        const pending = table.get(id);
        if (pending === undefined) return;
        if (refusal) {
          settle(id, Err({kind: 'invalid', detail: refusal}));
          return;
        }
        settle(id, parseAnswer(pending.parse, payload));
      },
    },
    count: () => table.size,
    end(detail) {
      for (const id of [...table.keys()]) giveUp(id, detail);
    },
  };
}

function bindParse(schema: {parse(data: unknown): unknown}): {
  parse: (data: unknown) => unknown;
} {
  return {parse: data => schema.parse(data)};
}

function parseAnswer(
  parse: (data: unknown) => unknown,
  payload: Uint8Array | undefined,
): Result<unknown, PeerError> {
  try {
    return Ok(parse(parseJson(payload)));
  } catch (err) {
    const detail = `answer not understood: ${String(err)}`;
    return Err({kind: 'invalid', detail});
  }
}

/**
 * The JSON value in a payload.
 *
 * @throws SyntaxError
 */
export function parseJson(payload: Uint8Array | undefined): unknown {
  return JSON.parse(Buffer.from(payload ?? []).toString('utf8'));
}
