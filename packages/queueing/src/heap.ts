/** An entry that stores its index, so that it can be removed. */
export interface HeapNode {
  /** Index in the heap, set by the heap; -1 outside of it. */
  index: number;
}

/** A binary heap with the least entry by `isBefore` on top. */
export interface Heap<N extends HeapNode> {
  push(node: N): void;
  top(): N | undefined;
  /** Returns `false` if the node isn't in the heap. */
  remove(node: N): boolean;
  /** All nodes in no particular order; must not be changed. */
  readonly nodes: readonly N[];
}

/**
 * Creates an empty heap.
 *
 * @example
 * ```ts
 * const heap = createHeap<Ticket>((a, b) => a.tag < b.tag);
 * heap.push(ticket);
 * heap.remove(ticket);
 * ```
 */
export function createHeap<N extends HeapNode>(
  isBefore: (a: N, b: N) => boolean,
): Heap<N> {
  const nodes: N[] = [];

  const put = (node: N, index: number): void => {
    nodes[index] = node;
    node.index = index;
  };

  const rise = (node: N, start: number): void => {
    let index = start;
    while (index > 0) {
      const above = (index - 1) >> 1;
      const parent = nodes[above] as N;
      if (!isBefore(node, parent)) break;
      put(parent, index);
      index = above;
    }
    put(node, index);
  };

  const sink = (node: N, start: number): void => {
    let index = start;
    for (;;) {
      const below = lesserChild(index);
      if (below < 0 || !isBefore(nodes[below] as N, node)) break;
      put(nodes[below] as N, index);
      index = below;
    }
    put(node, index);
  };

  const lesserChild = (index: number): number => {
    const left = 2 * index + 1;
    const right = left + 1;
    if (left >= nodes.length) return -1;
    if (right >= nodes.length) return left;
    return isBefore(nodes[right] as N, nodes[left] as N) ? right : left;
  };

  return {
    nodes,
    push: node => rise(node, nodes.length),
    top: () => nodes[0],
    remove(node) {
      const {index} = node;
      if (nodes[index] !== node) return false;
      node.index = -1;
      const last = nodes.pop() as N;
      if (last === node) return true;
      sink(last, index);
      if (last.index === index) rise(last, index);
      return true;
    },
  };
}
