/** An entry with links to the next older and newer ones, set by the list. */
export interface AgedNode<N> {
  /** Increases with each arrival. */
  readonly order: number;
  older: N | null;
  newer: N | null;
}

/** A list ordered by age with removal in constant time. */
export interface AgeList<N extends AgedNode<N>> {
  /** Adds the newest entry. */
  append(node: N): void;
  /** Adds a removed entry again; fast if it is among the oldest. */
  putBack(node: N): void;
  remove(node: N): void;
  oldest(): N | null;
}

/**
 * Creates an empty list.
 *
 * @example
 * ```ts
 * const ages = createAgeList<Ticket>();
 * ages.append(ticket);
 * ages.oldest();
 * ```
 */
export function createAgeList<N extends AgedNode<N>>(): AgeList<N> {
  let oldest: N | null = null;
  let newest: N | null = null;

  const link = (older: N | null, node: N, newer: N | null): void => {
    node.older = older;
    node.newer = newer;
    if (older === null) oldest = node;
    else older.newer = node;
    if (newer === null) newest = node;
    else newer.older = node;
  };

  return {
    append: node => link(newest, node, null),
    putBack(node) {
      let newer = oldest;
      while (newer !== null && newer.order < node.order) newer = newer.newer;
      link(newer === null ? newest : newer.older, node, newer);
    },
    remove({older, newer}) {
      if (older === null) oldest = newer;
      else older.newer = newer;
      if (newer === null) newest = older;
      else newer.older = older;
    },
    oldest: () => oldest,
  };
}
