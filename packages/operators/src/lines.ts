const MAX_LINE_LENGTH = 1024 * 1024;

/**
 * Splits a stream of bytes into lines without their ends. A last line without
 * an end is a cut one and throws, as does one of more than 1 MiB.
 *
 * @example
 * ```ts
 * for await (const line of readLines(body)) handle(JSON.parse(line));
 * ```
 */
export async function* readLines(
  chunks: AsyncIterable<Uint8Array>,
): AsyncGenerator<string> {
  const decoder = new TextDecoder();
  let rest = '';
  for await (const chunk of chunks) {
    const lines = (rest + decoder.decode(chunk, {stream: true})).split('\n');
    rest = lines.pop() ?? '';
    if (rest.length > MAX_LINE_LENGTH) throw new Error('line too long');
    yield* lines;
  }
  if (rest !== '') throw new Error('the last line was cut short');
}
