import {startLeader} from './leader-rig.js';

/**
 * The rig's leader in a process of its own. A number from the parent limits its
 * processor time; any message is answered with the leader's work.
 */
const leader = await startLeader(Number(process.argv[2]));
process.send?.({address: leader.address});
process.on('message', ({share}: {readonly share?: number}) => {
  if (share !== undefined) leader.limitProcessor(share);
  process.send?.(leader.take());
});
process.once('disconnect', () => process.exit());
