import tap from 'tap';
import {sleep} from '@banyandrum/base/clock.js';
import {createConfigKeeper} from '@banyandrum/gateway/config-keeper.js';
import type {ConfigRead, Platform} from '@banyandrum/gateway/platform.js';
import type {RoutingConfig} from '@banyandrum/routing/config.js';
import {
  createManualClock,
  type ManualClock,
} from '@banyandrum/standins/manual-clock.js';

function config(version: number): RoutingConfig {
  const limits = {
    ...{maxHeaderBytes: 1, maxBodyBytes: 1},
    ...{headerTimeoutMs: 1, idleTimeoutMs: 1},
  };
  return {version, hosts: new Map(), services: new Map(), limits};
}

/** A log of configurations whose long reads can be made to hang. */
function createSource(clock: ManualClock): {
  readonly platform: Platform;
  versions: number[];
  hangs: boolean;
} {
  const source = {versions: [1], hangs: false};
  const read = (cursor: number | null): ConfigRead => {
    const end = source.versions.length;
    const isNew = cursor === null || cursor < end;
    const newest = isNew ? config(source.versions.at(-1)!) : null;
    return {kind: 'read', config: newest, unreadable: null, cursor: end};
  };
  const platform = {
    readConfig: (cursor: number | null, waitMs: number) =>
      new Promise<ConfigRead>(resolve => {
        const isNews = cursor === null || cursor < source.versions.length;
        if (isNews || waitMs === 0) return resolve(read(cursor));
        const failed: ConfigRead = {kind: 'failed', detail: 'silent'};
        const answer = (): void =>
          resolve(source.hangs ? failed : read(cursor));
        clock.after(waitMs, answer);
      }),
  } as unknown as Platform;
  return Object.assign(source, {platform});
}

/** The platform, with a count of reads of the configuration. */
function countReads({readConfig}: Platform): {
  readonly platform: Platform;
  reads: number;
} {
  const counted = {
    reads: 0,
    platform: {
      readConfig(...args: Parameters<Platform['readConfig']>) {
        counted.reads++;
        return readConfig(...args);
      },
    } as Platform,
  };
  return counted;
}

// A router follows the leader, so its read may wait for long. The store goes
// silent on that connection, the leader is lost, and this router may even lead
// itself: nobody tells it of news, and its read won't. Its callers would be
// served by a version that was replaced long ago.
void tap.test('a long read that went silent hides no news', async t => {
  const clock = createManualClock(1_000);
  const source = createSource(clock);
  let isFollowing = true;
  const keeper = createConfigKeeper(
    source.platform,
    clock,
    () => undefined,
    () => isFollowing,
  );
  await clock.advance(3_000);
  t.equal(keeper.current()?.version, 1);
  source.hangs = true;
  isFollowing = false;
  source.versions.push(2);
  await clock.advance(1_800);
  t.equal(keeper.current()?.version, 2);
  keeper.stop();
});

void tap.test('news from the leader is read at once', async t => {
  const clock = createManualClock(1_000);
  const source = createSource(clock);
  const keeper = createConfigKeeper(
    source.platform,
    clock,
    () => undefined,
    () => true,
  );
  await clock.advance(100);
  source.versions.push(2);
  keeper.onCursorAnnounced(2);
  await clock.advance(10);
  t.equal(keeper.current()?.version, 2);
  source.versions.push(1);
  keeper.onCursorAnnounced(3);
  await clock.advance(10);
  t.equal(keeper.current()?.version, 2, 'never back');
  keeper.stop();
});

// The leader passes on what it reads. A router that asks the platform all the
// same costs two calls for each change; 80 of them were a third of the calls of
// a day. Once the leader is lost it reads by itself, at once.
void tap.test('what the leader passes on is not read again', async t => {
  const clock = createManualClock(1_000);
  const source = createSource(clock);
  const counted = countReads(source.platform);
  let isRelayed = false;
  const keeper = createConfigKeeper(
    counted.platform,
    clock,
    () => undefined,
    () => isRelayed,
    () => isRelayed,
  );
  await clock.advance(1_000);
  isRelayed = true;
  await clock.advance(2_000);
  const before = counted.reads;
  keeper.applyRelayed(config(2), 2);
  keeper.onCursorAnnounced(2);
  await clock.advance(20_000);
  t.equal(keeper.current()?.version, 2);
  t.equal(counted.reads, before, 'nothing is read');
  source.versions.push(2, 3);
  isRelayed = false;
  await clock.advance(600);
  t.equal(keeper.current()?.version, 3);
  keeper.stop();
});

// The platform turns this router away for ten seconds, while it hears the
// leader, which tells it of news with each heartbeat. It asked five times a
// second and more, as did 26 others; the platform's rate is for all together.
void tap.test('a router that is turned away asks less often', async t => {
  const clock = createManualClock(1_000);
  let reads = 0;
  const platform = {
    async readConfig(): Promise<ConfigRead> {
      reads++;
      return {kind: 'failed', detail: 'status 503'};
    },
  } as unknown as Platform;
  const keeper = createConfigKeeper(
    platform,
    clock,
    () => undefined,
    () => true,
  );
  for (let beat = 0; beat < 50; beat++) {
    keeper.onCursorAnnounced(7);
    await clock.advance(200);
  }
  t.ok(reads < 25, `${reads} calls in 10 s`);
  keeper.stop();
});

// All routers start before the operator has written anything. The leader finds
// nothing and says so; asked by each router once a second, the platform had
// hundreds of calls more at every start, and each one is paid for.
void tap.test('no configuration is no reason to ask', async t => {
  const clock = createManualClock(1_000);
  let reads = 0;
  const nothing: ConfigRead = {
    ...{kind: 'read', config: null, unreadable: null, cursor: 0},
  };
  const platform = {
    async readConfig(_: number | null, waitMs: number) {
      reads++;
      await sleep(clock, waitMs);
      return nothing;
    },
  } as unknown as Platform;
  let isRelayed = false;
  const keeper = createConfigKeeper(
    platform,
    clock,
    () => undefined,
    () => true,
    () => isRelayed,
  );
  await clock.advance(500);
  isRelayed = true;
  await clock.advance(6_000);
  t.ok(reads <= 2, `${reads} reads`);
  keeper.applyRelayed(config(1), 1);
  t.equal(keeper.current()?.version, 1);
  keeper.stop();
});

// All routers start at once. Each reads the configuration, and hears the leader
// half a second later: a second read in between told it nothing, and was a call
// to the platform at every start of every router.
void tap.test('a router that starts reads once', async t => {
  const clock = createManualClock(1_000);
  const source = createSource(clock);
  const counted = countReads(source.platform);
  let isRelayed = false;
  const keeper = createConfigKeeper(
    counted.platform,
    clock,
    () => undefined,
    () => isRelayed,
    () => isRelayed,
  );
  await clock.advance(400);
  t.equal(keeper.current()?.version, 1);
  isRelayed = true;
  await clock.advance(3_000);
  t.equal(counted.reads, 1);
  isRelayed = false;
  source.versions.push(2);
  await clock.advance(1_500);
  t.equal(keeper.current()?.version, 2, 'without a leader it goes on');
  keeper.stop();
});
