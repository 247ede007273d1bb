/**
 * A stand-in of the platform's store, as PROTOCOL.md describes it: a log with
 * partitions, keyed topics, fenced producers and groups. It is sound: it loses
 * nothing that it acknowledged, and its answers are linearizable.
 */
import {Buffer} from 'node:buffer';
import http from 'node:http';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {URL} from 'node:url';
import {setTimeout, clearTimeout} from 'node:timers';

const PARTS = 24;

function frame(content) {
  const length = Buffer.alloc(4);
  length.writeUInt32BE(content.length);
  return Buffer.concat([length, content]);
}

function unframe(body) {
  const contents = [];
  for (let at = 0; at + 4 <= body.length;) {
    const length = body.readUInt32BE(at);
    contents.push(body.subarray(at + 4, at + 4 + length));
    at += 4 + length;
  }
  return contents;
}

/** Starts the store on a loopback address and any free port. */
export async function startStore(host = '127.0.0.1') {
  const topics = new Map();
  const groups = new Map();
  /** Set by a case: returns 'down' for a call that gets a 503. */
  const hooks = {fault: () => null};

  const topicOf = name => {
    const known = topics.get(name);
    if (known) return known;
    const topic = {
      records: [],
      newest: new Map(),
      producers: new Map(),
      waiters: new Set(),
    };
    topics.set(name, topic);
    return topic;
  };

  const add = (name, content) => {
    const topic = topicOf(name);
    if (name.startsWith('keyed.')) {
      const length = content[0];
      const key = content.subarray(1, 1 + length).toString('utf8');
      const value = content.subarray(1 + length);
      if (value.length === 0) topic.newest.delete(key);
      else topic.newest.set(key, {value, offset: topic.records.length});
    }
    topic.records.push(content);
    for (const wake of [...topic.waiters]) wake();
  };

  const append = (query, body) => {
    const name = query.get('topic');
    const topic = topicOf(name);
    const contents = unframe(body);
    const write = () => {
      const offset = topic.records.length;
      for (const content of contents) add(name, content);
      return {offset, end: topic.records.length};
    };
    const at = query.get('at');
    if (at !== null && Number(at) !== topic.records.length)
      return [412, {end: topic.records.length}];
    if (!query.has('producer')) return [200, write()];
    const id = query.get('producer');
    const epoch = Number(query.get('epoch'));
    const sequence = Number(query.get('sequence'));
    let producer = topic.producers.get(id);
    if (producer && epoch < producer.epoch) return [409, {why: 'fenced'}];
    if (!producer || epoch > producer.epoch)
      producer = {epoch, next: sequence, answers: new Map()};
    topic.producers.set(id, producer);
    if (contents.length === 0) return [200, write()];
    if (producer.answers.has(sequence))
      return [200, producer.answers.get(sequence)];
    if (sequence !== producer.next)
      return [409, {why: 'seq', sequence: producer.next}];
    const answer = write();
    producer.next = sequence + 1;
    producer.answers.set(sequence, answer);
    producer.answers.delete(sequence - 5);
    return [200, answer];
  };

  const read = async query => {
    const topic = topicOf(query.get('topic'));
    const from = Number(query.get('from'));
    const waitMs = Math.min(30_000, Number(query.get('waitMs') ?? 0));
    if (from >= topic.records.length && waitMs > 0) {
      await new Promise(resolve => {
        const wake = () => {
          clearTimeout(timer);
          topic.waiters.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, waitMs);
        topic.waiters.add(wake);
      });
    }
    const head = Buffer.alloc(16);
    head.writeBigUInt64BE(BigInt(topic.records.length), 0);
    const maxBytes = Number(query.get('maxKb') ?? 1024) * 1024;
    const frames = [];
    let size = 0;
    for (const record of topic.records.slice(from)) {
      if (frames.length > 0 && size + record.length > maxBytes) break;
      frames.push(frame(record));
      size += record.length + 4;
    }
    return [200, Buffer.concat([head, ...frames])];
  };

  const newest = query => {
    const topic = topicOf(query.get('topic'));
    const after = query.get('after');
    const keys = [...topic.newest.keys()]
      .sort()
      .filter(key => after === null || key > after);
    const page = keys.slice(0, 500);
    const items = page.map(key => {
      const {value, offset} = topic.newest.get(key);
      return {key, value: value.toString('base64'), offset};
    });
    const more = keys.length > page.length;
    return [200, {items, more, end: topic.records.length}];
  };

  const groupOf = name => {
    const known = groups.get(name);
    if (known) return known;
    const group = {generation: 1, members: new Map(), topics: []};
    groups.set(name, group);
    return group;
  };

  const expire = group => {
    const now = performance.now();
    for (const [name, until] of group.members) {
      if (until > now) continue;
      group.members.delete(name);
      group.generation++;
    }
  };

  const rowsOf = group => {
    const names = [...group.members.keys()];
    if (names.length === 0) return [];
    return group.topics.flatMap(topic =>
      Array.from({length: PARTS}, (_, part) => [
        topic,
        part,
        names[part % names.length],
        0,
      ]),
    );
  };

  const join = body => {
    const {group: name, member, topics: list, ttl_time: ttl} = body;
    const group = groupOf(name);
    expire(group);
    const ttlMs = Number.parseFloat(ttl) * (/\ds$/.test(ttl) ? 1000 : 1);
    if (!group.members.has(member)) group.generation++;
    group.members.set(member, performance.now() + ttlMs);
    group.topics = list;
    const parts = rowsOf(group)
      .filter(([, , owner]) => owner === member)
      .map(([topic, part, , offset]) => [topic, part, offset]);
    return [200, {generation: group.generation, parts}];
  };

  const leave = ({group: name, member}) => {
    const group = groupOf(name);
    if (group.members.delete(member)) group.generation++;
    return [200, {}];
  };

  const owners = query => {
    const group = groupOf(query.get('group'));
    expire(group);
    return [200, rowsOf(group)];
  };

  const serve = async (path, query, body) => {
    if (path === '/-/log-append') return append(query, body);
    if (path === '/-/log-read') return read(query);
    if (path === '/-/log-newest') return newest(query);
    if (path === '/-/log-join') return join(JSON.parse(body.toString()));
    if (path === '/-/log-leave') return leave(JSON.parse(body.toString()));
    if (path === '/-/log-owners') return owners(query);
    if (path === '/-/log-commit') return [200, {}];
    return [404, {}];
  };

  const server = http.createServer((req, res) => {
    const chunks = [];
    req.on('data', chunk => chunks.push(chunk));
    req.on('end', () => {
      const url = new URL(req.url, 'http://store');
      const fault = hooks.fault(url.pathname, url.searchParams, req);
      if (fault === 'down') return void res.writeHead(503).end();
      serve(url.pathname, url.searchParams, Buffer.concat(chunks)).then(
        ([status, content]) => {
          const bytes = Buffer.isBuffer(content)
            ? content
            : Buffer.from(JSON.stringify(content));
          res.writeHead(status, {'content-length': bytes.length}).end(bytes);
        },
        err => process.stderr.write(`store: ${err.stack}\n`),
      );
    });
    req.on('error', () => undefined);
  });
  server.keepAliveTimeout = 60_000;
  await new Promise(resolve => {
    server.listen(0, host, resolve);
  });
  return {
    address: `${host}:${server.address().port}`,
    hooks,
    /** Writes as the operator or a server; null removes the key. */
    put(topic, key, value) {
      const name = Buffer.from(key);
      const text = value === null ? '' : JSON.stringify(value);
      add(
        topic,
        Buffer.concat([Buffer.from([name.length]), name, Buffer.from(text)]),
      );
    },
    close: () => {
      server.closeAllConnections();
      server.close();
    },
  };
}
