/**
 * Measures rollout under faults: `npm run measure -- faults [CONTROLLERS]`, at most 60 s for 7.
 *
 * Each controller has one follower in this process. A delay is the time from the submission of a
 * change until all followers, except that of an excluded controller, have applied it. Refused
 * changes are reported separately.
 *
 * @module
 */
import { ActorScope, ControllerRecordSource, FleetFollower, FleetReplica } from '../src/mod.js';
import { createControllerClient } from '../src/controller/mod.js';
import { waitFor } from '../src/testing/mod.js';
import { NodeGroup, pause } from './NodeGroup.js';
import { ApplyTimes } from './ApplyTimes.js';

/** 61,000 changes a day. */
const CHANGES_A_SECOND = 0.7;
const OUTAGE_MS = 10_000;
const BURST = 500;

const count = Number(process.argv[3] ?? 7);
const scope = new ActorScope('measure', (actor, error) => console.error(actor, error));
const nodes = new NodeGroup();
const followers: { follower: FleetFollower; times: ApplyTimes }[] = [];
let submittedCount = 0;

function follow(address: string): void {
  const replica = new FleetReplica(scope);
  const times = new ApplyTimes();
  replica.send({ type: 'subscribe', projector: times });
  const follower = new FleetFollower(scope, replica, [new ControllerRecordSource(address)]);
  follower.start();
  followers.push({ follower, times });
}

interface RunOptions {
  run: string;
  changeCount: number;
  ratePerSecond: number;
  /** Index of a controller that gets no changes and whose follower is excluded from the delays. */
  excludedIndex?: number;
  during?: () => Promise<unknown>;
}

async function measureRun(options: RunOptions): Promise<void> {
  const head = await nodes.readHead();
  const begin = Date.now();
  const includedFollowers = followers.filter((_, index) => index !== options.excludedIndex);
  const addresses = nodes.controllers
    .map(({ address }) => address)
    .filter((_, index) => index !== options.excludedIndex);
  const answers: Promise<{ at: number; offset: number } | string>[] = [];
  const during = options.during?.();
  for (let index = 0; index < options.changeCount; index += 1) {
    submittedCount += 1;
    const object = { name: `t${submittedCount}`, quota: 1 };
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
    if (options.ratePerSecond > 0) await pause(1_000 / options.ratePerSecond);
  }
  await during;
  const settled = await Promise.all(answers);
  const sent = settled.filter((one) => typeof one !== 'string');
  const last = Math.max(...sent.map(({ offset }) => offset));
  await waitFor('the followers', () =>
    includedFollowers.every(({ times }) => times.find(last) < Infinity),
  );
  const seconds = (Date.now() - begin) / 1_000;
  const delaysMs = sent
    .map(
      ({ at, offset }) =>
        Math.max(...includedFollowers.map(({ times }) => times.find(offset))) - at,
    )
    .sort((a, b) => a - b);
  const read = (share: number) =>
    delaysMs[Math.min(delaysMs.length - 1, Math.floor(share * delaysMs.length))];
  const records = (await nodes.readHead()) - head;
  console.log(
    JSON.stringify({
      run: options.run,
      controllers: count,
      accepted: sent.length,
      refused: settled.filter((one) => typeof one === 'string'),
      p50Ms: read(0.5),
      p99Ms: read(0.99),
      worstMs: delaysMs.at(-1),
      recordsASecond: Number((records / seconds).toFixed(1)),
    }),
  );
}

try {
  await nodes.openControllers(count);
  nodes.controllers.forEach(({ address }) => follow(address));
  await pause(3_000);
  await measureRun({ run: 'steady', changeCount: 8, ratePerSecond: CHANGES_A_SECOND });
  await measureRun({ run: 'burst', changeCount: BURST, ratePerSecond: 0 });
  await measureRun({
    run: 'outage of 10 s',
    changeCount: 14,
    ratePerSecond: 1,
    during: async () => {
      await pause(2_000);
      await nodes.inject({ down: true });
      await pause(OUTAGE_MS);
      await nodes.inject({});
    },
  });
  const frozen = 0;
  nodes.controllers[frozen]?.child.kill('SIGSTOP');
  await measureRun({
    run: 'rank 0 frozen',
    changeCount: 5,
    ratePerSecond: 1,
    excludedIndex: frozen,
  });
  nodes.controllers[frozen]?.child.kill('SIGCONT');
  const isolated = await nodes.startIsolatedController();
  follow(isolated.address);
  await pause(2_000);
  await measureRun({
    run: 'one more controller cut off from the platform',
    changeCount: 5,
    ratePerSecond: 1,
  });
  await Promise.all(followers.map(({ follower }) => follower.close()));
} finally {
  await nodes.close();
  scope.close();
}
