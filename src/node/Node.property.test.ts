import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import type { OrderFault } from '../emulator/mod.js';
import { NodeCluster } from '../emulator/NodeCluster.js';
import { readSeed } from '../testing/readSeed.js';
import { waitFor } from '../testing/waitFor.js';

const NODES = 3;
const MACHINES = 4;
/** Resolution of the random share that selects the fault of an order. */
const SHARE_RESOLUTION = 10_000;
/** Number of orders after which the sequence of faults repeats. */
const SAMPLED_ORDERS = 500;
/** Maximum time in ms until all accepted jobs are completed after the last fault. */
const SETTLE_MS = 25_000;

const node = fc.integer({ min: 0, max: NODES - 1 }).map((index) => `node-${index}`);
const machine = fc.integer({ min: 0, max: MACHINES - 1 }).map((index) => `m-${index}`);

/** A step of a scenario: a submission, or the start or end of a fault. */
const action = fc.oneof(
  { weight: 6, arbitrary: fc.record({ type: fc.constant('submit' as const), node }) },
  { weight: 1, arbitrary: fc.record({ type: fc.constant('kill' as const), node }) },
  { weight: 1, arbitrary: fc.record({ type: fc.constant('restart' as const), node }) },
  {
    weight: 2,
    arbitrary: fc.record({
      type: fc.constant('store' as const),
      node: fc.option(node, { nil: undefined }),
      mode: fc.constantFrom('normal', 'refusing', 'silent', 'losing-answers'),
    }),
  },
  { weight: 1, arbitrary: fc.record({ type: fc.constant('crash' as const), machine }) },
  { weight: 1, arbitrary: fc.record({ type: fc.constant('restore' as const), machine }) },
  {
    weight: 1,
    arbitrary: fc.record({ type: fc.constant('cut' as const), machine, isCut: fc.boolean() }),
  },
  { weight: 1, arbitrary: fc.record({ type: fc.constant('expire' as const) }) },
  { weight: 2, arbitrary: fc.record({ type: fc.constant('wait' as const), ms: fc.nat(600) }) },
);
/** Restart of a host under its identifier; its entry follows after a delay in ms. */
const reboot = fc.record({
  type: fc.constant('reboot' as const),
  machine,
  registersAfterMs: fc.nat(1_500),
});
const actionOrReboot = fc.oneof(
  { weight: 12, arbitrary: action },
  { weight: 3, arbitrary: reboot },
);
type Action = typeof actionOrReboot extends fc.Arbitrary<infer T> ? T : never;

class FaultScenario {
  readonly #cluster: NodeCluster;

  readonly #accepted = new Set<string>();

  readonly #refused = new Set<string>();

  readonly #down = new Set<string>();

  readonly #calls: Promise<void>[] = [];

  #jobs = 0;

  constructor(cluster: NodeCluster) {
    this.#cluster = cluster;
  }

  async apply(step: Action): Promise<void> {
    const cluster = this.#cluster;
    switch (step.type) {
      case 'submit':
        this.#calls.push(this.#submit(step.node));
        break;
      case 'kill':
        cluster.kill(step.node);
        break;
      case 'restart':
        cluster.kill(step.node);
        cluster.start(step.node);
        break;
      case 'store':
        cluster.store.setMode(step.mode, step.node);
        break;
      case 'crash':
        if (!this.#down.has(step.machine)) cluster.fleet.crash(step.machine);
        this.#down.add(step.machine);
        break;
      case 'restore':
        if (this.#down.delete(step.machine)) cluster.fleet.restore(step.machine);
        break;
      case 'cut':
        cluster.fleet.setPartitioned(step.machine, step.isCut);
        break;
      case 'reboot':
        cluster.fleet.reboot(step.machine, step.registersAfterMs);
        break;
      case 'expire':
        cluster.store.expire('work');
        break;
      default:
    }
    const pauseMs = step.type === 'wait' ? step.ms : 20;
    await new Promise((resolve) => {
      setTimeout(resolve, pauseMs);
    });
  }

  /** Ends all faults and checks the guarantees. */
  async check(): Promise<void> {
    const cluster = this.#cluster;
    cluster.store.setMode('normal');
    for (let index = 0; index < MACHINES; index += 1) {
      cluster.fleet.setPartitioned(`m-${index}`, false);
      if (this.#down.has(`m-${index}`)) cluster.fleet.restore(`m-${index}`);
    }
    for (let index = 0; index < NODES; index += 1) {
      const name = `node-${index}`;
      cluster.store.setMode('normal', name);
      if (cluster.get(name) === undefined) cluster.start(name);
    }
    await Promise.all(this.#calls);
    for (const id of this.#accepted) {
      await waitFor(
        `the accepted job ${id}`,
        async () => (await cluster.findJobState('node-0', id)) === 'completed',
        SETTLE_MS,
      );
    }
    assert.deepEqual(cluster.fleet.listOverlaps(), [], 'two concurrent runs of one task');
    assert.deepEqual(
      cluster.fleet.listRepeats(),
      [],
      'a task was started again after it had completed',
    );
    const ran = new Set(cluster.fleet.started.map(({ task }) => task.split('.', 1)[0] ?? ''));
    const refusedButRan = [...this.#refused].filter((id) => ran.has(id));
    assert.deepEqual(refusedButRan, [], 'a refused job was run');
  }

  async #submit(name: string): Promise<void> {
    this.#jobs += 1;
    const id = `job${this.#jobs}`;
    const { type } = await this.#cluster.submit(name, id, [
      { count: 2, cpuMilli: 1_000, estimateMs: 100 },
      { count: 1, cpuMilli: 1_000, estimateMs: 100, after: [0] },
    ]);
    if (type === 'accepted') this.#accepted.add(id);
    if (type === 'refused') this.#refused.add(id);
  }
}

/** Samples faults of orders from a seed: some responses are lost, some orders arrive late. */
function createFaultSampler(
  seed: number,
): () => { fault: OrderFault; delayMs: number } | undefined {
  const random = fc.sample(fc.noBias(fc.nat(SHARE_RESOLUTION)), {
    seed,
    numRuns: SAMPLED_ORDERS,
  });
  let next = 0;
  return () => {
    const share = (random[next % SAMPLED_ORDERS] ?? 0) / SHARE_RESOLUTION;
    next += 1;
    if (share < 0.03) return { fault: 'answer-lost', delayMs: 0 };
    if (share < 0.06) return { fault: 'late', delayMs: 200 + share * 20_000 };
    return undefined;
  };
}

/** Plays generated scenarios with random faults of orders and checks the guarantees after each. */
async function assertScenarios(
  steps: fc.Arbitrary<Action[]>,
  { numRuns }: { numRuns: number },
): Promise<void> {
  await fc.assert(
    fc.asyncProperty(steps, fc.nat(), async (scenario, faultSeed) => {
      const cluster = new NodeCluster({
        nodes: NODES,
        machines: MACHINES,
        script: () => ({ runMs: 120, outcome: 'done' }),
        sampleFault: createFaultSampler(faultSeed),
      });
      try {
        const run = new FaultScenario(cluster);
        for (const step of scenario) await run.apply(step);
        await run.check();
      } finally {
        cluster.close();
      }
    }),
    { seed: readSeed(), numRuns, endOnFailure: true },
  );
}

const STEP_COUNT = { minLength: 20, maxLength: 50 };

describe('Node with random faults', () => {
  it('completes accepted jobs and neither runs refused jobs nor duplicates tasks', () =>
    assertScenarios(fc.array(action, STEP_COUNT), {
      numRuns: Number(process.env.FAULT_RUNS ?? 4),
    }));

  // Guards against runs that are lost or doubled when a host starts again under its identifier.
  it('keeps these guarantees while hosts restart under their identifiers', () =>
    assertScenarios(fc.array(actionOrReboot, STEP_COUNT), {
      numRuns: Number(process.env.FAULT_RUNS ?? 2),
    }));
});
