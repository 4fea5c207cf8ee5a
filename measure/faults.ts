/**
 * Measures rollout under faults: `npm run measure -- faults [CONTROLLERS]`, at most 60 s for 7.
 *
 * Each controller has one follower in this process. A time runs from the submission of a change to
 * its fold in the last follower that is not hindered. Changes that are refused count apart.
 *
 * @module
 */
import { ActorScope, ControllerRecordSource, FleetFollower, FleetReplica } from '../src/mod.js';
import { createControllerClient } from '../src/controller/mod.js';
import { waitFor } from '../src/testing/mod.js';
import { NodeGroup, pause } from './NodeGroup.js';
import { FoldTimes } from './FoldTimes.js';

/** 61,000 changes a day. */
const CHANGES_A_SECOND = 0.7;
const OUTAGE_MS = 10_000;
const BURST = 500;

const count = Number(process.argv[3] ?? 7);
const scope = new ActorScope('measure', (actor, error) => console.error(actor, error));
const nodes = new NodeGroup();
const followers: { follower: FleetFollower; times: FoldTimes }[] = [];
let changes = 0;

function follow(address: string): void {
  const replica = new FleetReplica(scope);
  const times = new FoldTimes();
  replica.send({ type: 'subscribe', projector: times });
  const follower = new FleetFollower(scope, replica, [new ControllerRecordSource(address)]);
  follower.start();
  followers.push({ follower, times });
}

interface RunOptions {
  run: string;
  changes: number;
  aSecond: number;
  /** Index of a controller that is not asked and whose follower does not count. */
  without?: number;
  during?: () => Promise<unknown>;
}

async function measureRun(options: RunOptions): Promise<void> {
  const head = await nodes.readHead();
  const begin = Date.now();
  const counted = followers.filter((_, index) => index !== options.without);
  const addresses = nodes.controllers
    .map(({ address }) => address)
    .filter((_, index) => index !== options.without);
  const answers: Promise<{ at: number; offset: number } | string>[] = [];
  const during = options.during?.();
  for (let index = 0; index < options.changes; index += 1) {
    changes += 1;
    const object = { name: `t${changes}`, quota: 1 };
    const client = createControllerClient(addresses[index % addresses.length] ?? '');
    const at = Date.now();
    const answer = client.change.mutate({
      baseRevision: 0,
      operations: [{ action: 'put', kind: 'team', object }],
      operator: 'measure',
    });
    answers.push(
      answer.then(
        ({ offset }) => ({ at, offset }),
        (error: Error) => error.message.split(':')[0] ?? '',
      ),
    );
    if (options.aSecond > 0) await pause(1_000 / options.aSecond);
  }
  await during;
  const settled = await Promise.all(answers);
  const sent = settled.filter((one) => typeof one !== 'string');
  const last = Math.max(...sent.map(({ offset }) => offset));
  await waitFor('the followers', () => counted.every(({ times }) => times.find(last) < Infinity));
  const seconds = (Date.now() - begin) / 1_000;
  const taken = sent
    .map(({ at, offset }) => Math.max(...counted.map(({ times }) => times.find(offset))) - at)
    .sort((a, b) => a - b);
  const read = (share: number) =>
    taken[Math.min(taken.length - 1, Math.floor(share * taken.length))];
  const records = (await nodes.readHead()) - head;
  console.log(
    JSON.stringify({
      run: options.run,
      controllers: count,
      accepted: sent.length,
      refused: settled.filter((one) => typeof one === 'string'),
      p50Ms: read(0.5),
      p99Ms: read(0.99),
      worstMs: taken.at(-1),
      recordsASecond: Number((records / seconds).toFixed(1)),
    }),
  );
}

try {
  await nodes.openControllers(count);
  nodes.controllers.forEach(({ address }) => follow(address));
  await pause(3_000);
  await measureRun({ run: 'steady', changes: 8, aSecond: CHANGES_A_SECOND });
  await measureRun({ run: 'burst', changes: BURST, aSecond: 0 });
  await measureRun({
    run: 'outage of 10 s',
    changes: 14,
    aSecond: 1,
    during: async () => {
      await pause(2_000);
      await nodes.inject({ down: true });
      await pause(OUTAGE_MS);
      await nodes.inject({});
    },
  });
  const frozen = 0;
  nodes.controllers[frozen]?.child.kill('SIGSTOP');
  await measureRun({ run: 'rank 0 frozen', changes: 5, aSecond: 1, without: frozen });
  nodes.controllers[frozen]?.child.kill('SIGCONT');
  const cut = await nodes.startCutOff();
  follow(cut.address);
  await pause(2_000);
  await measureRun({
    run: 'one more controller cut off from the platform',
    changes: 5,
    aSecond: 1,
  });
  await Promise.all(followers.map(({ follower }) => follower.close()));
} finally {
  await nodes.close();
  scope.close();
}
