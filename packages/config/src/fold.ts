import type {Offset} from '@banyandrum/base/ids.js';
import {checkPublication, type InForce} from './check-publication.js';
import {decodeRecord} from './codec.js';
import type {DecodedRecord} from './codec.js';
import type {Inventory, Service} from './inventory.js';
import {DEFAULT_RULES} from './default-rules.js';
import {applyViews} from './fold-views.js';
import {formatProblem} from './problem.js';
import type {
  AttestationRecord,
  DrainRecord,
  PublicationRecord,
  StateRecord,
} from './records.js';
import type {AuditEntry, AuditOutcome, ClusterState} from './state.js';

export const MAX_AUDIT_ENTRIES = 500;
export const MAX_CHANGE_IDS = 5_000;
export const MAX_DRAINS = 10_000;
export const MAX_ATTESTATIONS = 1_000;
export const MAX_RETIRED = 1_000;

const MAX_DETAIL_LENGTH = 400;

/** The state before the first record. */
export const EMPTY_STATE: ClusterState = {
  next: 1,
  publication: null,
  inventory: {places: [], services: [], servers: []},
  rules: DEFAULT_RULES,
  retired: [],
  views: new Map(),
  drains: new Set(),
  attestations: [],
  audit: [],
  changeIds: new Map(),
};

/**
 * The state after one more record; pure, and alike for every reader that has
 * read the same records, through a snapshot or not. Bytes that are no record
 * change nothing but the audit trail. A record already applied is ignored.
 *
 * @example
 * ```ts
 * for (const {offset, data} of page.records) {
 *   state = applyRecord(state, offset, data);
 * }
 * ```
 */
export function applyRecord(
  state: ClusterState,
  offset: Offset,
  data: Uint8Array,
): ClusterState {
  return applyDecoded(state, offset, decodeRecord(data));
}

/** `applyRecord` for a record that has been decoded already. */
export function applyDecoded(
  state: ClusterState,
  offset: Offset,
  decoded: DecodedRecord,
): ClusterState {
  if (offset < state.next) return state;
  const moved = {...state, next: offset + 1};
  if (decoded.kind === 'newer') return moved;
  if (decoded.kind === 'unreadable') {
    return addAudit(moved, unreadableEntry(offset, decoded.detail));
  }
  return applyKind(moved, offset, decoded.record);
}

/** What later publications are held to; null before the first one. */
export function inForceOf(state: ClusterState): InForce | null {
  if (state.publication === null) return null;
  return {servers: state.inventory.servers, timing: state.rules.timing};
}

/** The version in force; 0 before the first publication. */
export function versionOf(state: ClusterState): Offset {
  return state.publication?.version ?? 0;
}

/** Services whose shards and cells are fixed: those listed and those removed. */
export function knownServices(state: ClusterState): readonly Service[] {
  return [...state.inventory.services, ...(state.retired ?? [])];
}

function applyKind(
  state: ClusterState,
  offset: Offset,
  record: StateRecord,
): ClusterState {
  switch (record.kind) {
    case 'publication':
      return applyPublication(state, offset, record);
    case 'views':
      return applyViews(state, offset, record);
    case 'drain':
      return applyDrain(state, offset, record);
    case 'attestation':
      return applyAttestation(state, offset, record);
    case 'snapshot':
      return state;
  }
}

function applyPublication(
  state: ClusterState,
  offset: Offset,
  record: PublicationRecord,
): ClusterState {
  const refuse = (outcome: AuditOutcome, detail: string): ClusterState =>
    addChange(state, toEntry(offset, record, outcome, detail));
  if (state.changeIds.has(record.changeId)) return refuse('duplicate', '');
  const version = versionOf(state);
  if (record.basedOn !== version) {
    const detail = `based on ${record.basedOn}, in force is ${version}`;
    return refuse('conflict', detail);
  }
  const checked = checkPublication(
    record,
    knownServices(state),
    inForceOf(state),
  );
  if (checked.err) {
    const first = checked.val[0];
    return refuse('invalid', first === undefined ? '' : formatProblem(first));
  }
  const {inventory, rules} = checked.val;
  const next: ClusterState = {
    ...state,
    inventory,
    rules,
    publication: {
      version: offset,
      changeId: record.changeId,
      author: record.author,
      reason: record.reason,
      publishedAt: record.at,
      inventoryToml: record.inventoryToml,
      rulesToml: record.rulesToml,
    },
    retired: retire(state, inventory),
    drains: dropRemoved(state, inventory),
  };
  return addChange(next, toEntry(offset, record, 'accepted', ''));
}

function retire(state: ClusterState, inventory: Inventory): readonly Service[] {
  const listed = new Set(inventory.services.map(service => service.name));
  return [...(state.retired ?? []), ...state.inventory.services]
    .filter(service => !listed.has(service.name))
    .slice(-MAX_RETIRED);
}

// A server that comes back under the name of one that was drained and then
// removed is a new one, and starts undrained.
function dropRemoved(
  state: ClusterState,
  inventory: Inventory,
): ReadonlySet<string> {
  const listed = new Set(inventory.servers.map(server => server.name));
  const removed = state.inventory.servers.filter(
    server => !listed.has(server.name) && state.drains.has(server.name),
  );
  if (removed.length === 0) return state.drains;
  const drains = new Set(state.drains);
  for (const server of removed) drains.delete(server.name);
  return drains;
}

function applyDrain(
  state: ClusterState,
  offset: Offset,
  record: DrainRecord,
): ClusterState {
  if (state.changeIds.has(record.changeId)) {
    return addChange(state, toEntry(offset, record, 'duplicate', ''));
  }
  const {target, draining} = record;
  const drains = new Set(state.drains);
  if (draining) drains.add(target);
  else drains.delete(target);
  if (drains.size > MAX_DRAINS) {
    const detail = `more than ${MAX_DRAINS} drains`;
    return addChange(state, toEntry(offset, record, 'invalid', detail));
  }
  const detail = `${draining ? 'drain' : 'end the drain of'} ${target}`;
  const entry = toEntry(offset, record, 'accepted', detail);
  return addChange({...state, drains}, entry);
}

function applyAttestation(
  state: ClusterState,
  offset: Offset,
  record: AttestationRecord,
): ClusterState {
  if (state.changeIds.has(record.changeId)) {
    return addChange(state, toEntry(offset, record, 'duplicate', ''));
  }
  const {host, boot} = record;
  const attestations = [...state.attestations, {offset, host, boot}];
  const detail = `${host} is lost, run ${boot}`;
  return addChange(
    {...state, attestations: attestations.slice(-MAX_ATTESTATIONS)},
    toEntry(offset, record, 'accepted', detail),
  );
}

function toEntry(
  offset: Offset,
  record: PublicationRecord | DrainRecord | AttestationRecord,
  outcome: AuditOutcome,
  detail: string,
): AuditEntry {
  const {kind, changeId, author, reason, at} = record;
  const clipped = detail.slice(0, MAX_DETAIL_LENGTH);
  return {offset, kind, changeId, author, reason, at, outcome, detail: clipped};
}

function unreadableEntry(offset: Offset, detail: string): AuditEntry {
  return {
    offset,
    kind: 'unreadable',
    changeId: '',
    author: '',
    reason: '',
    at: '',
    outcome: 'invalid',
    detail,
  };
}

function addAudit(state: ClusterState, entry: AuditEntry): ClusterState {
  const audit = [...state.audit, entry].slice(-MAX_AUDIT_ENTRIES);
  return {...state, audit};
}

// A repeat keeps the outcome of the first: that is what its author asks for.
function addChange(state: ClusterState, entry: AuditEntry): ClusterState {
  const next = addAudit(state, entry);
  if (state.changeIds.has(entry.changeId)) return next;
  const changeIds = new Map(state.changeIds).set(entry.changeId, entry);
  for (const oldest of changeIds.keys()) {
    if (changeIds.size <= MAX_CHANGE_IDS) break;
    changeIds.delete(oldest);
  }
  return {...next, changeIds};
}
