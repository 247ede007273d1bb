import {Err, Ok, type Result} from '@banyandrum/base/result.js';
import {checkPublication} from '@banyandrum/config/check-publication.js';
import {inForceOf, knownServices, versionOf} from '@banyandrum/config/fold.js';
import {formatProblem} from '@banyandrum/config/problem.js';
import type {StateRecord} from '@banyandrum/config/records.js';
import type {StateStore} from '@banyandrum/config/store.js';
import type {
  OperatorActions,
  OperatorError,
} from '@banyandrum/operators/actions.js';
import type {ChangeAccepted} from '@banyandrum/operators/messages.js';

/** The actions by which operators change something for all routers. */
export type OperatorChanges = Pick<
  OperatorActions,
  'publish' | 'drain' | 'attest' | 'change'
>;

/** How long an operator waits for a change to be read back, in ms. */
const CHANGE_TIMEOUT_MS = 8_000;

type Change = Extract<StateRecord, {readonly changeId: string}>;

/**
 * Carries changes to the log. A change id that was seen before yields the
 * first one's outcome, so a lost reply may be answered by asking again.
 *
 * @example
 * ```ts
 * const changes = createOperatorChanges(store);
 * const accepted = await changes.publish(operator, req);
 * ```
 */
export function createOperatorChanges(store: StateStore): OperatorChanges {
  return {
    publish: async (operator, req) => {
      const known = findOutcome(store, req.changeId);
      if (known !== null) return known;
      const state = store.current();
      const checked = checkPublication(
        req,
        knownServices(state),
        inForceOf(state),
      );
      if (checked.err) {
        const problems = checked.val.map(formatProblem);
        const detail = problems[0] ?? 'invalid';
        return Err({kind: 'invalid', detail, problems});
      }
      const inForce = versionOf(store.current());
      // Above it: this router lags behind; the log's order decides.
      if (req.basedOn < inForce) return Err(conflict(req.basedOn, inForce));
      const author = operator.name;
      const at = new Date().toISOString();
      return append(store, {kind: 'publication', ...req, author, at});
    },
    drain: async (operator, req) => {
      const author = operator.name;
      const at = new Date().toISOString();
      return append(store, {kind: 'drain', ...req, author, at});
    },
    attest: async (operator, req) => {
      const boot = req.boot ?? lastBoot(store, req.host);
      if (boot === null) return Err(unknownHost(req.host));
      const author = operator.name;
      const at = new Date().toISOString();
      return append(store, {kind: 'attestation', ...req, boot, author, at});
    },
    change: async changeId => {
      const entry = store.current().changeIds.get(changeId);
      if (entry === undefined) {
        const detail = `no change ${changeId} has been read`;
        return Err({kind: 'not-found', detail});
      }
      return Ok(entry);
    },
  };
}

async function append(
  store: StateStore,
  change: Change,
): Promise<Result<ChangeAccepted, OperatorError>> {
  const {changeId} = change;
  const known = findOutcome(store, changeId);
  if (known !== null) return known;
  const signal = AbortSignal.timeout(CHANGE_TIMEOUT_MS);
  const appended = await store.append(change, signal);
  const outcome = findOutcome(store, changeId);
  if (outcome !== null) return outcome;
  if (appended.ok) return Ok({changeId, offset: appended.val.offset});
  const {kind, detail} = appended.val;
  if (kind === 'unknown') return Err({kind: 'unknown', detail});
  if (kind === 'too-large') return Err({kind: 'invalid', detail});
  return Err({kind: 'unavailable', detail});
}

/** What became of a change that was read, or null. */
function findOutcome(
  store: StateStore,
  changeId: string,
): Result<ChangeAccepted, OperatorError> | null {
  const state = store.current();
  const entry = state.changeIds.get(changeId);
  if (entry === undefined) return null;
  const {offset, outcome, detail} = entry;
  if (outcome === 'accepted' || outcome === 'duplicate') {
    return Ok({changeId, offset});
  }
  if (outcome === 'conflict') {
    return Err({kind: 'conflict', detail, inForce: versionOf(state)});
  }
  return Err({kind: 'invalid', detail});
}

function conflict(basedOn: number, inForce: number): OperatorError {
  const detail = `based on version ${basedOn}, but ${inForce} is in force`;
  return {kind: 'conflict', detail, inForce};
}

/** The run of a host's router that last had a role, as far as known. */
function lastBoot(store: StateStore, host: string): string | null {
  const views = [...store.current().views.values()];
  const pairs = views.flatMap(view => [view, ...view.unsettled]);
  const newestFirst = pairs.sort((a, b) => b.epoch - a.epoch);
  for (const {leader, standby} of newestFirst) {
    if (leader.host === host) return leader.boot;
    if (standby?.host === host) return standby.boot;
  }
  return null;
}

function unknownHost(host: string): OperatorError {
  const detail = `${host} leads nothing and is nobody's standby`;
  return {kind: 'not-found', detail};
}
