/**
 * Memoizes the last result of `make` for as long as the arguments are the same
 * objects. The host list, the inventory and the views are replaced when they
 * change, so what is derived from them need not be recomputed at each tick.
 *
 * @example
 * ```ts
 * const ringOf = createMemo(createRing);
 * ringOf(membership.candidates());
 * ```
 */
export function createMemo<Args extends readonly unknown[], Value>(
  make: (...args: Args) => Value,
): (...args: Args) => Value {
  let last: {readonly args: Args; readonly value: Value} | null = null;
  return (...args) => {
    if (last === null || args.some((arg, i) => arg !== last!.args[i])) {
      last = {args, value: make(...args)};
    }
    return last.value;
  };
}
