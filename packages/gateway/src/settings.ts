import type {OperatorToken, Role} from '@banyandrum/base/access.js';
import type {AnswerSizes} from '@banyandrum/dispatch/answer-limits.js';
import {parse} from 'smol-toml';
import type {HostCapacity} from './host-capacity.js';

/** Log level: `warn` leaves out answered requests, `off` logs nothing. */
export type LogLevel = 'info' | 'warn' | 'off';

/** Whether calls to the platform are held back while it answers none. */
export type StoreCallsMode = 'direct' | 'reduced';

/** How requests are scheduled; see `SettingsDefaults` for the defaults. */
export interface SchedulingSettings {
  /** What the time of a request is estimated from. */
  readonly requestTimes: 'per_service' | 'per_kind';
  /** What determines which server gets which keys. */
  readonly placement: 'utilization' | 'latency';
  /** The order of waiting requests of equal priority. */
  readonly queue: 'by_slack' | 'fair';
}

/** Settings of one router process. */
export interface Settings {
  readonly host: {
    readonly name: string;
    readonly dataCentre: string;
    readonly room: HostCapacity;
  };
  /** `ip:port` addresses that the process listens on. */
  readonly listen: {
    readonly callers: string;
    readonly readiness: string;
    readonly peers: string;
    readonly metrics: string;
  };
  readonly platform: {
    readonly address: string;
    /** Minimum time after which the platform removes silent routers, in ms. */
    readonly silenceMinMs: number;
    /** Whether the whole system is being started for the first time. */
    readonly isFirstStart: boolean;
    /** Whether calls are held back while the platform answers none. */
    readonly storeCalls: StoreCallsMode;
  };
  readonly configuration: {
    /** Time within which a new version must be in force, in ms. */
    readonly applyWithinMs: number;
  };
  readonly dataCentres: {
    /** The region of each data centre. */
    readonly regions: ReadonlyMap<string, string>;
    /** Time within which an evacuated data centre must be empty, in ms. */
    readonly evacuateWithinMs: number;
  };
  readonly servers: {
    /** Time within which a leaving server must stop getting requests, in ms. */
    readonly leaveWithinMs: number;
    /** The longest lease that servers accept, in ms. */
    readonly holdMaxMs: number;
  };
  readonly callers: {
    /** Limit of the bodies of all requests together, in bytes. */
    readonly maxBodiesBytes: number;
    /** Connections that may be open. */
    readonly maxConnections: number;
    /** Open requests above which each connection has one at a time. */
    readonly maxRequests: number;
    /** Limit of the bytes that were received and not parsed. */
    readonly maxUnparsedBytes: number;
    /** Limit of the answers that callers have not read, in bytes. */
    readonly maxUnreadBytes: number;
    /** Longest time in which a caller reads nothing of an answer, in ms. */
    readonly maxUnreadMs: number;
  };
  /** Limits of what servers send as answers. */
  readonly answers: AnswerSizes;
  readonly stop: {
    /** Time from the stop signal to the end of the process, in ms. */
    readonly graceMs: number;
  };
  readonly retries: {
    readonly ratio: number;
    readonly slack: number;
    /** Length of the window in which the retries are counted, in ms. */
    readonly windowMs: number;
  };
  readonly scheduling: SchedulingSettings;
  readonly logging: {
    readonly level: LogLevel;
  };
  readonly operators: {
    /** Tokens of operators who may see and clear quarantined requests. */
    readonly tokens: readonly OperatorToken[];
  };
}

const LOG_LEVELS: readonly LogLevel[] = ['info', 'warn', 'off'];

/** Values of settings that the text doesn't set. */
export interface SettingsDefaults {
  readonly scheduling: SchedulingSettings;
  readonly storeCalls: StoreCallsMode;
}

/** Schedules all requests of a service alike. */
export const DEFAULT_SCHEDULING: SchedulingSettings = {
  requestTimes: 'per_service',
  placement: 'utilization',
  queue: 'by_slack',
};

const DEFAULTS: SettingsDefaults = {
  scheduling: DEFAULT_SCHEDULING,
  storeCalls: 'direct',
};

const BYTES_PER_MIB = 1024 ** 2;
const MB_PER_MIB = BYTES_PER_MIB / 1e6;
/** Memory of a host that doesn't tell it, in MB: that of the smallest ones. */
const DEFAULT_MEMORY_MB = 250;
/** What the process takes without any request, in MB. */
const PROCESS_MB = 90;
/** Part of a small memory that requests may take nevertheless. */
const MIN_SPARE_SHARE = 1 / 4;
/** Share of the spare memory that the bodies of requests may take. */
const BODIES_SHARE = 0.35;
/** Share of it that answers may take which callers have not read. */
const UNREAD_SHARE = 0.15;
/** Share of it that received bytes may take until they are parsed. */
const UNPARSED_SHARE = 1 / 16;
/** Descriptors of a host that doesn't tell them: those of the smallest ones. */
const DEFAULT_DESCRIPTORS = 4_096;
/** Descriptors that are left to files. */
const FILE_DESCRIPTORS = 200;
/** Share of the others for callers; servers, routers and the store need some. */
const CALLERS_SHARE = 0.75;
/** Part of the memory for each request that may be open, in MiB. */
const MIB_PER_REQUEST = 1 / 8;
/** Share of the memory that answers may take while they are received. */
const ANSWERS_SHARE = 1 / 4;
/** So that some answers without end leave room for others. */
const MAX_ANSWER_SHARE = 1 / 4;
const DEFAULT_MAX_ANSWER_MIB = 16;

/** An invalid setting; the message names its key. */
export class SettingsError extends Error {
  override readonly name = 'SettingsError';
}

/**
 * Parses settings in TOML; `defaults` are used for keys that the text doesn't
 * set.
 *
 * @throws SettingsError that names the first invalid key.
 *
 * @example
 * ```ts
 * const settings = parseSettings(await readFile(path, 'utf8'));
 * ```
 */
export function parseSettings(
  text: string,
  {scheduling, storeCalls}: SettingsDefaults = DEFAULTS,
): Settings {
  const root = parseToml(text);
  const valueAt = (section: string, key: string): unknown => {
    const table = root[section];
    return isTable(table) ? table[key] : undefined;
  };
  const stringAt = (
    section: string,
    key: string,
    fallback?: string,
  ): string => {
    const value = valueAt(section, key) ?? fallback;
    if (typeof value === 'string' && value !== '') return value;
    throw new SettingsError(`${section}.${key}: must be a non-empty text`);
  };
  const numberAt = (section: string, key: string, fallback: number): number => {
    const value = valueAt(section, key) ?? fallback;
    if (typeof value === 'number' && value >= 0 && value < Infinity)
      return value;
    throw new SettingsError(`${section}.${key}: must be a number of 0 or more`);
  };
  const booleanAt = (section: string, key: string): boolean => {
    const value = valueAt(section, key) ?? false;
    if (typeof value === 'boolean') return value;
    throw new SettingsError(`${section}.${key}: must be true or false`);
  };
  const choiceAt = <T extends string>(
    section: string,
    key: string,
    choices: readonly T[],
    fallback: T,
  ): T =>
    checkChoice(`${section}.${key}`, choices, stringAt(section, key, fallback));
  const durationAt = (section: string, key: string, fallback: string): number =>
    parseDuration(`${section}.${key}`, stringAt(section, key, fallback));
  const addressAt = (section: string, key: string): string =>
    checkAddress(`${section}.${key}`, stringAt(section, key));
  const sizeAt = (key: string, fallbackMib: number): number =>
    checkPositive(`answers.${key}`, numberAt('answers', key, fallbackMib)) *
    BYTES_PER_MIB;
  const memoryMb = checkPositive(
    'host.memory_mb',
    numberAt('host', 'memory_mb', DEFAULT_MEMORY_MB),
  );
  const memoryMib = memoryMb / MB_PER_MIB;
  const spareMib =
    Math.max(memoryMb - PROCESS_MB, memoryMb * MIN_SPARE_SHARE) / MB_PER_MIB;
  const socketDescriptors =
    checkPositive(
      'host.max_descriptors',
      numberAt('host', 'max_descriptors', DEFAULT_DESCRIPTORS),
    ) - FILE_DESCRIPTORS;
  const bodiesBytes = (): number =>
    checkPositive(
      'callers.bodies_mib',
      numberAt('callers', 'bodies_mib', spareMib * BODIES_SHARE),
    ) * BYTES_PER_MIB;
  const answerSizes = (): AnswerSizes => {
    const totalBytes = sizeAt('total_mib', memoryMib * ANSWERS_SHARE);
    const totalMib = totalBytes / BYTES_PER_MIB;
    const defaultMaxMib = Math.min(
      DEFAULT_MAX_ANSWER_MIB,
      totalMib * MAX_ANSWER_SHARE,
    );
    const maxBytes = sizeAt('max_mib', defaultMaxMib);
    if (maxBytes <= totalBytes) return {maxBytes, totalBytes};
    throw new SettingsError('answers.max_mib: must not exceed total_mib');
  };
  return {
    host: {
      name: stringAt('host', 'name'),
      dataCentre: stringAt('host', 'data_centre'),
      room: {
        processors:
          numberAt('host', 'processor_share', 1) *
          numberAt('host', 'processor_speed', 1),
        linkMbps: numberAt('host', 'link_mbps', 1_000),
      },
    },
    listen: {
      callers: addressAt('listen', 'callers'),
      readiness: addressAt('listen', 'readiness'),
      peers: addressAt('listen', 'peers'),
      metrics: addressAt('listen', 'metrics'),
    },
    platform: {
      address: addressAt('platform', 'address'),
      silenceMinMs: durationAt('platform', 'silence_min', '1s'),
      isFirstStart: booleanAt('platform', 'first_start'),
      storeCalls: choiceAt(
        'platform',
        'store_calls',
        ['direct', 'reduced'],
        storeCalls,
      ),
    },
    configuration: {
      applyWithinMs: checkPositive(
        'configuration.apply_within',
        durationAt('configuration', 'apply_within', '2s'),
      ),
    },
    dataCentres: {
      regions: checkRegions(root['regions'] ?? {}),
      evacuateWithinMs: checkPositive(
        'data_centres.evacuate_within',
        durationAt('data_centres', 'evacuate_within', '5s'),
      ),
    },
    servers: {
      leaveWithinMs: durationAt('servers', 'leave_within', '2s'),
      holdMaxMs: durationAt('servers', 'hold_max', '10s'),
    },
    callers: {
      maxBodiesBytes: bodiesBytes(),
      maxConnections: checkPositive(
        'callers.connections',
        numberAt(
          'callers',
          'connections',
          Math.max(Math.floor(socketDescriptors * CALLERS_SHARE), 1),
        ),
      ),
      maxRequests: checkPositive(
        'callers.requests',
        numberAt('callers', 'requests', memoryMib / MIB_PER_REQUEST),
      ),
      maxUnparsedBytes: spareMib * UNPARSED_SHARE * BYTES_PER_MIB,
      maxUnreadBytes:
        checkPositive(
          'callers.unread_mib',
          numberAt('callers', 'unread_mib', spareMib * UNREAD_SHARE),
        ) * BYTES_PER_MIB,
      maxUnreadMs: checkPositive(
        'callers.unread_time',
        durationAt('callers', 'unread_time', '10s'),
      ),
    },
    answers: answerSizes(),
    stop: {graceMs: durationAt('stop', 'grace', '6s')},
    retries: {
      ratio: numberAt('retries', 'ratio', 0.2),
      slack: numberAt('retries', 'slack', 20),
      windowMs: checkPositive(
        'retries.window',
        durationAt('retries', 'window', '10s'),
      ),
    },
    scheduling: {
      requestTimes: choiceAt(
        'scheduling',
        'request_times',
        ['per_service', 'per_kind'],
        scheduling.requestTimes,
      ),
      placement: choiceAt(
        'scheduling',
        'placement',
        ['utilization', 'latency'],
        scheduling.placement,
      ),
      queue: choiceAt(
        'scheduling',
        'queue',
        ['by_slack', 'fair'],
        scheduling.queue,
      ),
    },
    logging: {level: choiceAt('logging', 'level', LOG_LEVELS, 'info')},
    operators: {tokens: checkTokens(valueAt('operators', 'tokens') ?? [])},
  };
}

/** Parses a duration such as `1500ms` or `2.5s` to ms. */
export function parseDuration(key: string, text: string): number {
  const match = /^(\d+(?:\.\d+)?)(ms|s)$/.exec(text);
  if (match === null)
    throw new SettingsError(`${key}: ${text} is not a valid time`);
  return Number(match[1]) * (match[2] === 's' ? 1000 : 1);
}

function checkPositive(key: string, value: number): number {
  if (value > 0) return value;
  throw new SettingsError(`${key}: must be more than 0`);
}

function parseToml(text: string): Record<string, unknown> {
  try {
    return parse(text);
  } catch (err) {
    throw new SettingsError((err as Error).message);
  }
}

function isTable(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null;
}

function checkAddress(key: string, text: string): string {
  if (/^\d+\.\d+\.\d+\.\d+:\d+$/.test(text)) return text;
  throw new SettingsError(
    `${key}: ${text} is not an address by IP number and port`,
  );
}

function checkRegions(table: unknown): ReadonlyMap<string, string> {
  if (!isTable(table)) throw new SettingsError('regions: must be a table');
  return new Map(
    Object.entries(table).map(([dataCentre, region]) => {
      if (typeof region === 'string' && region !== '')
        return [dataCentre, region];
      throw new SettingsError(
        `regions.${dataCentre}: must be a non-empty text`,
      );
    }),
  );
}

function checkChoice<T extends string>(
  key: string,
  choices: readonly T[],
  text: string,
): T {
  const choice = choices.find(each => each === text);
  if (choice !== undefined) return choice;
  throw new SettingsError(`${key}: matches none of ${choices.join(', ')}`);
}

const ROLES: readonly Role[] = ['viewer', 'publisher'];

function checkTokens(tokens: unknown): readonly OperatorToken[] {
  if (!Array.isArray(tokens)) {
    throw new SettingsError('operators.tokens: must be a list of tokens');
  }
  return tokens.map((token: unknown, at) => {
    const name = `operators.tokens[${at}]`;
    if (!isTable(token)) throw new SettingsError(`${name}: must be a table`);
    const {operator, role, sha256} = token;
    if (typeof operator !== 'string' || operator === '') {
      throw new SettingsError(`${name}.operator: must be a non-empty text`);
    }
    const known = ROLES.find(each => each === role);
    if (known === undefined) {
      throw new SettingsError(
        `${name}.role: matches none of ${ROLES.join(', ')}`,
      );
    }
    if (typeof sha256 !== 'string' || !/^[0-9a-f]{64}$/i.test(sha256)) {
      throw new SettingsError(`${name}.sha256: must be 64 hexadecimal digits`);
    }
    return {operator, role: known, sha256};
  });
}
