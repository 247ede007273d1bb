import type {DigestScope} from './content-digests.js';
import type {Standing, Strike, Suspect} from './suspect.js';

/** So many servers must have ended under a request, one in a trial at least. */
const MIN_STRIKES = 3;
/**
 * A wider digest stands for several requests: where all ends are one narrower
 * one's, that alone is refused, and what others ask goes on.
 */
const MIN_NARROWER_DIGESTS = 2;

/** Servers that ended under quarantined requests, and the families of these. */
type AttributedCrashes = Map<string, Set<string>>;

/** How each content stands; those that are unknown are left out. */
export function standingsOf(
  rows: readonly Suspect[],
  alive: ReadonlySet<string>,
): ReadonlyMap<string, Standing> {
  const explained = attributeQuarantined(rows);
  const standings = new Map<string, Standing>();
  for (const row of rows) {
    if (row.isQuarantined) standings.set(row.content, 'quarantined');
    else if (unattributedStrikes(row, explained, alive).length > 0) {
      standings.set(row.content, 'suspected');
    }
  }
  return standings;
}

/** Those to be quarantined now, the one with the most strikes first. */
export function findToQuarantine(
  rows: readonly Suspect[],
  alive: ReadonlySet<string>,
): readonly Suspect[] {
  const explained = attributeQuarantined(rows);
  const guilty: Suspect[] = [];
  const open = rows.filter(({isQuarantined}) => !isQuarantined).sort(byStrikes);
  for (const row of open) {
    const strikes = unattributedStrikes(row, explained, alive);
    if (!mustQuarantine(row.scope, strikes)) continue;
    guilty.push(row);
    attribute(explained, row);
  }
  return guilty;
}

/** Strikes that no other request explains. */
function unattributedStrikes(
  {strikes, family}: Suspect,
  explained: AttributedCrashes,
  alive: ReadonlySet<string>,
): readonly Strike[] {
  return strikes.filter(({server}) => {
    const families = explained.get(server);
    const isOwn = families === undefined || families.has(family);
    return isOwn && !alive.has(server);
  });
}

function attribute(
  explained: AttributedCrashes,
  {family, strikes}: Suspect,
): void {
  for (const {server} of strikes) {
    const families = explained.get(server) ?? new Set();
    explained.set(server, families.add(family));
  }
}

function attributeQuarantined(rows: readonly Suspect[]): AttributedCrashes {
  const explained: AttributedCrashes = new Map();
  for (const row of rows) if (row.isQuarantined) attribute(explained, row);
  return explained;
}

function mustQuarantine(
  scope: DigestScope,
  strikes: readonly Strike[],
): boolean {
  // Servers that end together mark whatever they ran, a busy read many times
  // at once; only a trial shows that the next one ends as well.
  const isTried = strikes.some(({isTrial}) => isTrial);
  if (strikes.length < MIN_STRIKES || !isTried) return false;
  const narrower = new Set(strikes.map(({by}) => by));
  return scope === 'exact' || narrower.size >= MIN_NARROWER_DIGESTS;
}

/** Any order will do among equals, if it is the same at every leader. */
function byStrikes(a: Suspect, b: Suspect): number {
  const more = b.strikes.length - a.strikes.length;
  return more !== 0 ? more : a.content < b.content ? -1 : 1;
}
