import tap from 'tap';
import {contentOf, type Asked} from '@banyandrum/dispatch/content.js';

const ASKED: Asked = {
  caller: '10.0.0.9',
  method: 'POST',
  host: 'beds.example',
  path: '/checks/7?page=1',
  key: 7,
  body: Buffer.from('one'),
};

void tap.test('the same content has the same digest', async t => {
  t.equal(contentOf(ASKED), contentOf({...ASKED, body: Buffer.from('one')}));
});

// What one caller's request did must never be held against another's.
void tap.test('any other content has another digest', async t => {
  const others: readonly Partial<Asked>[] = [
    {caller: '10.0.0.10'},
    {method: 'PUT'},
    {host: 'other.example'},
    {path: '/checks/7?page=2'},
    {key: null},
    {body: null},
    {body: Buffer.from('two')},
  ];
  const digests = others.map(other => contentOf({...ASKED, ...other}));
  t.equal(new Set([contentOf(ASKED), ...digests]).size, others.length + 1);
});
