import { NodeCluster } from '../emulator/mod.js';
import { DemoScenario } from './DemoScenario.js';
import type { DemoContext } from './DemoContext.js';

const JOB_ID = '5c0e7a21d94b36f8';
const STEPS = [
  { count: 4, cpuMilli: 2_000, estimateMs: 500 },
  { count: 2, cpuMilli: 4_000, estimateMs: 500, after: [0] },
];
const TASK_RUN_MS = 500;
const MACHINES = 4;
const WAVE_DURATION_MS = 8_000;

/**
 * Nodes on an emulated platform: a job that survives the loss of a host and of the node that owns
 * its shard, and a maintenance wave.
 */
export class JobsScenario extends DemoScenario {
  override readonly name = 'jobs';

  override readonly summary =
    'a two-step job that survives the loss of a host and a node, and a maintenance wave';

  override async run(context: DemoContext): Promise<void> {
    const cluster = new NodeCluster({
      nodes: 3,
      machines: MACHINES,
      script: () => ({ runMs: TASK_RUN_MS, outcome: 'done' }),
    });
    try {
      await JobsScenario.#runOnCluster(context, cluster);
    } finally {
      cluster.close();
    }
  }

  static async #runOnCluster(context: DemoContext, cluster: NodeCluster): Promise<void> {
    const { print } = context;
    print('2. Three nodes and four upstream hosts on an emulated platform.');
    await context.waitFor('all nodes are ready', () =>
      Promise.resolve(cluster.names.every((name) => cluster.get(name)?.isReady === true)),
    );
    const { type } = await cluster.submit('node-0', JOB_ID, STEPS);
    context.check(`node-0 accepted job ${JOB_ID}: ${type}`, type === 'accepted');
    await context.waitFor('the first step is running', () =>
      Promise.resolve(cluster.fleet.started.length >= 4),
    );
    print('\n3. A host is lost, and the node that owns the shard is killed.');
    const [first] = cluster.fleet.started;
    const machine = cluster.fleet.listMachines().find(({ hostId }) => hostId === first?.host);
    cluster.fleet.crash(machine?.name ?? '');
    const owner = cluster.findOwner();
    cluster.kill(owner ?? '');
    const survivor = cluster.names[0] ?? '';
    await context.waitFor(
      'the job is completed',
      async () => (await cluster.findJobState(survivor, JOB_ID)) === 'completed',
    );
    cluster.fleet.started.forEach(({ task, run, host, outcome }) =>
      print(`   ${task} run ${run} on ${host}: ${outcome ?? 'runs'}`),
    );
    context.check(
      'no task had two runs at the same time',
      cluster.fleet.listOverlaps().length === 0,
    );
    context.check('no task ran again after it was done', cluster.fleet.listRepeats().length === 0);
    print('\n4. A maintenance wave, one machine at a time.');
    cluster.fleet.restore(machine?.name ?? '');
    const machines = cluster.fleet.listMachines().map(({ name }) => name);
    cluster.orderWave({ wave: 1, machines, durationMs: WAVE_DURATION_MS, cap: 1 });
    await context.waitFor('the wave is completed', () =>
      Promise.resolve(cluster.store.findWaveState(1) === 'completed'),
    );
  }
}
