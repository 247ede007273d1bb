import {createHash, timingSafeEqual} from 'node:crypto';

/** What a token allows; a publisher may do all that a viewer may. */
export type Role = 'viewer' | 'publisher';

/** Who asks, by the token presented. */
export interface Operator {
  readonly name: string;
  readonly role: Role;
}

/** A token that an operator may present, known by its digest alone. */
export interface OperatorToken {
  readonly operator: string;
  readonly role: Role;
  /** SHA-256 of the token, as 64 hexadecimal digits. */
  readonly sha256: string;
}

/** Tells who presents an `authorization` header; null where nobody known. */
export type Authenticate = (header: string | undefined) => Operator | null;

const DIGEST = /^[0-9a-f]{64}$/i;
const BEARER = /^bearer +([\x21-\x7e]{1,512})$/i;

const RANK: Readonly<Record<Role, number>> = {viewer: 0, publisher: 1};

/**
 * Compares presented tokens with the known ones. Digests are compared in
 * constant time and all of them each time, so that the time an answer takes
 * tells nothing of a token. Throws on a malformed digest.
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

/** Whether the operator may do what needs `role`. */
export function hasRole(operator: Operator, role: Role): boolean {
  return RANK[operator.role] >= RANK[role];
}

/**
 * The digest of a token as the settings hold it.
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
