/**
 * A stand-in of a backend server, as PROTOCOL.md describes it, on a raw socket,
 * so that a case can send bytes that an HTTP library would not. It is sound
 * unless a case sets a hook.
 */
import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import net from 'node:net';
import {performance} from 'node:perf_hooks';
import {setInterval, clearInterval, setTimeout} from 'node:timers';

const BEAT_MS = 870;

/**
 * Starts a server and registers it with the store. `hooks.before(request)` may
 * return an answer that replaces the work; `hooks.write(connection, bytes,
 * request)` may write something else than the answer's bytes.
 */
export async function startBackend(store, options) {
  const {id, service, zone = 'a', slots = 3, queue = 12, workMs = 20} = options;
  const {port = 0, born} = options;
  const {
    isKeyed = false,
    host = '127.0.0.1',
    onRun = () => undefined,
  } = options;
  const hooks = {
    body: request => `${id} ran ${request.path}`,
    ...{before: () => null, write: null, workMs: () => workMs},
    ...{onGrant: () => undefined, onArrival: () => undefined},
  };
  const sockets = new Set();
  let grants = [];
  /** All grants that were accepted, without what was released since. */
  let granted = [];
  /** Keys of the requests that run, and releases that wait for their end. */
  const runningKeys = [];
  let releases = [];
  const fences = [];
  let running = 0;
  const waiting = [];
  let state = 'ready';
  let sequence = 0;

  const holds = key => {
    const now = performance.now();
    return grants.some(g => g.until > now && g.from <= key && key <= g.to);
  };

  /** Until when the server would hold the key if nothing were released. */
  const wouldHoldUntil = key =>
    Math.max(
      0,
      ...granted.filter(g => g.from <= key && key <= g.to).map(g => g.until),
    );

  const cutOut = (from, to) => {
    grants = grants.flatMap(g =>
      [
        {...g, to: Math.min(g.to, from - 1)},
        {...g, from: Math.max(g.from, to + 1)},
      ].filter(part => part.from <= part.to),
    );
  };

  /** Answers the releases whose keys have no running work any more. */
  const answerReleases = () => {
    const isIdle = ({from, to}) =>
      !runningKeys.some(key => from <= key && key <= to);
    const due = releases.filter(isIdle);
    releases = releases.filter(each => !due.includes(each));
    for (const each of due) each.done();
  };

  const release = (connection, request) => {
    const {from, target: to, fence} = JSON.parse(request.body.toString());
    cutOut(from, to);
    const headers = ['Handover', `h-${from}-${fence}`];
    const done = () => answer(connection, request, {status: 200, headers});
    releases.push({from, to, done});
    answerReleases();
  };

  const grant = body => {
    const {from, target, fence, hold_time: time} = JSON.parse(body);
    const isFenced = fences.some(
      f => f.from <= target && from <= f.to && f.fence > fence,
    );
    if (isFenced) return {status: 409, headers: []};
    fences.push({from, to: target, fence});
    const ms = Number.parseFloat(time) * (/\ds$/.test(time) ? 1000 : 1);
    hooks.onGrant({from, to: target, fence});
    cutOut(from, target);
    const now = performance.now();
    grants.push({from, to: target, until: now + ms});
    granted = granted.filter(({until}) => until > now);
    granted.push({from, to: target, until: now + ms});
    return {status: 200, headers: []};
  };

  const load = () => `${running},${waiting.length},${slots}`;

  const serialize = ({status, headers, body = ''}, request) => {
    const bytes = Buffer.from(body);
    const lines = [`HTTP/1.1 ${status} X`];
    const attempt = request.headers['attempt-id'];
    if (attempt !== undefined) lines.push(`Attempt-Id: ${attempt}`);
    lines.push(`Server-Load: ${load()}`, 'Keep-Alive: timeout=10');
    for (let at = 0; at < headers.length; at += 2)
      lines.push(`${headers[at]}: ${headers[at + 1]}`);
    lines.push(`Content-Length: ${bytes.length}`, '', '');
    return Buffer.concat([Buffer.from(lines.join('\r\n'), 'latin1'), bytes]);
  };

  const answer = (connection, request, result) => {
    connection.isBusy = false;
    const bytes = serialize(result, request);
    if (!connection.socket.destroyed) {
      if (hooks.write) hooks.write(connection, bytes, request, result);
      else connection.socket.write(bytes);
    }
    parse(connection);
  };

  const rejectUnheld = (connection, request) => {
    const headers = ['Not-Executed', '1', 'Instance-Id', id];
    answer(connection, request, {status: 421, headers});
  };

  const runNext = () => {
    while (running < slots && waiting.length > 0) {
      const [connection, request] = waiting.shift();
      const key = Number(request.headers['shard-key']);
      // A release stops new work at once, that of queued requests as well.
      if (!isKeyed || holds(key)) run(connection, request);
      else rejectUnheld(connection, request);
    }
  };

  const run = (connection, request) => {
    if (connection.socket.destroyed) return;
    running++;
    const key = Number(request.headers['shard-key']);
    if (isKeyed) runningKeys.push(key);
    onRun({server: id, request, at: performance.now()});
    setTimeout(() => {
      running--;
      if (isKeyed) runningKeys.splice(runningKeys.indexOf(key), 1);
      const body = hooks.body(request);
      const digest = createHash('sha256').update(body).digest('hex');
      const seal = `${id}.${digest.slice(0, 16)}`;
      const headers = ['Response-Seal', seal, 'Content-Type', 'text/plain'];
      answer(connection, request, {status: 200, headers, body});
      answerReleases();
      runNext();
    }, hooks.workMs(request));
  };

  const handle = (connection, request) => {
    connection.isBusy = true;
    const {headers, path} = request;
    const expected = headers['expect-instance'];
    const notRun = ['Not-Executed', '1', 'Instance-Id', id];
    if (expected !== undefined && expected !== id)
      return answer(connection, request, {status: 421, headers: notRun});
    if (path === '/-/release') return release(connection, request);
    if (path === '/-/grant')
      return answer(connection, request, grant(request.body.toString()));
    if (path === '/health')
      return answer(connection, request, {
        status: state === 'ready' ? 200 : 503,
        headers: ['Instance-Id', id],
      });
    if (isKeyed && !holds(Number(headers['shard-key'])))
      return answer(connection, request, {status: 421, headers: notRun});
    const other = hooks.before(request);
    if (other !== null) return answer(connection, request, other);
    if (running < slots) return run(connection, request);
    if (waiting.length < queue) return void waiting.push([connection, request]);
    answer(connection, request, {status: 503, headers: ['Not-Executed', '1']});
  };

  /** Long bodies are put together only once they are whole. */
  const gather = connection => {
    const {buffer, chunks} = connection;
    connection.buffer = Buffer.concat([buffer, ...chunks]);
    connection.chunks = [];
    connection.size = 0;
  };

  /** Takes the next request from what a connection has received. */
  const parse = connection => {
    if (connection.isBusy) return;
    gather(connection);
    const {buffer} = connection;
    const end = buffer.indexOf('\r\n\r\n');
    if (end < 0) return;
    const [first, ...lines] = buffer
      .subarray(0, end)
      .toString('latin1')
      .split('\r\n');
    const headers = {};
    for (const line of lines) {
      const at = line.indexOf(':');
      headers[line.slice(0, at).toLowerCase()] = line.slice(at + 1).trim();
    }
    const length = Number(headers['content-length'] ?? 0);
    connection.needed = end + 4 + length - buffer.length;
    if (connection.needed > 0) return;
    const body = buffer.subarray(end + 4, end + 4 + length);
    connection.buffer = buffer.subarray(end + 4 + length);
    const [method, path] = first.split(' ');
    const arrivedAt = performance.now();
    const request = {method, path, headers, body, arrivedAt};
    hooks.onArrival(connection, request);
    handle(connection, request);
  };

  const server = net.createServer(socket => {
    const connection = {
      ...{socket, buffer: Buffer.alloc(0), isBusy: false},
      ...{chunks: [], size: 0, needed: 0},
    };
    sockets.add(socket);
    socket.setNoDelay(true);
    socket.on('data', chunk => {
      connection.chunks.push(chunk);
      connection.size += chunk.length;
      if (connection.size < connection.needed) return;
      gather(connection);
      parse(connection);
    });
    socket.on('error', () => undefined);
    socket.on('close', () => sockets.delete(socket));
  });
  await new Promise(resolve => {
    server.listen(port, host, resolve);
  });
  const address = `${host}:${server.address().port}`;
  const beat = () => {
    store.put('keyed.servers', id, {
      address,
      ...(born !== undefined && {born}),
      info: {service, version: 'v1', zone, slots},
      status: {state, sequence: sequence++, coldRemaining: '0ms'},
    });
  };
  beat();
  const timer = setInterval(beat, BEAT_MS);
  let isClosed = false;
  return {
    ...{id, address, service, hooks, load},
    ...{holds, wouldHoldUntil, runningKeys},
    setState(next) {
      state = next;
      beat();
    },
    /** Leaves without a report: the entry goes, and the server serves on. */
    removeEntry() {
      clearInterval(timer);
      store.put('keyed.servers', id, null);
    },
    close() {
      if (isClosed) return;
      isClosed = true;
      clearInterval(timer);
      for (const socket of sockets) socket.destroy();
      server.close();
    },
  };
}
