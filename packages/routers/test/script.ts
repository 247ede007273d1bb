import grpc from '@grpc/grpc-js';
import {
  decodeBatch,
  encodeBatch,
  type Frame,
} from '@banyandrum/routers/frames.js';
import {PEER_SERVICE, type ServerCall} from '@banyandrum/routers/wire.js';
import type {Incarnation} from '@banyandrum/base/ids.js';

/** The answering end of a stream, driven by a test. */
export interface Script {
  /** Writes frames as one message, or a message as it is. */
  write(message: readonly Frame[] | Buffer): void;
  /** Ends the stream without an error. */
  end(): void;
}

/** Called for each request head and each cancel that arrives. */
export type OnFrame = (frame: Frame, script: Script) => void;

export interface ScriptedServer {
  readonly address: string;
  close(): void;
}

/** A server that greets as `self` (null: not at all), then obeys `onFrame`. */
export async function createScriptedServer(
  self: () => Incarnation | null,
  onFrame: OnFrame,
): Promise<ScriptedServer> {
  const talk = (call: ServerCall): void => {
    const script = createScript(call);
    call.on('error', () => {});
    call.on('data', (bytes: Buffer) => {
      for (const frame of decodeBatch(bytes)) {
        const name = self();
        if (frame.hello && name !== null) script.write([helloOf(name)]);
        else onFrame(frame, script);
      }
    });
    call.on('end', () => call.end());
  };
  const server = new grpc.Server();
  server.addService(PEER_SERVICE, {talk});
  const port = await new Promise<number>((resolve, reject) => {
    const credentials = grpc.ServerCredentials.createInsecure();
    server.bindAsync('127.0.0.1:0', credentials, (err, bound) =>
      err === null ? resolve(bound) : reject(err),
    );
  });
  return {
    address: `127.0.0.1:${port}`,
    close: () => server.forceShutdown(),
  };
}

export function helloOf(self: Incarnation): Frame {
  return {id: 0, hello: {self, windowBytes: 65536}};
}

function createScript(call: ServerCall): Script {
  return {
    write(message) {
      call.write(Buffer.isBuffer(message) ? message : encodeBatch(message));
    },
    end() {
      call.end();
    },
  };
}
