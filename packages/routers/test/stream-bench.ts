/**
 * Echoes through the stream against unary gRPC, all in one process, taking
 * turns so that other load on the machine meets them alike:
 *
 *     node build/test/routers/test/stream-bench.js [ms for each run]
 */
import grpc from '@grpc/grpc-js';
import {createClock} from '@banyandrum/base/clock.js';
import type {ServiceRequest} from '@banyandrum/base/request.js';
import {decodeBatch, encodeBatch} from '@banyandrum/routers/frames.js';
import {createPair, createRequest, readBody} from './kit.js';

type Echo = (body: Buffer) => Promise<Buffer>;

interface Way {
  readonly name: string;
  readonly echo: Echo;
  close(): Promise<void>;
}

const ROUNDS = 5;
const RUN_MS = Number(process.argv[2] ?? 500);
const IN_FLIGHT = [64, 256];
const SIZES = [0, 1024, 65_536, 1_048_576];
const HEADERS = Array.from({length: 8}, (_, at) => ({
  name: `x-header-${at}`,
  value: `value of header ${at}`,
}));
const clock = createClock();

const ways = [
  await createStream('stream'),
  await createStream('stream, not batched', 1),
  await createUnary(),
];
for (const inFlight of IN_FLIGHT) {
  for (const size of SIZES) await compare(inFlight, Buffer.alloc(size, 'x'));
}
for (const way of ways) await way.close();

async function compare(inFlight: number, body: Buffer): Promise<void> {
  const rates = ways.map(() => [] as number[]);
  for (let round = 0; round < ROUNDS; round++) {
    for (const [at, way] of ways.entries()) {
      rates[at]?.push(await measure(way.echo, inFlight, body));
    }
  }
  const medians = rates.map(median);
  const unary = medians.at(-1) ?? NaN;
  for (const [at, way] of ways.entries()) {
    const rate = medians[at] ?? NaN;
    const ratio = (rate / unary).toFixed(2);
    const what = `${inFlight} in flight, ${body.length} bytes, ${way.name}`;
    console.log(`${what}: ${Math.round(rate)}/s, ${ratio} x unary`);
  }
}

async function measure(
  echo: Echo,
  inFlight: number,
  body: Buffer,
): Promise<number> {
  const start = clock.now();
  let count = 0;
  const loop = async (): Promise<void> => {
    while (clock.now() - start < RUN_MS) {
      const answer = await echo(body);
      if (answer.length !== body.length) throw new Error('wrong length');
      count++;
    }
  };
  await Promise.all(Array.from({length: inFlight}, loop));
  return (count * 1000) / (clock.now() - start);
}

function median(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)] ?? NaN;
}

function createBenchRequest(body: Buffer): ServiceRequest {
  return createRequest(clock, {body, headers: HEADERS});
}

async function createStream(
  name: string,
  maxBatchFrames?: number,
): Promise<Way> {
  const batch = maxBatchFrames === undefined ? {} : {maxBatchFrames};
  const {peers, to, close} = await createPair({server: batch, peers: batch});
  const echo: Echo = async body => {
    const answer = await peers.send(to, createBenchRequest(body));
    const {body: back} = answer.unwrap();
    return back instanceof Buffer ? back : readBody(back);
  };
  return {name, echo, close};
}

async function createUnary(): Promise<Way> {
  const same = (bytes: Buffer): Buffer => bytes;
  const path = '/bench/Echo';
  const server = new grpc.Server();
  const answer: grpc.handleUnaryCall<Buffer, Buffer> = (call, callback) => {
    const body = decodeBatch(call.request)[0]?.requestHead?.body;
    if (body === undefined) throw new Error('no body');
    const head = {status: 200, headers: [], body, whole: true};
    callback(null, encodeBatch([{id: 1, answerHead: head}]));
  };
  const echoService: grpc.ServiceDefinition = {
    echo: {
      path,
      requestStream: false,
      responseStream: false,
      requestSerialize: same,
      requestDeserialize: same,
      responseSerialize: same,
      responseDeserialize: same,
    },
  };
  server.addService(echoService, {echo: answer});
  const port = await new Promise<number>(resolve => {
    const credentials = grpc.ServerCredentials.createInsecure();
    server.bindAsync('127.0.0.1:0', credentials, (_, bound) => resolve(bound));
  });
  const credentials = grpc.credentials.createInsecure();
  const client = new grpc.Client(`127.0.0.1:${port}`, credentials);
  const echo: Echo = body =>
    new Promise((resolve, reject) => {
      const {id, key, path: rest, method, headers} = createBenchRequest(body);
      const head = {requestId: id, service: 'holds', caller: 'ward', key};
      const requestHead = {...head, method, path: rest, headers, body};
      const frame = {...requestHead, remainingMs: 60_000, once: false};
      const bytes = encodeBatch([
        {id: 1, requestHead: {...frame, precedence: 0, whole: true}},
      ]);
      const end = (err: Error | null, back?: Buffer): void => {
        if (err !== null || back === undefined) {
          reject(err ?? new Error('no answer'));
          return;
        }
        const got = decodeBatch(back)[0]?.answerHead?.body;
        resolve(got as Buffer);
      };
      client.makeUnaryRequest(path, same, same, bytes, end);
    });
  return {
    name: 'unary',
    echo,
    close() {
      client.close();
      server.forceShutdown();
      return Promise.resolve();
    },
  };
}
