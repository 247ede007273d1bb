import {createHash, timingSafeEqual} from 'node:crypto';

/** Role of an operator; a publisher has all permissions of a viewer. */
export type Role = 'viewer' | 'publisher';

/** An authenticated operator. */
export interface Operator {
  readonly name: string;
  readonly role: Role;
}

/** An operator's token; only its digest is stored. */
export interface OperatorToken {
  readonly operator: string;
  readonly role: Role;
  /** SHA-256 of the token, as 64 hexadecimal digits. */
  readonly sha256: string;
}

/** Returns the operator for an `authorization` header; null if unknown. */
export type Authenticate = (header: string | undefined) => Operator | null;

const DIGEST = /^[0-9a-f]{64}$/i;
const BEARER = /^bearer +([\x21-\x7e]{1,512})$/i;

const RANK: Readonly<Record<Role, number>> = {viewer: 0, publisher: 1};

/**
 * Creates a function that authenticates operators by bearer token. It compares
 * every digest, each in constant time, so that the response time reveals
 * nothing about the tokens. Throws on a malformed digest.
 *
 * @example
 * ```ts
 * const authenticate = createAuthenticate([
 *   {operator: 'ayesha', role: 'publisher', sha256: digestToken('s3cret')},
 * ]);
 * authenticate('Bearer s3cret'); // {name: 'ayesha', role: 'publisher'}
 * ```
 */
export function createAuthenticate(
  tokens: readonly OperatorToken[],
): Authenticate {
  const known = tokens.map(token => ({
    operator: {name: token.operator, role: token.role},
    digest: parseDigest(token),
  }));
  return header => {
    const presented = BEARER.exec(header ?? '')?.[1];
    if (presented === undefined) return null;
    const digest = sha256(presented);
    let found: Operator | null = null;
    for (const candidate of known) {
      if (timingSafeEqual(candidate.digest, digest)) found = candidate.operator;
    }
    return found;
  };
}

/** Whether the operator has the permissions of `role`. */
export function hasRole(operator: Operator, role: Role): boolean {
  return RANK[operator.role] >= RANK[role];
}

/**
 * The digest of a token in the format of the settings.
 *
 * @example
 * ```ts
 * digestToken('s3cret'); // 64 hexadecimal digits
 * ```
 */
export function digestToken(token: string): string {
  return sha256(token).toString('hex');
}

function parseDigest({operator, sha256}: OperatorToken): Buffer {
  if (DIGEST.test(sha256)) return Buffer.from(sha256, 'hex');
  throw new Error(`token of ${operator}: sha256 must be 64 hex digits`);
}

function sha256(text: string): Buffer {
  return createHash('sha256').update(text).digest();
}
