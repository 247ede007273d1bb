/** The size to design for, as its users gave it. */
export const USERS = {
  nodes: 4_700,
  keys: 3.3e9,
  requestsPerSecond: 18e6,
  dataCentres: 22,
  regions: 6,
  changesPerDay: 11_000,
  lostPerDay: 22,
  replacedPerDay: 560,
  /** A node's control; processor time and bytes are a second's. */
  budget: {cpuUs: 16_000, memory: 32e6, bytes: 4_000},
} as const;

/** What nobody has told us; the page says so. */
export const ASSUMED = {
  cells: 4_700,
  shardsOfCell: 64,
  serversOfCell: 4,
  hostsOfRack: 40,
  changeBytes: 400,
  appendsPerSecond: 300,
  /** Until an append is read back, in ms, is twice this. */
  logMs: 50,
  /** A lease order and its answer, in ms. */
  orderMs: 50,
  outageMinutes: 60,
} as const;

/** Times of the protocol as the rules have them by default. */
export const TIMES = {
  suspicionMs: 750,
  probeMs: 250,
  authorityMs: 1_000,
  leaseMs: 2_000,
  renewMs: 500,
  driftMarginMs: 20,
  driftShare: 0.01,
  consentPerSecond: 4,
  pollsPerSecond: 4,
} as const;

export const DAY_S = 86_400;
