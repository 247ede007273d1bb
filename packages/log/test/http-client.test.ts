import tap from 'tap';
import {createLogClient} from '@banyandrum/log/http-client.js';
import {createLogStandin} from '@banyandrum/standins/log.js';

void tap.test('a read sees what was appended, in order', async t => {
  const log = await createLogStandin();
  const client = createLogClient({
    address: log.address,
    stream: 'main',
    timeoutMs: 5000,
    maxRecordBytes: 100,
  });
  const first = await client.append(Buffer.from('one'));
  const second = await client.append(Buffer.from('two'));
  t.same([first.val, second.val], [1, 2]);
  const page = await client.read({from: 1, maxRecords: 10, waitMs: 0});
  const {end, records} = page.unwrap();
  t.equal(end, 3);
  t.same(
    records.map(({data}) => Buffer.from(data).toString()),
    ['one', 'two'],
  );
  await client.close();
  await log.close();
});
