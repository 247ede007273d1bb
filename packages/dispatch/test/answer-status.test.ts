import tap from 'tap';
import {listenRaw, sendOnce} from './raw-server.js';

const LENGTH = 'content-length: 2\r\n\r\nok';

// Guards against a status that is none in HTTP and reaches the caller as an
// answer of the server.
const REASONS: Readonly<Record<string, string>> = {
  '000': 'connection-lost',
  '099': 'connection-lost',
  '600': 'invalid-status',
  '999': 'invalid-status',
};
for (const [status, reason] of Object.entries(REASONS)) {
  void tap.test(`an answer with status ${status} is none`, async t => {
    const server = await listenRaw(socket =>
      socket.write(`HTTP/1.1 ${status} Odd\r\n${LENGTH}`),
    );
    t.teardown(() => server.close());
    const result = await sendOnce(server.origin);
    t.match(result, {kind: 'lost', reason, isWritten: true});
  });
}

void tap.test('an answer with status 599 is one', async t => {
  const server = await listenRaw(socket =>
    socket.write(`HTTP/1.1 599 Odd\r\n${LENGTH}`),
  );
  t.teardown(() => server.close());
  t.match(await sendOnce(server.origin), {kind: 'answered'});
});
