import { NodeCluster } from '../emulator/mod.js';
import { DemoScenario } from './DemoScenario.js';
import type { DemoStage } from './DemoContext.js';

const JOB = '5c0e7a21d94b36f8';
const STEPS = [
  { count: 4, cpuMilli: 2_000, estimateMs: 500 },
  { count: 2, cpuMilli: 4_000, estimateMs: 500, after: [0] },
];
/** Run time of a task in the demo, in ms. */
const RUN_MS = 500;
const MACHINES = 4;
const WAVE_MS = 8_000;

/** Nodes on an emulated platform: a job that outlives a host and its owner, and a wave. */
export class JobsScenario extends DemoScenario {
  override readonly name = 'jobs';

  override readonly summary = 'a job of two steps that outlives a host and a node, and a wave';

  override async run(stage: DemoStage): Promise<void> {
    const cluster = new NodeCluster({
      nodes: 3,
      machines: MACHINES,
      script: () => ({ runMs: RUN_MS, outcome: 'done' }),
    });
    try {
      await JobsScenario.#show(stage, cluster);
    } finally {
      cluster.close();
    }
  }

  static async #show(stage: DemoStage, cluster: NodeCluster): Promise<void> {
    const { print } = stage;
    print('2. Three nodes and four upstream hosts on an emulated platform.');
    await stage.waitFor('all nodes are ready', () =>
      Promise.resolve(cluster.names.every((name) => cluster.get(name)?.isReady === true)),
    );
    const { type } = await cluster.submit('node-0', JOB, STEPS);
    stage.check(`node-0 accepted job ${JOB}: ${type}`, type === 'accepted');
    await stage.waitFor('the first step runs', () =>
      Promise.resolve(cluster.fleet.started.length >= 4),
    );
    print('\n3. A host is lost, and the node that owns the shard is killed.');
    const [first] = cluster.fleet.started;
    const machine = cluster.fleet.listMachines().find(({ hostId }) => hostId === first?.host);
    cluster.fleet.crash(machine?.name ?? '');
    const owner = cluster.findOwner();
    cluster.kill(owner ?? '');
    const left = cluster.names[0] ?? '';
    await stage.waitFor(
      'the job is completed',
      async () => (await cluster.findState(left, JOB)) === 'completed',
    );
    cluster.fleet.started.forEach(({ task, run, host, outcome }) =>
      print(`   ${task} run ${run} on ${host}: ${outcome ?? 'runs'}`),
    );
    stage.check('no task ran twice at once', cluster.fleet.listOverlaps().length === 0);
    stage.check('nothing ran again after it was done', cluster.fleet.listRepeats().length === 0);
    print('\n4. A wave of maintenance, one machine at a time.');
    cluster.fleet.restore(machine?.name ?? '');
    const machines = cluster.fleet.listMachines().map(({ name }) => name);
    cluster.orderWave({ wave: 1, machines, durationMs: WAVE_MS, cap: 1 });
    await stage.waitFor('the wave is completed', () =>
      Promise.resolve(cluster.store.findWaveState(1) === 'completed'),
    );
  }
}
