import {z} from 'zod';
import {
  createFaultyListener,
  DOWN_MODES,
  jsonReply,
  type FaultyListener,
  type StandinReply,
  type StandinRequest,
} from './faulty-listener.js';
import {parseJsonBody} from './json-body.js';
import {LOG_FAULTS_SCHEMA, type LogFaults} from './log-faults.js';

/** What the control of the log stand-in acts on. */
export interface LogControlTarget {
  faults(): LogFaults;
  setFaults(change: Partial<LogFaults>): Promise<void>;
  openDoor(): Promise<{readonly address: string}>;
  door(address: string): FaultyListener | undefined;
}

const FAULTS_CHANGE = LOG_FAULTS_SCHEMA.partial();
const DOOR_CHANGE = z.strictObject({down: z.enum(DOWN_MODES)});
const DOORS_PATH = '/standin/doors/';

/**
 * Opens the control of a log stand-in, for benches in other processes.
 *
 * @example
 * ```ts
 * const control = await createLogControl(target);
 * ```
 */
export function createLogControl(
  target: LogControlTarget,
): Promise<FaultyListener> {
  return createFaultyListener(async req => {
    if (req.method !== 'POST') return jsonReply(405, {});
    const {pathname} = req.url;
    const handler = HANDLERS[pathname];
    if (handler !== undefined) return handler(target, req);
    if (!pathname.startsWith(DOORS_PATH)) return jsonReply(404, {});
    return changeDoor(target, pathname.slice(DOORS_PATH.length), req);
  });
}

type ControlHandler = (
  target: LogControlTarget,
  req: StandinRequest,
) => Promise<StandinReply>;

const HANDLERS: Readonly<Record<string, ControlHandler>> = {
  '/standin/faults': async (target, req) => {
    const change = FAULTS_CHANGE.safeParse(parseJsonBody(req.body));
    if (!change.success) return jsonReply(400, {detail: change.error.message});
    await target.setFaults(change.data as Partial<LogFaults>);
    return jsonReply(200, target.faults());
  },
  '/standin/doors': async target => {
    const {address} = await target.openDoor();
    return jsonReply(201, {address});
  },
};

async function changeDoor(
  target: LogControlTarget,
  address: string,
  req: StandinRequest,
): Promise<StandinReply> {
  const door = target.door(address);
  if (door === undefined) return jsonReply(404, {});
  const change = DOOR_CHANGE.safeParse(parseJsonBody(req.body));
  if (!change.success) return jsonReply(400, {detail: change.error.message});
  await door.setDown(change.data.down);
  return jsonReply(200, {});
}
