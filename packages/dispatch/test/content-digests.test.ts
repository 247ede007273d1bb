import tap from 'tap';
import {
  digestContent,
  DIGEST_SCOPES,
  type DigestInput,
  type DigestScope,
} from '@banyandrum/dispatch/content-digests.js';

const ASKED: DigestInput = {
  caller: '10.0.0.9',
  method: 'POST',
  host: 'beds.example',
  path: '/checks/7?page=1',
  key: 7,
  body: Buffer.from('one'),
};

const ALL: readonly DigestScope[] = DIGEST_SCOPES;

/** Changes to a request, each with the scopes whose digests stay the same. */
const COMMON: readonly (readonly [
  Partial<DigestInput>,
  readonly DigestScope[],
])[] = [
  [{body: Buffer.from('one')}, ALL],
  [{host: 'Beds.example:8381'}, ALL],
  [{caller: '10.0.0.10'}, ['anyCaller', 'anyQuery']],
  [{key: null}, ['anyCaller', 'anyQuery']],
  [{path: '/checks/7?page=2'}, ['anyQuery']],
  [{path: '/checks/7'}, ['anyQuery']],
  [{path: '/checks/8?page=1'}, []],
  [{method: 'PUT'}, []],
  [{host: 'other.example'}, []],
  [{body: null}, []],
  [{body: Buffer.from('two')}, []],
];

// Guards against not recognizing a repeated request that crashes servers, and
// against refusing requests from other callers because of it.
void tap.test('similar requests share digests', async t => {
  const digests = digestContent(ASKED);
  for (const [change, common] of COMMON) {
    const other = digestContent({...ASKED, ...change});
    const same = ALL.filter(scope => digests[scope] === other[scope]);
    t.same(same, common, JSON.stringify(change));
  }
  t.equal(new Set(Object.values(digests)).size, ALL.length);
});
