import type {DigestScope} from './content-digests.js';
import type {Standing, Strike, Suspect} from './suspect.js';

/** Server crashes, at least one of them in a trial, before a quarantine. */
const MIN_STRIKES = 3;
/**
 * A wider digest matches several narrower ones. It is quarantined only if
 * crashes occurred with at least this many of them; otherwise the narrower
 * digest is quarantined and other requests are still served.
 */
const MIN_NARROWER_DIGESTS = 2;

/**
 * Families of quarantined requests, by the crashed servers attributed to them.
 */
type AttributedCrashes = Map<string, Set<string>>;

/** Returns the standing of each digest, without those that are unknown. */
export function standingsOf(
  rows: readonly Suspect[],
  aliveServers: ReadonlySet<string>,
): ReadonlyMap<string, Standing> {
  const attributed = attributeQuarantined(rows);
  const standings = new Map<string, Standing>();
  for (const row of rows) {
    if (row.isQuarantined) standings.set(row.content, 'quarantined');
    else if (unattributedStrikes(row, attributed, aliveServers).length > 0) {
      standings.set(row.content, 'suspected');
    }
  }
  return standings;
}

/** Returns the rows to be quarantined now, ordered by strikes, most first. */
export function findToQuarantine(
  rows: readonly Suspect[],
  aliveServers: ReadonlySet<string>,
): readonly Suspect[] {
  const attributed = attributeQuarantined(rows);
  const quarantinable: Suspect[] = [];
  const unquarantined = rows
    .filter(({isQuarantined}) => !isQuarantined)
    .sort(byStrikes);
  for (const row of unquarantined) {
    const strikes = unattributedStrikes(row, attributed, aliveServers);
    if (!mustQuarantine(row.scope, strikes)) continue;
    quarantinable.push(row);
    attribute(attributed, row);
  }
  return quarantinable;
}

/**
 * Returns the strikes that aren't attributed to a quarantined request of
 * another family, and whose servers weren't found alive later.
 */
function unattributedStrikes(
  {strikes, family}: Suspect,
  attributed: AttributedCrashes,
  aliveServers: ReadonlySet<string>,
): readonly Strike[] {
  return strikes.filter(({server}) => {
    const families = attributed.get(server);
    const isUnattributed = families === undefined || families.has(family);
    return isUnattributed && !aliveServers.has(server);
  });
}

function attribute(
  attributed: AttributedCrashes,
  {family, strikes}: Suspect,
): void {
  for (const {server} of strikes) {
    const families = attributed.get(server) ?? new Set();
    attributed.set(server, families.add(family));
  }
}

function attributeQuarantined(rows: readonly Suspect[]): AttributedCrashes {
  const attributed: AttributedCrashes = new Map();
  for (const row of rows) if (row.isQuarantined) attribute(attributed, row);
  return attributed;
}

function mustQuarantine(
  scope: DigestScope,
  strikes: readonly Strike[],
): boolean {
  // If many servers fail together, each request that they ran gets a strike,
  // and a frequent one several. Only a trial shows that it crashes the next
  // server.
  const hasTrial = strikes.some(({isTrial}) => isTrial);
  if (strikes.length < MIN_STRIKES || !hasTrial) return false;
  const narrowerDigests = new Set(strikes.map(({by}) => by));
  return scope === 'exact' || narrowerDigests.size >= MIN_NARROWER_DIGESTS;
}

/** Sorts by strikes, then by digest so that each leader gets the same order. */
function byStrikes(a: Suspect, b: Suspect): number {
  const difference = b.strikes.length - a.strikes.length;
  return difference !== 0 ? difference : a.content < b.content ? -1 : 1;
}
