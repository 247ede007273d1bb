import type {Incarnation} from '@banyandrum/base/ids.js';
import {parseJson} from './asked-controls.js';
import type {FrameContents, FrameReceivers} from './frames.js';
import {MAX_CONTROL_BYTES} from './limits.js';
import type {ControlHandlers, ControlKinds, ControlSchemas} from './peers.js';
import {LANES, type Sender} from './sender.js';

export interface ServedControlsOptions<M extends ControlKinds> {
  readonly from: Incarnation;
  readonly sender: Sender;
  readonly handlers: ControlHandlers<M>;
  readonly schemas: ControlSchemas<M>;
}

/**
 * Answers the control questions of one stream. Bad data, an unknown kind and
 * a handler that throws are refused with a reason; the stream goes on.
 */
export function createServedControls<M extends ControlKinds>(
  options: ServedControlsOptions<M>,
): FrameReceivers {
  const {from, sender, handlers, schemas} = options;

  const answer = async (
    content: FrameContents['controlAsk'],
  ): Promise<Buffer> => {
    const {kind} = content;
    if (!Object.hasOwn(handlers, kind)) throw new Error(`no kind ${kind}`);
    const handle = handlers[kind as keyof M];
    const ask = schemas[kind as keyof M].ask.parse(parseJson(content.payload));
    const payload = Buffer.from(JSON.stringify(await handle(from, ask)));
    if (payload.length > MAX_CONTROL_BYTES) throw new Error('answer too long');
    return payload;
  };

  return {
    controlAsk(id, content) {
      answer(content).then(
        payload => {
          const controlAnswer = {payload};
          sender.push(LANES.control, {id, controlAnswer}, payload.length);
        },
        err => {
          const controlAnswer = {refusal: describe(err)};
          sender.push(LANES.control, {id, controlAnswer});
        },
      );
    },
  };
}

function describe(err: unknown): string {
  const text = err instanceof Error ? err.message : String(err);
  return text === '' ? 'refused' : text;
}
