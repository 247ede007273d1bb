interface Closable {
  readonly address: string;
  readonly controlAddress: string;
  close(): Promise<void>;
}

/**
 * Prints a stand-in's addresses as one line of JSON on stdout, and closes it
 * on SIGTERM or SIGINT.
 *
 * @example
 * ```ts
 * runUntilSigterm(await createLogStandin());
 * // {"address":"127.0.0.1:40123","controlAddress":"127.0.0.1:40124"}
 * ```
 */
export function runUntilSigterm(standin: Closable): void {
  const {address, controlAddress} = standin;
  process.stdout.write(`${JSON.stringify({address, controlAddress})}\n`);
  const stop = (): void => {
    void standin.close();
  };
  process.once('SIGTERM', stop);
  process.once('SIGINT', stop);
}
